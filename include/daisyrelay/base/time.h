// Time types shared by all libraries. Decision cores receive the current Instant as an argument and never read a
// clock of their own.
#pragma once

#include <chrono>

namespace daisyrelay {

/// Counts the time during which the VM is suspended, too; leases and the age of data depend on it.
struct Clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): what the standard requires.

    static time_point now() noexcept;
};

/// A point on the monotonic clock of this process; never sent to another VM.
using Instant = Clock::time_point;

using Duration = Clock::duration;

} // namespace daisyrelay
