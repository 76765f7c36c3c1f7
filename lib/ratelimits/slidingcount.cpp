#include "daisyrelay/ratelimits/slidingcount.h"

#include <algorithm>

namespace daisyrelay {

SlidingCount::SlidingCount(Duration window) : interval_(window / IntervalCount)
{
}

void SlidingCount::add(Instant now, std::uint32_t amount)
{
    advance(now);
    counts_.at(static_cast<std::size_t>(newest_) % IntervalCount) += amount;
    total_ += amount;
}

std::uint64_t SlidingCount::total(Instant now)
{
    advance(now);
    return total_;
}

void SlidingCount::clear()
{
    counts_.fill(0);
    total_ = 0;
}

void SlidingCount::advance(Instant now)
{
    const std::int64_t current = std::max(newest_, now.time_since_epoch() / interval_);
    if (current - newest_ >= static_cast<std::int64_t>(IntervalCount)) {
        clear();
        newest_ = current;
    }
    while (newest_ < current) {
        ++newest_;
        std::uint32_t &count = counts_.at(static_cast<std::size_t>(newest_) % IntervalCount);
        total_ -= count;
        count = 0;
    }
}

} // namespace daisyrelay
