// Log positions of a service's primary over time, on the clock of this VM.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <optional>

namespace daisyrelay {

/// Converts a staleness bound to the minimum position that a replica must have.
///
/// A sample is a position that a backend server reported while it confirmed that it was the primary. Everything that
/// was acknowledged before the request was sent is at or before that position.
class FreshnessHistory
{
public:
    /// Samples closer than \p minSpacing are skipped; those older than \p maxAge are dropped.
    FreshnessHistory(Duration minSpacing, Duration maxAge);

    /// \p sentAt is when the request was sent, \p generation the generation of the primary that responded.
    void record(Instant sentAt, std::uint64_t generation, const LogPoint &point);

    /// \returns the lowest position that covers everything acknowledged before \p oldest, or nothing if no sample does.
    [[nodiscard]] std::optional<LogPoint> pointCovering(Instant oldest) const;

    /// \returns the first position reported by a primary of \p generation or a later one.
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
    std::uint64_t generation_ = 0; ///< Highest generation recorded.
    std::optional<LogPoint> firstPointOfGeneration_;
};

} // namespace daisyrelay
