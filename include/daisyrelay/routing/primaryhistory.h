// Log positions of a primary over time, on the clock of this VM. Converts a staleness bound such as "no older than two
// seconds" to the position that a replica must have reached.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <optional>

namespace daisyrelay {

/// Samples of one primary in one term. At the instant Sample::at, the primary's log ended at or before
/// Sample::position.
class PrimaryHistory
{
public:
    /// Records that the primary of \p term responded to a request sent at \p at with \p position. The log may have
    /// grown between request and response, so the sample is valid for the time of the request.
    void record(Instant at, Term term, Position position);

    /// \returns the lowest position that is known to cover everything that the primary had at \p oldest, or nothing if
    /// no sample is that recent.
    [[nodiscard]] std::optional<Position> positionCovering(Instant oldest, Term term) const;

    /// \returns the last instant at which the primary's log ended at or before \p position.
    [[nodiscard]] std::optional<Instant> coveredUntil(Position position) const;

    [[nodiscard]] Term term() const;

private:
    struct Sample {
        Instant at;
        Position position = 0;
    };

    Term term_ = 0;
    std::deque<Sample> samples_; ///< Both fields strictly increase.
};

} // namespace daisyrelay
