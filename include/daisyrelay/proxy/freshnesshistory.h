// Log positions of a service's primary over time, on the clock of this VM.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <optional>
#include <string_view>

namespace daisyrelay {

/// The response that reported a position.
enum class PositionSource : std::uint8_t {
    Sample, ///< A BEGIN that the proxy sent for the position alone.
    Begin, ///< The BEGIN of a caller's transaction or of a read without a minimum position.
    Statement, ///< A caller's statement that only a primary runs.
    Home, ///< Another entry, on request.
    Last,
};

/// Returns the name of \p source in logs and metrics.
[[nodiscard]] std::string_view positionSourceName(PositionSource source);

/// A position that a backend server reported while it confirmed that it was the primary. Everything that was
/// acknowledged before \c sentAt is at or before \c point.
struct PositionSample {
    Instant sentAt {}; ///< When the request was sent.
    std::uint64_t generation = 0; ///< Generation of the primary that responded.
    LogPoint point;
    PositionSource source = PositionSource::Sample;
    BackendId backend; ///< The primary that responded; empty if another entry asked it.
};

/// Converts a staleness bound to the minimum position that a replica must have.
class FreshnessHistory
{
public:
    /// What became of a sample.
    enum class Outcome : std::uint8_t {
        Recorded,
        TooClose, ///< Less than the minimum spacing after the newest sample.
        OutOfOrder, ///< Sent before the newest sample.
        FormerGeneration, ///< Of a generation before the newest one.
        Last,
    };

    /// Samples closer than \p minSpacing are skipped; those older than \p maxAge are dropped.
    FreshnessHistory(Duration minSpacing, Duration maxAge);

    Outcome record(const PositionSample &sample);

    /// \returns the sample with the lowest position that covers everything acknowledged before \p oldest, or null if no
    /// sample does. Valid until the next call of record().
    [[nodiscard]] const PositionSample *sampleCovering(Instant oldest) const;

    /// \returns the first position reported by a primary of \p generation or a later one.
    [[nodiscard]] std::optional<LogPoint> firstPointOf(std::uint64_t generation) const;

    /// \returns the newest sample, or null. Valid until the next call of record().
    [[nodiscard]] const PositionSample *newest() const;

    [[nodiscard]] std::optional<Instant> newestSampleAt() const;

private:
    Duration minSpacing_;
    Duration maxAge_;
    std::deque<PositionSample> samples_; ///< Ordered by sentAt.
    std::uint64_t generation_ = 0; ///< Highest generation recorded.
    std::optional<LogPoint> firstPointOfGeneration_;
};

/// Returns the name of \p outcome in metrics.
[[nodiscard]] std::string_view positionOutcomeName(FreshnessHistory::Outcome outcome);

} // namespace daisyrelay
