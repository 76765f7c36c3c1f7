// Says in a few words what a configuration change changes.
#pragma once

#include <string>

namespace daisyrelay {

/// Returns the names of what differs between two configurations in JSON, for the history that operators read.
std::string summarizeChange(const std::string &before, const std::string &after);

} // namespace daisyrelay
