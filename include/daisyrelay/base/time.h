// Time types shared by all libraries. State machines without I/O, such as RaftCore, receive the current Instant as an
// argument and do not read a clock.
#pragma once

#include <chrono>

namespace daisyrelay {

/// A monotonic clock that also advances while the VM is suspended. Leases and data ages depend on that.
struct Clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard.

    static time_point now() noexcept;
};

/// A time point of Clock. Only meaningful on this VM, so it is never sent to another VM.
using Instant = Clock::time_point;

using Duration = Clock::duration;

} // namespace daisyrelay
