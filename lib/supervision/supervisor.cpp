#include "daisyrelay/supervision/supervisor.h"

#include <algorithm>

namespace daisyrelay {

Supervisor::Supervisor(
    EventLog &log, Metrics &metrics, std::uint64_t firstId, SupervisionTiming timing, FencingPolicy fencing)
    : log_(log)
    , metrics_(metrics)
    , timing_(timing)
    , entries_(timing)
    , leases_(fencing, timing.primaryLease)
    , leaseRegistrar_(timing, [this](SupervisionCommand command) { propose(std::move(command)); })
    , formats_(log, metrics, timing)
    , coordinators_(log, metrics, timing)
    , heartbeats_(timing)
    , nextId_(firstId)
{
}

void Supervisor::onLeadership(Instant now, bool isLeader, Term term, std::vector<VmId> controlVms)
{
    controlVms_ = std::move(controlVms);
    if (isLeader == isLeader_ && (!isLeader || term == term_)) {
        return;
    }
    isLeader_ = isLeader;
    term_ = term;
    log_.log(now, isLeader ? "control.leads" : "control.yields",
        { { "term", term }, { "config_version", state_.configuration().version } });
    if (!isLeader) {
        failPendingRequests();
        // The next leader may have paused the replicas that one of these would resume.
        std::erase_if(
            actions_, [](const SupervisionAction &action) { return std::holds_alternative<ProbeBackend>(action); });
        return;
    }
    metrics_.add("leaderships_total");
    // The ages of probes and confirmations include the time without leadership.
    monitors_.clear();
    failingOver_.clear();
    serviceByProbe_.clear();
    removalProposedAt_.clear();
    leaderSince_ = now;
    // In the same term no other VM can have led. Quotas and leases that this one granted still count.
    if (std::exchange(ledTerm_, term) == term) {
        return;
    }
    entries_.reset(now, term);
    leases_.reset(now, state_.leaseHolders(), state_.areLeaseHoldersComplete());
    formats_.reset(now, state_.isEmpty());
    leaseRegistrar_.reset(now, state_.leaseHolders());
    coordinators_.reset(now, term);
    heartbeats_.reset(now);
    reportingControlVms_.clear();
    configurationWindow_.reset();
    // A promotion that a former leader has decided may take effect at any time, so that no update may lift its
    // withdrawal.
    for (const auto &[service, promotion] : state_.pendingPromotions()) {
        const PrimaryRecord *primary = state_.primaryOf(service);
        if (primary == nullptr || primary->backend != promotion.backend) {
            leases_.withdraw(now, service, nextId_++, {}, [](const VmId &) { return true; });
        }
    }
}

MonitorContext Supervisor::context()
{
    return { state_, entries_, leases_, heartbeats_.lastHeartbeatAt(), log_, metrics_, term_,
        [this]() { return nextId_++; },
        [this](SupervisionAction action) {
            if (const auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
                serviceByProbe_[probe->probeId] = probe->backend.service;
            }
            actions_.push_back(std::move(action));
        },
        forecast_, probeInterval() };
}

Duration Supervisor::probeInterval() const
{
    return std::max(timing_.probeInterval, timing_.minProbeSpacing * static_cast<std::int64_t>(monitors_.size()));
}

void Supervisor::propose(SupervisionCommand command)
{
    actions_.emplace_back(ProposeSupervision { std::move(command) });
}

// A lowered limit must be in force within LimitApplyTime of its acknowledgment. A coordinator that does not apply new
// configurations therefore loses its authority in time to expire before that.
bool Supervisor::hasCurrentLimits(Instant now, const EntryReport &report) const
{
    const Duration maxAge = timing_.limitApplyTime - timing_.coordinatorLease;
    return std::none_of(recentVersions_.begin(), recentVersions_.end(),
        [&](const auto &entry) { return entry.first > report.configVersion && now - entry.second >= maxAge; });
}

Expected<void> Supervisor::restore(std::string_view bytes)
{
    Expected<SupervisionState> state = SupervisionState::decode(bytes);
    if (!state) {
        return tl::unexpected(state.error());
    }
    state_ = std::move(*state);
    configurations_.record(state_.configuration());
    return {};
}

std::string Supervisor::snapshot() const
{
    return state_.encode();
}

void Supervisor::onReport(Instant now, const VmId &entry, const EntryReport &report)
{
    if (!entries_.sessions().contains(entry)) {
        log_.log(now, "entry.joined",
            { { "entry", std::string_view(entry.value) }, { "name", std::string_view(report.name) },
                { "config_version", report.configVersion } });
    }
    if (!entries_.recordReport(now, entry, report)) {
        metrics_.add("reports_outdated_total");
        return;
    }
    entries_.sessions().at(entry).mayHoldLease = mayHoldLease(now, entry, report.zone);
    if (report.configVersion >= entries_.sessions().at(entry).configSent) {
        configurationWindow_.onConfirmed(now, entry);
    }
    if (const std::size_t ignored = leases_.recordReport(entry, report.runId, report.released); ignored > 0) {
        metrics_.add("releases_ignored_total", ignored);
    }
    coordinators_.recordReport(now, entry, report);
    assignCoordinators(now);
    pushUpdate(now, entry, true);
}

void Supervisor::assignCoordinators(Instant now)
{
    const std::vector<Workspace> &workspaces = state_.configuration().workspaces;
    const bool haveLimits = std::any_of(workspaces.begin(), workspaces.end(),
        [](const Workspace &workspace) { return workspace.operationsPerSecond > 0; });
    coordinators_.assign(now, haveLimits);
}

void Supervisor::onProbe(Instant now, const ProbeOutcome &outcome)
{
    const auto probe = serviceByProbe_.find(outcome.probeId);
    if (probe == serviceByProbe_.end()) {
        return;
    }
    const ServiceId service = std::move(probe->second);
    serviceByProbe_.erase(probe);
    if (const auto monitor = monitors_.find(service); isLeader_ && monitor != monitors_.end()) {
        monitor->second.onProbe(now, outcome, context());
    }
}

void Supervisor::onPromotion(Instant now, const ServiceId &service, std::uint64_t token, PromotionOutcome outcome)
{
    metrics_.add("promotion_calls_total");
    if (const auto monitor = monitors_.find(service); isLeader_ && monitor != monitors_.end()) {
        monitor->second.onPromotion(now, token, outcome, context());
    }
}

void Supervisor::tick(Instant now)
{
    if (!isLeader_) {
        return;
    }
    entries_.removeExpired(now);
    leaseRegistrar_.removeSilent(now, state_.leaseHolders());
    proposeFormat(now);
    configurationWindow_.removeExpired(now);
    if (now - homesAssignedAt_ >= timing_.homeAssignmentInterval) {
        homesAssignedAt_ = now;
        if (entries_.assignHomes(now, state_)) {
            log_.log(now, "homes.assigned",
                { { "version", entries_.homesVersion() },
                    { "entries", std::uint64_t { entries_.sessions().size() } } });
        }
    }
    assignCoordinators(now);
    removeSilentBackends(now);
    const bool hasChangedFailover = tickMonitors(now);
    if (hasChangedFailover || isPushDue_) {
        pushUpdates(now);
    }
    respondToCompleted(now);
}

bool Supervisor::tickMonitors(Instant now)
{
    if (monitoredTopology_ != state_.topologyIndex() || monitors_.empty()) {
        monitoredTopology_ = state_.topologyIndex();
        for (const auto &[id, backend] : state_.backends()) {
            monitors_.try_emplace(backend.service, now, backend.service, timing_);
        }
    }
    bool hasChanged = false;
    for (auto &[service, monitor] : monitors_) {
        if (!monitor.isDue(now)) {
            continue;
        }
        monitor.tick(now, context());
        if (monitor.isFailingOver()) {
            hasChanged = failingOver_.insert(service).second || hasChanged;
        } else {
            hasChanged = failingOver_.erase(service) > 0 || hasChanged;
        }
    }
    return hasChanged;
}

void Supervisor::removeSilentBackends(Instant now)
{
    if (now - leaderSince_ < timing_.backendExpiry || now - silentBackendsCheckedAt_ < timing_.homeAssignmentInterval) {
        return;
    }
    silentBackendsCheckedAt_ = now;
    for (const auto &[id, backend] : state_.backends()) {
        const auto lastHeartbeat = heartbeats_.lastHeartbeatAt().find(id);
        const bool isSilent = lastHeartbeat == heartbeats_.lastHeartbeatAt().end()
            || now - lastHeartbeat->second > timing_.backendExpiry;
        if (isSilent && now - removalProposedAt_[id] > timing_.commitTimeout) {
            removalProposedAt_[id] = now;
            propose(RemoveBackend { id, backend.startedAtMs });
        }
    }
}

// Sends changes that arrive close together in one update.
void Supervisor::pushUpdates(Instant now)
{
    isPushDue_ = false;
    for (const auto &[entry, session] : entries_.sessions()) {
        pushUpdate(now, entry, false);
    }
}

void Supervisor::addConfiguration(Instant now, const VmId &entry, ReportingEntry &session, EntryUpdate &update)
{
    const EntryReport &report = session.report;
    const bool isChangeRefused = report.needsWholeConfiguration && !session.isWholeConfigSent;
    // At most one configuration is in flight to an entry, so that after many changes in a row only the latest is sent.
    if (report.configVersion >= update.configVersion
        || (configurationWindow_.isInFlight(now, entry) && !isChangeRefused)) {
        return;
    }
    const std::string &bytes = report.needsWholeConfiguration ? configurations_.encodedWhole()
                                                              : configurations_.encodedFrom(report.configVersion);
    if (!configurationWindow_.hasRoomFor(bytes.size())) {
        return;
    }
    configurationWindow_.onSent(now, entry, bytes.size());
    metrics_.add("configuration_bytes_sent_total", bytes.size());
    update.configuration = bytes;
    session.isWholeConfigSent = report.needsWholeConfiguration;
    session.configSent = update.configVersion;
}

void Supervisor::pushUpdate(Instant now, const VmId &entry, bool isResponse)
{
    ReportingEntry &session = entries_.sessions().at(entry);
    EntryUpdate update;
    update.leaderTerm = term_;
    update.sequence = session.report.sequence;
    update.runId = session.report.runId;
    update.configVersion = state_.configuration().version;
    addConfiguration(now, entry, session, update);
    const std::uint64_t topologyIndex = state_.topologyIndex();
    const bool mustResendTopology = now - session.topologySentAt > timing_.pushRetryInterval;
    const bool isTopologyConfirmed = session.report.topologyIndex >= session.topologySent;
    if (session.report.topologyIndex < topologyIndex && (mustResendTopology || isTopologyConfirmed)) {
        update.topology = state_.changesSince(session.report.topologyIndex, MaxTopologyChangesPerUpdate);
        session.topologySent = update.topology->index;
        session.topologySentAt = now;
    }
    update.number = nextUpdateNumber_++;
    update.topologyIndex = topologyIndex;
    update.withdrawn = leases_.withdrawals();
    if (isResponse) {
        if (session.mayHoldLease) {
            // Other builds may use a primary of the own zone for as long as any other.
            const bool knowsOwnZone = formats_.hasAnnounced(entry);
            update.lease = leases_.grant(now, entry, session.report.runId, session.report.zone, knowsOwnZone);
        }
        update.quotas = entries_.grantQuotas(now, entry, state_);
        update.controlVms = controlVms_;
        update.peers = entries_.peersFor(now, entry);
        if (hasCurrentLimits(now, session.report)) {
            update.coordinators = coordinators_.respond(now, entry, session.report.runId);
        }
        const bool knowsEntries = now - leaderSince_ >= timing_.quotaGrantDelay;
        if (knowsEntries && !state_.configuration().workspaces.empty()) {
            update.coordinators.entryCount = static_cast<std::uint32_t>(entries_.sessions().size());
        }
        if (entries_.homesVersion() > session.report.homesVersion) {
            update.homes = entries_.homesSince(session.report.homesVersion);
        }
    }
    for (const ServiceId &service : failingOver_) {
        const Duration remaining = monitors_.at(service).expectedRemaining(now, leases_, forecast_);
        update.failingOver.push_back({ service,
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count()) });
    }
    update.reportIntervalMs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(entries_.reportInterval()).count());
    actions_.emplace_back(SendEntryUpdate { entry, std::move(update) });
}

std::vector<SupervisionAction> Supervisor::takeActions()
{
    return std::exchange(actions_, {});
}

const SupervisionState &Supervisor::state() const
{
    return state_;
}

bool Supervisor::isLeader() const
{
    return isLeader_;
}

} // namespace daisyrelay
