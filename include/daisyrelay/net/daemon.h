// The whole daemon: one thread for each duty, joined by bounded rings.
#pragma once

#include "daisyrelay/config.h"

namespace daisyrelay {

/// Runs the daemon until SIGTERM or SIGINT has drained it.
/// \returns the exit code: 0 after a clean shutdown, 1 if it could not start, 3 if requests were cut.
int runDaemon(const Settings &settings);

} // namespace daisyrelay
