// Where the log of a service's primary stood over time, on the clock of this VM.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <optional>

namespace daisyrelay {

/// Turns "no older than" into a position that a replica must have.
///
/// A sample is the position that a backend server told while it proved that it led; everything acknowledged before the
/// question was sent is at or before it.
class FreshnessHistory
{
public:
    FreshnessHistory(Duration minSpacing, Duration maxAge);

    /// \p sentAt is when the question was sent, \p generation that of the primary that answered.
    void record(Instant sentAt, std::uint64_t generation, const LogPoint &point);

    /// \returns the lowest position that covers everything acknowledged before \p oldest, or nothing if no sample does.
    [[nodiscard]] std::optional<LogPoint> pointCovering(Instant oldest) const;

    /// \returns the first position that a primary of \p generation or a later one told.
    [[nodiscard]] std::optional<LogPoint> firstPointOf(std::uint64_t generation) const;

    [[nodiscard]] std::optional<Instant> newestSampleAt() const;

private:
    struct Sample {
        Instant sentAt;
        std::uint64_t generation = 0;
        LogPoint point;
    };

    Duration minSpacing_;
    Duration maxAge_;
    std::deque<Sample> samples_; ///< Ordered by sentAt.
    std::uint64_t generation_ = 0;
    std::optional<LogPoint> firstPointOfGeneration_;
};

} // namespace daisyrelay
