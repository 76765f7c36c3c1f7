#include "daisyrelay/membership/prober.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t MostHurried = 16;
static constexpr unsigned HelpRounds = 2;

Prober::Prober(const MembershipTiming &timing, std::uint64_t seed) : timing_(timing), random_(seed)
{
}

void Prober::hurry(const VmId &id)
{
    if (hurried_.size() < MostHurried && std::find(hurried_.begin(), hurried_.end(), id) == hurried_.end()) {
        hurried_.push_back(id);
    }
}

void Prober::onAck(std::uint64_t probe)
{
    std::erase_if(probes_, [probe](const Probe &open) { return open.number == probe; });
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
        while (!order_.empty()) {
            const VmId id = order_.front();
            order_.pop_front();
            if (isProbed(members, id)) {
                return id;
            }
        }
        for (const auto &[id, known] : members.all()) {
            if (isProbed(members, id)) {
                order_.push_back(id);
            }
        }
        std::shuffle(order_.begin(), order_.end(), random_);
    }
    return std::nullopt;
}

std::vector<VmId> Prober::helpers(const VmId &target, const MemberTable &members)
{
    std::vector<VmId> all;
    for (const auto &[id, known] : members.all()) {
        if (id != target && id != members.self().id && known.record.state == MemberState::Alive) {
            all.push_back(id);
        }
    }
    std::vector<VmId> chosen;
    std::sample(all.begin(), all.end(), std::back_inserter(chosen), timing_.indirectHelpers, random_);
    return chosen;
}

void Prober::start(Instant now, const VmId &target)
{
    probes_.push_back({ target, nextNumber_++, now, now, 0 });
}

void Prober::advance(Instant now, Probe &probe, const MemberTable &members, std::vector<ProbeStep> &steps)
{
    if (probe.nextPingAt <= now) {
        probe.nextPingAt = now + timing_.pingRetry;
        steps.push_back({ ProbeStep::Kind::Ping, probe.target, probe.target, probe.number });
    }
    if (probe.asked < HelpRounds && probe.startedAt + timing_.indirectAfter + probe.asked * timing_.pingRetry <= now) {
        ++probe.asked;
        for (const VmId &helper : helpers(probe.target, members)) {
            steps.push_back({ ProbeStep::Kind::AskHelper, helper, probe.target, probe.number });
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
    while (!hurried_.empty()) {
        if (isProbed(members, hurried_.front())) {
            start(now, hurried_.front());
        }
        hurried_.pop_front();
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
