// Entry point of a daisyrelay process.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

namespace daisyrelay {

/// Runs the roles that the settings file at \p settingsPath enables until SIGTERM or SIGINT has drained them. SIGHUP
/// reloads the file.
/// \returns the exit code of the process.
int runNode(const std::string &settingsPath, PlatformHooks hooks);

} // namespace daisyrelay
