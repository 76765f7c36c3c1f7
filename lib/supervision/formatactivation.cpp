#include "daisyrelay/supervision/formatactivation.h"

#include <algorithm>

namespace daisyrelay {

FormatActivation::FormatActivation(EventLog &log, Metrics &metrics, SupervisionTiming timing)
    : log_(log), metrics_(metrics), timing_(timing)
{
}

void FormatActivation::recordPeer(const VmId &peer, const std::optional<FormatRange> &range)
{
    if (range) {
        ranges_[peer] = *range;
    } else {
        ranges_.erase(peer);
    }
}

void FormatActivation::reset(Instant now, bool isFirstLeader)
{
    isFirstLeader_ = isFirstLeader;
    leaderSince_ = now;
    nextEvaluationAt_.reset();
    supportedSince_.reset();
    proposedAt_.reset();
    activeSince_.reset();
    reportedLagging_.clear();
}

FormatVersion FormatActivation::newestOf(const VmId &peer) const
{
    const auto found = ranges_.find(peer);
    return found == ranges_.end() ? 0 : found->second.newest;
}

bool FormatActivation::supportsActive(const VmId &peer, const SupervisionState &state) const
{
    if (state.activeFormat() < AnnouncedFormat) {
        return true;
    }
    const auto found = ranges_.find(peer);
    return found != ranges_.end() && found->second.contains(state.activeFormat());
}

bool FormatActivation::hasAnnounced(const VmId &peer) const
{
    return ranges_.contains(peer);
}

bool FormatActivation::isDue(Instant now) const
{
    return !nextEvaluationAt_ || now >= *nextEvaluationAt_;
}

std::vector<SupervisionCommand> FormatActivation::tick(
    Instant now, const SupervisionState &state, const std::vector<VmId> &controlVms, const std::set<VmId> &entries)
{
    std::vector<SupervisionCommand> commands;
    nextEvaluationAt_ = now + timing_.formatEvaluationInterval;
    if (std::optional<SupervisionCommand> command = activate(now, state, controlVms, entries)) {
        commands.push_back(*command);
    }
    if (std::optional<SupervisionCommand> command = completeLeaseHolders(now, state)) {
        commands.push_back(*command);
    }
    return commands;
}

std::optional<SupervisionCommand> FormatActivation::activate(
    Instant now, const SupervisionState &state, const std::vector<VmId> &controlVms, const std::set<VmId> &entries)
{
    const FormatVersion active = state.activeFormat();
    metrics_.set("format_active", active);
    if (active >= CurrentFormat) {
        return std::nullopt;
    }
    std::set<VmId> required(controlVms.begin(), controlVms.end());
    required.insert(entries.begin(), entries.end());
    for (const auto &[entry, record] : state.leaseHolders().records()) {
        required.insert(entry);
    }
    FormatVersion next = CurrentFormat;
    std::set<VmId> lagging;
    for (const VmId &vm : required) {
        const FormatVersion newest = newestOf(vm);
        next = std::min(next, newest);
        if (newest < CurrentFormat) {
            lagging.insert(vm);
        }
    }
    reportHeldBack(now, active, lagging);
    if (next <= active || controlVms.empty()) {
        supportedSince_.reset();
        return std::nullopt;
    }
    supportedSince_ = supportedSince_.value_or(now);
    // A system that this build has founded has no earlier build to return to.
    const Duration delay = isFirstLeader_ ? Duration::zero() : timing_.formatActivationDelay;
    if (now - *supportedSince_ < delay || !propose(now)) {
        return std::nullopt;
    }
    return ActivateFormat { next };
}

// Leases that were granted to unregistered entries before the activation have expired after this time.
std::optional<SupervisionCommand> FormatActivation::completeLeaseHolders(Instant now, const SupervisionState &state)
{
    if (state.activeFormat() < LeaseHolderFormat) {
        return std::nullopt;
    }
    activeSince_ = activeSince_.value_or(now);
    const Duration wait
        = std::max<Duration>(timing_.primaryLease.general, timing_.primaryLease.ownZone) + 2 * ClockDriftMargin;
    if (state.areLeaseHoldersComplete() || now - *activeSince_ < wait || !propose(now)) {
        return std::nullopt;
    }
    return CompleteLeaseHolders {};
}

bool FormatActivation::propose(Instant now)
{
    if (proposedAt_ && now - *proposedAt_ <= timing_.commitTimeout) {
        return false;
    }
    proposedAt_ = now;
    return true;
}

void FormatActivation::reportHeldBack(Instant now, FormatVersion active, const std::set<VmId> &lagging)
{
    metrics_.set("format_lagging_vms", static_cast<std::int64_t>(lagging.size()));
    // Right after an election most VMs have not been heard yet.
    if (lagging == reportedLagging_ || now - leaderSince_ < timing_.formatReportDelay) {
        return;
    }
    reportedLagging_ = lagging;
    constexpr std::size_t MaxNames = 4;
    std::string names;
    std::size_t count = 0;
    for (const VmId &vm : lagging) {
        if (count++ < MaxNames) {
            names += (names.empty() ? "" : ",") + vm.value;
        }
    }
    log_.log(now, "format.held_back",
        { { "active", std::uint64_t { active } }, { "supported", std::uint64_t { CurrentFormat } },
            { "vms", std::uint64_t { lagging.size() } }, { "lagging", std::string_view(names) } });
}

} // namespace daisyrelay
