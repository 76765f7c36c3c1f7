#include "daisyrelay/membership/prober.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t MaxUrgentProbes = 16;
static constexpr unsigned IndirectProbeRounds = 2;

Prober::Prober(const MembershipTiming &timing, std::uint64_t seed) : timing_(timing), random_(seed)
{
}

void Prober::probeSoon(const VmId &id)
{
    if (urgentTargets_.size() < MaxUrgentProbes
        && std::find(urgentTargets_.begin(), urgentTargets_.end(), id) == urgentTargets_.end()) {
        urgentTargets_.push_back(id);
    }
}

void Prober::onAck(std::uint64_t probe)
{
    std::erase_if(probes_, [probe](const Probe &probeInFlight) { return probeInFlight.number == probe; });
}

static bool isProbed(const MemberTable &members, const VmId &id)
{
    const KnownMember *known = members.find(id);
    return known != nullptr && id != members.self().id
        && (known->record.state == MemberState::Alive || known->record.state == MemberState::Suspect);
}

std::optional<VmId> Prober::nextTarget(const MemberTable &members)
{
    for (int round = 0; round < 2; ++round) {
        while (!probeOrder_.empty()) {
            const VmId id = probeOrder_.front();
            probeOrder_.pop_front();
            if (isProbed(members, id)) {
                return id;
            }
        }
        for (const auto &[id, known] : members.all()) {
            if (isProbed(members, id)) {
                probeOrder_.push_back(id);
            }
        }
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
    }
    return std::nullopt;
}

std::vector<VmId> Prober::chooseHelpers(const VmId &target, const MemberTable &members)
{
    std::vector<VmId> alive;
    for (const auto &[id, known] : members.all()) {
        if (id != target && id != members.self().id && known.record.state == MemberState::Alive) {
            alive.push_back(id);
        }
    }
    std::vector<VmId> chosen;
    std::sample(alive.begin(), alive.end(), std::back_inserter(chosen), timing_.maxIndirectHelpers, random_);
    return chosen;
}

void Prober::start(Instant now, const VmId &target)
{
    probes_.push_back({ target, nextNumber_++, now, now, 0 });
}

void Prober::advance(Instant now, Probe &probe, const MemberTable &members, std::vector<ProbeStep> &steps)
{
    if (probe.nextPingAt <= now) {
        probe.nextPingAt = now + timing_.pingRetryInterval;
        steps.push_back({ ProbeStep::Kind::Ping, probe.target, probe.target, probe.number });
    }
    if (probe.indirectRounds < IndirectProbeRounds
        && probe.startedAt + timing_.indirectProbeDelay + probe.indirectRounds * timing_.pingRetryInterval <= now) {
        ++probe.indirectRounds;
        for (const VmId &helper : chooseHelpers(probe.target, members)) {
            steps.push_back({ ProbeStep::Kind::RequestPing, helper, probe.target, probe.number });
        }
    }
}

std::vector<ProbeStep> Prober::tick(Instant now, const MemberTable &members)
{
    std::vector<ProbeStep> steps;
    if (nextProbeAt_ <= now) {
        nextProbeAt_ = now + timing_.probeInterval;
        if (const std::optional<VmId> target = nextTarget(members); target) {
            start(now, *target);
        }
    }
    while (!urgentTargets_.empty()) {
        if (isProbed(members, urgentTargets_.front())) {
            start(now, urgentTargets_.front());
        }
        urgentTargets_.pop_front();
    }
    for (Probe &probe : probes_) {
        if (probe.startedAt + timing_.probeTimeout <= now) {
            steps.push_back({ ProbeStep::Kind::Failed, {}, probe.target, probe.number });
        } else {
            advance(now, probe, members, steps);
        }
    }
    std::erase_if(probes_, [this, now](const Probe &probe) { return probe.startedAt + timing_.probeTimeout <= now; });
    return steps;
}

} // namespace daisyrelay
