// Entry point of the daemon. It runs one event loop thread each for callers, the relay, backend servers, peers and
// the control role; the threads exchange work through bounded queues.
#pragma once

#include "daisyrelay/config.h"

namespace daisyrelay {

/// Runs the daemon until it has drained after SIGTERM or SIGINT.
/// \returns the exit code: 0 after a clean shutdown, 1 if the daemon could not start, 3 if requests were aborted.
int runDaemon(const Settings &settings);

} // namespace daisyrelay
