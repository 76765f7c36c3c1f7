// Which classes of statements are refused while demand exceeds capacity.
#pragma once

#include "daisyrelay/base.h"

#include <map>

namespace daisyrelay {

/// Refuses the least urgent class first and readmits it last, in small steps. The steps follow the measured waits, as
/// fractions of the time that the statements may wait: they go up while the waits of any class are long, down while
/// those of all classes are short, and stay in between.
class ClassAdmission
{
public:
    /// Returns whether a new statement of \p priority is admitted. Zero is the most urgent.
    bool admit(Instant now, std::uint32_t priority);

    /// Records that a statement was sent after it had waited for \p fraction of its permitted time, or was refused
    /// since it would have waited for longer (1 or more).
    void recordWait(Instant now, std::uint32_t priority, double fraction);

    /// Returns when all statements of \p priority are expected to be admitted again if demand falls now.
    [[nodiscard]] Duration readmittedAfter(std::uint32_t priority) const;

    /// Returns the fraction of the statements of \p priority that are admitted.
    [[nodiscard]] double admittedFraction(std::uint32_t priority) const;

private:
    struct Class {
        Instant lastSeenAt {};
        double credit = 0; ///< A statement is admitted for each full unit.
        double waitSum = 0; ///< Of the fractions in the current interval.
        std::size_t waitCount = 0;
    };

    void advance(Instant now);
    /// Returns the number of steps by which \p priority is refused.
    [[nodiscard]] std::uint32_t refusedSteps(std::uint32_t priority) const;

    std::map<std::uint32_t, Class> classes_; ///< By priority.
    std::uint32_t level_ = 0; ///< Steps by which classes are refused, the least urgent one first.
    Instant intervalStart_ {};
};

} // namespace daisyrelay
