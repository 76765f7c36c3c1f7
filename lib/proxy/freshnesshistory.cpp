#include "daisyrelay/proxy/freshnesshistory.h"

#include <algorithm>
#include <array>

namespace daisyrelay {

std::string_view positionSourceName(PositionSource source)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(PositionSource::Last)> Names { "sample",
        "begin", "statement", "home" };
    return Names.at(static_cast<std::size_t>(source));
}

std::string_view positionOutcomeName(FreshnessHistory::Outcome outcome)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(FreshnessHistory::Outcome::Last)> Names {
        "recorded", "too-close", "out-of-order", "former-generation"
    };
    return Names.at(static_cast<std::size_t>(outcome));
}

FreshnessHistory::FreshnessHistory(Duration minSpacing, Duration maxAge) : minSpacing_(minSpacing), maxAge_(maxAge)
{
}

FreshnessHistory::Outcome FreshnessHistory::record(const PositionSample &sample)
{
    if (sample.generation < generation_) {
        return Outcome::FormerGeneration;
    }
    if (sample.generation > generation_ || !firstPointOfGeneration_) {
        generation_ = sample.generation;
        firstPointOfGeneration_ = sample.point;
    }
    if (!samples_.empty() && sample.sentAt < samples_.back().sentAt) {
        return Outcome::OutOfOrder;
    }
    if (!samples_.empty() && sample.sentAt < samples_.back().sentAt + minSpacing_
        && samples_.back().generation == sample.generation) {
        return Outcome::TooClose;
    }
    samples_.push_back(sample);
    while (samples_.front().sentAt < sample.sentAt - maxAge_) {
        samples_.pop_front();
    }
    return Outcome::Recorded;
}

const PositionSample *FreshnessHistory::sampleCovering(Instant oldest) const
{
    const auto found = std::lower_bound(samples_.begin(), samples_.end(), oldest,
        [](const PositionSample &sample, Instant at) { return sample.sentAt < at; });
    return found == samples_.end() ? nullptr : &*found;
}

std::optional<LogPoint> FreshnessHistory::firstPointOf(std::uint64_t generation) const
{
    return generation_ >= generation ? firstPointOfGeneration_ : std::nullopt;
}

const PositionSample *FreshnessHistory::newest() const
{
    return samples_.empty() ? nullptr : &samples_.back();
}

std::optional<Instant> FreshnessHistory::newestSampleAt() const
{
    return samples_.empty() ? std::nullopt : std::optional(samples_.back().sentAt);
}

} // namespace daisyrelay
