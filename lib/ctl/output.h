// Prints JSON values as tables, JSON or YAML.
#pragma once

#include "daisyrelay/ctl/commands.h"

#include <ostream>

#include <boost/json/value.hpp>

namespace daisyrelay {

/// Prints \p value in the chosen format: arrays of objects as columns, objects as one line for each field.
void printValue(std::ostream &out, OutputFormat format, const boost::json::value &value);

/// Returns a value as YAML.
std::string toYamlText(const boost::json::value &value);

/// Returns text without quotes and any other value as JSON.
std::string cellText(const boost::json::value &value);

} // namespace daisyrelay
