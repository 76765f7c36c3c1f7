// Prints JSON values as tables, JSON or YAML.
#pragma once

#include "daisyrelay/ctl/commands.h"

#include <ostream>

#include <boost/json/value.hpp>

namespace daisyrelay {

/// Prints \p value in the chosen format. As a table, an array of objects has one column for each field and an object
/// one line for each field.
void printValue(std::ostream &out, OutputFormat format, const boost::json::value &value);

/// Returns \p value as YAML.
std::string toYamlText(const boost::json::value &value);

/// Returns a string without quotes and any other value as JSON.
std::string cellText(const boost::json::value &value);

} // namespace daisyrelay
