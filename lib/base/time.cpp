#include "daisyrelay/base/time.h"

#include <ctime>

namespace daisyrelay {

Clock::time_point Clock::now() noexcept
{
    timespec value {};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace daisyrelay
