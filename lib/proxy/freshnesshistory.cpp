#include "daisyrelay/proxy/freshnesshistory.h"

#include <algorithm>

namespace daisyrelay {

FreshnessHistory::FreshnessHistory(Duration minSpacing, Duration maxAge) : minSpacing_(minSpacing), maxAge_(maxAge)
{
}

void FreshnessHistory::record(Instant sentAt, std::uint64_t generation, const LogPoint &point)
{
    if (generation < generation_) {
        return;
    }
    if (generation > generation_ || !firstPointOfGeneration_) {
        generation_ = generation;
        firstPointOfGeneration_ = point;
    }
    if (!samples_.empty() && sentAt < samples_.back().sentAt + minSpacing_
        && samples_.back().generation == generation) {
        return;
    }
    if (!samples_.empty() && sentAt < samples_.back().sentAt) {
        return;
    }
    samples_.push_back({ sentAt, generation, point });
    while (samples_.front().sentAt < sentAt - maxAge_) {
        samples_.pop_front();
    }
}

std::optional<LogPoint> FreshnessHistory::pointCovering(Instant oldest) const
{
    const auto found = std::lower_bound(
        samples_.begin(), samples_.end(), oldest, [](const Sample &sample, Instant at) { return sample.sentAt < at; });
    return found == samples_.end() ? std::nullopt : std::optional(found->point);
}

std::optional<LogPoint> FreshnessHistory::firstPointOf(std::uint64_t generation) const
{
    return generation_ >= generation ? firstPointOfGeneration_ : std::nullopt;
}

std::optional<Instant> FreshnessHistory::newestSampleAt() const
{
    return samples_.empty() ? std::nullopt : std::optional(samples_.back().sentAt);
}

} // namespace daisyrelay
