// Where the log of a primary stood over time, on the clock of this VM. It turns "no older than two seconds" into a
// position that a replica must have reached.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <optional>

namespace daisyrelay {

/// Samples of one primary in one term: at \c at the primary's log had not passed \c position.
class PrimaryHistory
{
public:
    /// Records that a primary of \p term, asked at \p at, answered that its log stood at \p position. The log may have
    /// grown between question and answer, so the sample holds for the instant of the question.
    void record(Instant at, Term term, Position position);

    /// \returns the lowest position that is known to hold everything that the primary had at \p oldest, or nothing if
    /// no sample is that recent.
    [[nodiscard]] std::optional<Position> positionCovering(Instant oldest, Term term) const;

    /// \returns the last instant at which the primary had nothing beyond \p position.
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
