#include "daisyrelay/proxy/freshnesshistory.h"

#include <algorithm>

namespace daisyrelay {

FreshnessHistory::FreshnessHistory(Duration spacing, Duration keep) : spacing_(spacing), keep_(keep)
{
}

void FreshnessHistory::record(Instant askedAt, std::uint64_t generation, const LogPoint &point)
{
    if (generation < generation_) {
        return;
    }
    if (generation > generation_ || !firstOfGeneration_) {
        generation_ = generation;
        firstOfGeneration_ = point;
    }
    if (!samples_.empty() && askedAt < samples_.back().askedAt + spacing_ && samples_.back().generation == generation) {
        return;
    }
    if (!samples_.empty() && askedAt < samples_.back().askedAt) {
        return;
    }
    samples_.push_back({ askedAt, generation, point });
    while (samples_.front().askedAt < askedAt - keep_) {
        samples_.pop_front();
    }
}

std::optional<LogPoint> FreshnessHistory::coverSince(Instant oldest) const
{
    const auto found = std::lower_bound(
        samples_.begin(), samples_.end(), oldest, [](const Sample &sample, Instant at) { return sample.askedAt < at; });
    return found == samples_.end() ? std::nullopt : std::optional(found->point);
}

std::optional<LogPoint> FreshnessHistory::firstOf(std::uint64_t generation) const
{
    return generation_ >= generation ? firstOfGeneration_ : std::nullopt;
}

std::optional<Instant> FreshnessHistory::newest() const
{
    return samples_.empty() ? std::nullopt : std::optional(samples_.back().askedAt);
}

} // namespace daisyrelay
