#include "daisyrelay/limits/backoff.h"

#include <algorithm>

namespace daisyrelay {

Duration backoffDelay(std::uint32_t attempt, const RandomSource &random, const BackoffRange &range)
{
    Duration delay = range.first;
    for (std::uint32_t step = 1; step < attempt && delay < range.longest; ++step) {
        delay *= 2;
    }
    delay = std::min(delay, range.longest);
    const auto half = static_cast<std::uint64_t>(delay.count()) / 2;
    return Duration(delay.count() - static_cast<Duration::rep>(half == 0 ? 0 : random() % (half + 1)));
}

} // namespace daisyrelay
