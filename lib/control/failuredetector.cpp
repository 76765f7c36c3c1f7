#include "daisyrelay/control/failuredetector.h"

#include <algorithm>

namespace daisyrelay {

FailureDetector::FailureDetector(ControlTiming timing) : timing_(timing)
{
}

PrimaryAction FailureDetector::evaluate(Instant now, const GroupKey &group, const PrimaryEvidence &evidence)
{
    const bool isSuspected = evidence.isSilent || evidence.isReportedBad;
    if (!isSuspected && !evidence.isOverdue && !evidence.isHomeSilent) {
        suspicions_.erase(group);
        return PrimaryAction::None;
    }
    const auto [found, isNew] = suspicions_.try_emplace(group);
    Suspicion &suspicion = found->second;
    if (isSuspected && suspicion.hasFailed) {
        const auto damping = damping_.find(group);
        const bool isHeldOff = damping != damping_.end() && now < damping->second.replacedAt + damping->second.holdOff;
        if (suspicion.isRefused || !isHeldOff) {
            return PrimaryAction::Replace;
        }
    }
    if (suspicion.isProbing || (!isNew && now < suspicion.probedAt + timing_.probeInterval)) {
        return PrimaryAction::None;
    }
    suspicion.isProbing = true;
    suspicion.probedAt = now;
    return PrimaryAction::Probe;
}

void FailureDetector::onProbeResult(Instant now, const GroupKey &group, bool hasResponded, bool isRefused)
{
    const auto found = suspicions_.find(group);
    if (found == suspicions_.end()) {
        return;
    }
    found->second = { false, !hasResponded, isRefused, now };
}

void FailureDetector::onFailoverStarted(Instant now, const GroupKey &group)
{
    suspicions_.erase(group);
    Damping &damping = damping_[group];
    const bool isFlapping = damping.holdOff > Duration::zero() && now < damping.replacedAt + timing_.flapWindow;
    damping.holdOff = isFlapping ? std::min(2 * damping.holdOff, timing_.maxHoldOff) : timing_.holdOff;
    damping.replacedAt = now;
}

void FailureDetector::reset()
{
    suspicions_.clear();
}

} // namespace daisyrelay
