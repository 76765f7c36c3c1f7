// Runs one process until it is told to end.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

namespace daisyrelay {

/// Runs the roles that the settings file names; reads the file again when it changes.
/// \returns the exit code.
int runNode(const std::string &settingsPath, PlatformHooks hooks);

} // namespace daisyrelay
