#include "daisyrelay/control/controlcore.h"

#include "configsummary.h"

namespace daisyrelay {

static constexpr Duration ProposalInterval = std::chrono::milliseconds(500);

ControlCore::ControlCore(VmId self, ControlTiming timing)
    : self_(std::move(self)), timing_(timing), sessions_(timing), detector_(timing), memberManager_(timing)
{
}

void ControlCore::onLeadership(Instant now, bool isLeader, Term leaderTerm)
{
    if (isLeader && tables_.leaderTerm() != leaderTerm) {
        startLeading(now, leaderTerm);
    } else if (isLeader && !isLeader_) {
        resumeLeading();
    }
    if (isLeader_ && !isLeader) {
        pendingChanges_.clear();
    }
    isLeader_ = isLeader;
}

void ControlCore::startLeading(Instant now, Term leaderTerm)
{
    isLeader_ = true;
    tables_.reset(leaderTerm);
    sessions_.reset(now);
    homes_.reset();
    detector_.reset();
    memberManager_.reset();
    failovers_.clear();
    pendingQueries_.clear();
    pendingChanges_.clear();
    registrationProposedAt_.clear();
    entriesBeingRemoved_.clear();
    sharesMayChange_ = true;
    pushedVersion_ = 0;
    updateTerms();
    pushTable(now);
}

void ControlCore::resumeLeading()
{
    // Proposals and database responses may have been lost while this VM was not the leader. Leases and shares granted
    // before stay valid.
    detector_.reset();
    memberManager_.reset();
    failovers_.clear();
    pendingQueries_.clear();
    registrationProposedAt_.clear();
    sharesMayChange_ = true;
}

void ControlCore::onCommitted(Instant now, const LogEntry &entry)
{
    if (entry.command.empty()) {
        return;
    }
    const Expected<ControlCommand> command = decodeControlCommand(entry.command);
    if (!command) {
        return;
    }
    if (const auto *change = std::get_if<ConfigChange>(&*command); change != nullptr) {
        applyChange(*change, entry.index);
        return;
    }
    if (const auto *registration = std::get_if<EntryRegistration>(&*command); registration != nullptr) {
        sharesMayChange_ = state_.apply(*registration) || sharesMayChange_;
        registrationProposedAt_.erase(registration->entry);
        entriesBeingRemoved_.erase(registration->entry);
        if (!registration->isRegistered) {
            homes_.removeEntry(registration->entry);
        }
        return;
    }
    if (const auto *term = std::get_if<GroupTermCommand>(&*command); term != nullptr) {
        if (state_.apply(*term) && isLeader_ && !term->term.primary.empty()) {
            failovers_.erase(term->term.group);
            followPrimary(now, term->term);
        }
    } else if (const auto *members = std::get_if<GroupMembersCommand>(&*command); members != nullptr) {
        state_.apply(*members);
    }
    if (isLeader_) {
        updateTerms();
        pushTable(now);
    }
}

void ControlCore::applyChange(const ConfigChange &change, std::uint64_t logIndex)
{
    const ConfigOutcome outcome = state_.apply(change, logIndex);
    if (const auto pending = pendingChanges_.find(change.changeId); pending != pendingChanges_.end()) {
        for (const auto &[vm, requestId] : pending->second.requesters) {
            respondToChange(vm, requestId, outcome);
        }
        pendingChanges_.erase(pending);
    }
    if (!isLeader_) {
        return;
    }
    for (const auto &[vm, session] : sessions_.all()) {
        grant(vm, 0);
    }
}

Expected<void> ControlCore::restoreSnapshot(Instant now, std::string_view bytes)
{
    Expected<ControlState> restored = ControlState::decodeSnapshot(bytes);
    if (!restored) {
        return tl::unexpected(restored.error());
    }
    state_ = std::move(*restored);
    if (isLeader_) {
        updateTerms();
        pushTable(now);
    }
    return {};
}

std::string ControlCore::encodeSnapshot() const
{
    return state_.encodeSnapshot();
}

void ControlCore::onLeaseRequest(Instant now, const LeaseRequest &request)
{
    if (!isLeader_ || entriesBeingRemoved_.contains(request.entry)) {
        return;
    }
    const auto registered = state_.entries().find(request.entry);
    if (registered == state_.entries().end() || registered->second != request.zone) {
        Instant &proposedAt = registrationProposedAt_[request.entry];
        if (proposedAt == Instant {} || now >= proposedAt + ProposalInterval) {
            proposedAt = now;
            propose(EntryRegistration { request.entry, request.zone, true });
        }
        return;
    }
    const EntrySession *previous = sessions_.find(request.entry);
    const std::uint64_t confirmedBefore = previous == nullptr ? 0 : previous->confirmedVersion;
    const bool wasReleasing = previous != nullptr && !previous->releasing.empty();
    const bool isNew = sessions_.recordHeartbeat(now, request, tables_.leaderTerm());
    const EntrySession &session = *sessions_.find(request.entry);
    const bool mayFreeShares
        = session.confirmedVersion != confirmedBefore || !session.releasing.empty() || wasReleasing;
    if (mayFreeShares && request.tableLeaderTerm == tables_.leaderTerm()) {
        homes_.confirmTable(request.entry, request.tableVersion, request.releasing);
    }
    sharesMayChange_ = sharesMayChange_ || isNew || mayFreeShares;
    grant(request.entry, request.nonce);
}

void ControlCore::onAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    sharesMayChange_ = backends_.recordAnnouncement(now, announcement) || sharesMayChange_;
}

