#include "daisyrelay/control/failuredetector.h"

#include <algorithm>

namespace daisyrelay {

FailureDetector::FailureDetector(ControlTiming timing) : timing_(timing)
{
}

PrimaryVerdict FailureDetector::judge(Instant now, const GroupKey &group, const PrimaryEvidence &evidence)
{
    const bool witness = evidence.silent || evidence.badView;
    if (!witness && !evidence.quiet && !evidence.homeSilent) {
        suspicions_.erase(group);
        return PrimaryVerdict::Fine;
    }
    const auto [found, isNew] = suspicions_.try_emplace(group);
    Suspicion &suspicion = found->second;
    if (witness && suspicion.failed) {
        const auto damping = damping_.find(group);
        const bool held = damping != damping_.end() && now < damping->second.replacedAt + damping->second.holdOff;
        if (suspicion.refused || !held) {
            return PrimaryVerdict::Replace;
        }
    }
    if (suspicion.probing || (!isNew && now < suspicion.probedAt + timing_.probeInterval)) {
        return PrimaryVerdict::Fine;
    }
    suspicion.probing = true;
    suspicion.probedAt = now;
    return PrimaryVerdict::Probe;
}

void FailureDetector::probed(Instant now, const GroupKey &group, bool answered, bool refused)
{
    const auto found = suspicions_.find(group);
    if (found == suspicions_.end()) {
        return;
    }
    found->second = { false, !answered, refused, now };
}

void FailureDetector::replaced(Instant now, const GroupKey &group)
{
    suspicions_.erase(group);
    Damping &damping = damping_[group];
    const bool flaps = damping.holdOff > Duration::zero() && now < damping.replacedAt + timing_.flapWindow;
    damping.holdOff = flaps ? std::min(2 * damping.holdOff, timing_.longestHoldOff) : timing_.holdOff;
    damping.replacedAt = now;
}

void FailureDetector::reset()
{
    suspicions_.clear();
}

} // namespace daisyrelay
