#include "daisyrelay/routing/primaryhistory.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration MinSampleInterval = std::chrono::milliseconds(25);
static constexpr std::size_t MaxSamples = 512;

void PrimaryHistory::record(Instant at, Term term, Position position)
{
    if (term < term_) {
        return;
    }
    if (term > term_) {
        samples_.clear();
        term_ = term;
    }
    if (!samples_.empty() && at <= samples_.back().at) {
        return;
    }
    // Skipping a sample is always safe: data then only counts as older than it is.
    if (samples_.size() > 1 && position > samples_.back().position
        && at < samples_[samples_.size() - 2].at + MinSampleInterval) {
        return;
    }
    while (!samples_.empty() && samples_.back().position >= position) {
        samples_.pop_back();
    }
    samples_.push_back({ at, position });
    if (samples_.size() > MaxSamples) {
        samples_.pop_front();
    }
}

std::optional<Position> PrimaryHistory::positionCovering(Instant oldest, Term term) const
{
    const auto found = std::lower_bound(samples_.begin(), samples_.end(), oldest,
        [](const Sample &sample, Instant instant) { return sample.at < instant; });
    if (term != term_ || found == samples_.end()) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<Instant> PrimaryHistory::coveredUntil(Position position) const
{
    const auto beyond = std::upper_bound(samples_.begin(), samples_.end(), position,
        [](Position value, const Sample &sample) { return value < sample.position; });
    if (beyond == samples_.begin()) {
        return std::nullopt;
    }
    return std::prev(beyond)->at;
}

Term PrimaryHistory::term() const
{
    return term_;
}

} // namespace daisyrelay
