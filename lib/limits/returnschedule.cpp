#include "daisyrelay/limits/returnschedule.h"

#include <algorithm>

namespace daisyrelay {

Duration ReturnSchedule::nextDelay(Duration remaining)
{
    constexpr Duration MinSpread = std::chrono::milliseconds(50);
    constexpr Duration MaxSpread = std::chrono::milliseconds(250);
    // The fractional parts of multiples of the golden ratio are evenly distributed for any number of callers.
    constexpr std::uint32_t GoldenRatioStep = 0x9e3779b9;
    constexpr unsigned FractionBits = 32;
    position_ += GoldenRatioStep;
    const Duration spread = std::clamp<Duration>(remaining / 4, MinSpread, MaxSpread);
    const auto fraction = static_cast<double>(position_) / static_cast<double>(std::uint64_t { 1 } << FractionBits);
    return std::max(remaining, Duration::zero())
        + Duration(static_cast<Duration::rep>(static_cast<double>(spread.count()) * fraction));
}

} // namespace daisyrelay