void ControlCore::onConfigChange(Instant now, const VmId &from, const ConfigChangeRequest &request)
{
    if (!isLeader_) {
        actions_.emplace_back(SendControlMessage { from,
            ConfigChangeResponse {
                request.requestId, false, ErrorKind::NoQuorum, "this control VM is not the leader", 0 } });
        return;
    }
    if (const std::optional<ConfigOutcome> outcome = state_.outcomeOf(request.change.changeId); outcome) {
        respondToChange(from, request.requestId, *outcome);
        return;
    }
    if (const Expected<Configuration> parsed = parseConfiguration(request.change.configJson); !parsed) {
        actions_.emplace_back(SendControlMessage { from,
            ConfigChangeResponse {
                request.requestId, false, ErrorKind::InvalidConfig, parsed.error().detail, state_.configVersion() } });
        return;
    }
    PendingChange &pending = pendingChanges_[request.change.changeId];
    pending.requesters[from] = request.requestId;
    if (pending.proposedAt != Instant {} && now < pending.proposedAt + ProposalInterval) {
        return;
    }
    pending.proposedAt = now;
    ConfigChange change = request.change;
    change.receivedBy = from;
    change.summary = summarizeChange(state_.configJson(), change.configJson);
    propose(std::move(change));
}

void ControlCore::respondToChange(const VmId &to, std::uint64_t requestId, const ConfigOutcome &outcome)
{
    actions_.emplace_back(SendControlMessage {
        to, ConfigChangeResponse { requestId, outcome.isAccepted, outcome.error, "", outcome.version } });
}

void ControlCore::propose(ControlCommand command)
{
    actions_.emplace_back(ProposeCommand { std::move(command) });
}

std::vector<ControlAction> ControlCore::takeActions()
{
    return std::exchange(actions_, {});
}

const ControlState &ControlCore::state() const
{
    return state_;
}

std::map<VmId, std::uint64_t> ControlCore::liveEntries(Instant now) const
{
    std::map<VmId, std::uint64_t> result;
    for (const auto &[vm, session] : sessions_.all()) {
        if (session.leaseExpiresAt > now) {
            result.emplace(vm, session.configVersion);
        }
    }
    return result;
}

std::map<GroupKey, FailoverStage> ControlCore::failovers() const
{
    std::map<GroupKey, FailoverStage> result;
    for (const auto &[group, failover] : failovers_) {
        result.emplace(group, failover.stage());
    }
    return result;
}

std::vector<HomeGrant> ControlCore::homes() const
{
    return tables_.homes();
}

void ControlCore::updateTerms()
{
    for (const auto &[group, term] : state_.terms()) {
        GroupTerm row = term;
        if (const auto members = state_.members().find(group); members != state_.members().end()) {
            row.members = members->second.acknowledgingMembers();
        }
        tables_.setTerm(row);
    }
}

void ControlCore::pushTable(Instant /*now*/)
{
    if (pushedVersion_ == tables_.version()) {
        return;
    }
    pushedVersion_ = tables_.version();
    for (const auto &[vm, zone] : state_.entries()) {
        grant(vm, 0);
    }
}

void ControlCore::grant(const VmId &to, std::uint64_t nonce)
{
    const EntrySession *session = sessions_.find(to);
    LeaseGrant message;
    message.nonce = nonce;
    message.durationMs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(timing_.leaseDuration).count());
    message.table = tables_.tableFor(to, session == nullptr ? 0 : session->reportedVersion);
    message.table.keepsPreviousHomes = !homes_.hasCollectedLeases();
    message.configVersion = state_.configVersion();
    if (session != nullptr && session->configVersion < state_.configVersion()) {
        message.configJson = state_.configJson();
    }
    actions_.emplace_back(SendControlMessage { to, std::move(message) });
}

void ControlCore::assignHomes(Instant now)
{
    // Leases expire without an event, so the shares are checked periodically.
    if (!sharesMayChange_ && now < sharesCheckedAt_ + timing_.maxHomeSilence) {
        return;
    }
    sharesMayChange_ = false;
    sharesCheckedAt_ = now;
    if (!homes_.collectLeases(now, state_.entries(), sessions_)) {
        return;
    }
    bool hasChanged = false;
    for (const auto &[id, backend] : backends_.all()) {
        hasChanged = homes_.assign(now, backend.announcement, state_.entries(), sessions_, tables_) || hasChanged;
    }
    sharesMayChange_ = hasChanged;
}

void ControlCore::removeExpiredEntries(Instant now)
{
    for (const auto &[vm, zone] : state_.entries()) {
        const EntrySession *session = sessions_.find(vm);
        const Instant lastHeartbeatAt = session == nullptr ? sessions_.leaderSince() : session->lastHeartbeatAt;
        if (now < lastHeartbeatAt + timing_.entryExpiry) {
            continue;
        }
        Instant &proposedAt = registrationProposedAt_[vm];
        if (proposedAt == Instant {} || now >= proposedAt + ProposalInterval) {
            proposedAt = now;
            entriesBeingRemoved_.insert(vm);
            propose(EntryRegistration { vm, zone, false });
        }
    }
}

} // namespace daisyrelay
