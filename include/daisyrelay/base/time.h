// Time types shared by all libraries. Decision cores receive the current Instant as an argument and never read a
// clock of their own.
#pragma once

#include <chrono>

namespace daisyrelay {

using Clock = std::chrono::steady_clock;

/// A point on the monotonic clock of this process; never sent to another VM.
using Instant = Clock::time_point;

using Duration = Clock::duration;

} // namespace daisyrelay
