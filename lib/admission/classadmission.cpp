#include "daisyrelay/admission/classadmission.h"

#include <algorithm>
#include <iterator>

namespace daisyrelay {

/// Each step refuses or readmits a tenth of a class.
static constexpr std::uint32_t StepsPerClass = 10;
/// A whole class is refused within half a second; shorter intervals contain too few statements to judge by.
static constexpr Duration StepInterval = std::chrono::milliseconds(50);
/// Mean wait, as a fraction of the permitted one, above which another step is refused. Statements that arrive later and
/// are more urgent still have to pass.
static constexpr double LongWait = 0.5;
/// Below LongWait by more than a step changes, so that the level does not oscillate.
static constexpr double ShortWait = 0.3;
/// A class without statements for this time does not count as a class.
static constexpr Duration ClassRetention = std::chrono::seconds(2);
/// After this many intervals without a call nothing is left of an overload.
static constexpr Duration::rep MaxIdleSteps = 64;

void ClassAdmission::advance(Instant now)
{
    if (now - intervalStart_ < StepInterval) {
        return;
    }
    const Duration::rep idleSteps = std::min((now - intervalStart_) / StepInterval - 1, MaxIdleSteps);
    double longest = 0;
    for (auto &[priority, measured] : classes_) {
        if (measured.waitCount > 0) {
            longest = std::max(longest, measured.waitSum / static_cast<double>(measured.waitCount));
        }
        measured.waitSum = 0;
        measured.waitCount = 0;
    }
    std::erase_if(classes_, [now](const auto &entry) { return now - entry.second.lastSeenAt > ClassRetention; });
    const auto maxLevel = static_cast<std::uint32_t>(classes_.size()) * StepsPerClass;
    if (longest > LongWait) {
        level_ = std::min(level_ + 1, maxLevel);
    } else if (longest < ShortWait && level_ > 0) {
        --level_;
    }
    level_ = std::min(level_ - std::min(level_, static_cast<std::uint32_t>(idleSteps)), maxLevel);
    intervalStart_ = now;
}

std::uint32_t ClassAdmission::refusedSteps(std::uint32_t priority) const
{
    const auto lessUrgent = static_cast<std::uint32_t>(std::distance(classes_.upper_bound(priority), classes_.end()));
    const std::uint32_t before = lessUrgent * StepsPerClass;
    return level_ <= before ? 0 : std::min(level_ - before, StepsPerClass);
}

double ClassAdmission::admittedFraction(std::uint32_t priority) const
{
    // Part of the most urgent class always passes, so that waits continue to be measured.
    constexpr std::uint32_t MaxStepsOfMostUrgent = 5;
    const std::uint32_t steps = refusedSteps(priority);
    const bool isMostUrgent = classes_.empty() || priority <= classes_.begin()->first;
    return 1 - static_cast<double>(isMostUrgent ? std::min(steps, MaxStepsOfMostUrgent) : steps) / StepsPerClass;
}

bool ClassAdmission::admit(Instant now, std::uint32_t priority)
{
    advance(now);
    Class &own = classes_[priority];
    own.lastSeenAt = now;
    own.credit += admittedFraction(priority);
    constexpr double Tolerance = 1e-9; // Sums of tenths are not exact.
    if (own.credit + Tolerance < 1) {
        return false;
    }
    own.credit = std::min(own.credit - 1, 1.0);
    return true;
}

void ClassAdmission::recordWait(Instant now, std::uint32_t priority, double fraction)
{
    advance(now);
    Class &own = classes_[priority];
    own.lastSeenAt = std::max(own.lastSeenAt, now);
    own.waitSum += std::clamp(fraction, 0.0, 1.0);
    ++own.waitCount;
}

Duration ClassAdmission::readmittedAfter(std::uint32_t priority) const
{
    return StepInterval * static_cast<Duration::rep>(refusedSteps(priority));
}

} // namespace daisyrelay
