#include "daisyrelay/control/failuredetector.h"

#include <algorithm>

namespace daisyrelay {

FailureDetector::FailureDetector(ControlTiming timing) : timing_(timing)
{
}

PrimaryAction FailureDetector::evaluate(
    Instant now, const GroupKey &group, const BackendId &primary, const PrimaryEvidence &evidence)
{
    const bool isSuspected = evidence.isSilent || evidence.isReportedBad;
    if (!isSuspected && !evidence.isOverdue && !evidence.isHomeSilent) {
        suspicions_.erase(group);
        return PrimaryAction::None;
    }
    const auto known = suspicions_.find(group);
    const bool isNew = known == suspicions_.end() || known->second.primary != primary;
    if (isNew) {
        suspicions_[group] = { primary, false, false, false, {} };
    }
    Suspicion &suspicion = suspicions_[group];
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

void FailureDetector::onProbeResult(
    Instant now, const GroupKey &group, const BackendId &backend, bool hasResponded, bool isRefused)
{
    const auto found = suspicions_.find(group);
    if (found == suspicions_.end() || found->second.primary != backend) {
        return;
    }
    found->second = { backend, false, !hasResponded, isRefused, now };
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
