#include "daisyrelay/limits/backoff.h"

#include <algorithm>

namespace daisyrelay {

Duration backoffDelay(std::uint32_t attempt, const RandomSource &random, const BackoffRange &range)
{
    Duration delay = range.initialDelay;
    for (std::uint32_t retry = 1; retry < attempt && delay < range.maxDelay; ++retry) {
        delay *= 2;
    }
    delay = std::min(delay, range.maxDelay);
    const auto half = static_cast<std::uint64_t>(delay.count()) / 2;
    return Duration(delay.count() - static_cast<Duration::rep>(half == 0 ? 0 : random() % (half + 1)));
}

} // namespace daisyrelay
