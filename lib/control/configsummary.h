// Summarizes configuration changes.
#pragma once

#include <string>

namespace daisyrelay {

/// Returns the names of the differing classes and services of two JSON configurations, for the change history.
std::string summarizeChange(const std::string &before, const std::string &after);

} // namespace daisyrelay
