// Entry point of a daisyrelay process.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

namespace daisyrelay {

/// Runs the roles that the settings file at \p settingsPath enables until they have drained after SIGTERM or SIGINT.
/// SIGHUP reloads the file.
/// \returns the exit code of the process.
int runNode(const std::string &settingsPath, PlatformHooks hooks);

} // namespace daisyrelay
