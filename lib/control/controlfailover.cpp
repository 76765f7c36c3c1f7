// The part of ControlCore that monitors primaries and replaces them.
#include "daisyrelay/control/controlcore.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration FollowInterval = std::chrono::milliseconds(500);
static constexpr Duration HandoverRetryDelay = std::chrono::seconds(10);
/// A handover starts only if a replica lags the primary by at most this many positions.
static constexpr Position MaxHandoverLag = 1000;

void ControlCore::tick(Instant now)
{
    if (!isLeader_) {
        return;
    }
    suspectBackends_.clear();
    for (const auto &[vm, session] : sessions_.all()) {
        for (const BackendView &view : session.suspectViews) {
            if (session.leaseExpiresAt > now
                && (!view.isReachable || std::chrono::milliseconds(view.stalledMs) >= timing_.maxStatementStall)) {
                suspectBackends_.insert(view.backend);
            }
        }
    }
    for (const auto &[group, backends] : backends_.groups()) {
        monitorGroup(now, group);
    }
    // Also monitors groups whose databases never announced themselves to this leader.
    for (const auto &[group, term] : state_.terms()) {
        if (!backends_.groups().contains(group)) {
            monitorGroup(now, group);
        }
    }
    assignHomes(now);
    removeExpiredEntries(now);
    pushTable(now);
}

void ControlCore::monitorGroup(Instant now, const GroupKey &group)
{
    if (const auto failover = failovers_.find(group); failover != failovers_.end()) {
        advanceFailover(now, group, failover->second);
        return;
    }
    const auto members = state_.members().find(group);
    if (members == state_.members().end()) {
        if (std::optional<GroupMembersCommand> initialMembers
            = memberManager_.proposeInitialMembers(now, group, backends_, sessions_.leaderSince());
            initialMembers) {
            propose(std::move(*initialMembers));
        }
        return;
    }
    const auto term = state_.terms().find(group);
    if (term == state_.terms().end() || term->second.primary.empty()) {
        startFailover(now, group, false);
        return;
    }
    monitorPrimary(now, term->second, members->second);
}

void ControlCore::monitorPrimary(Instant now, const GroupTerm &term, const GroupMembers &members)
{
    const PrimaryAction action = detector_.evaluate(now, term.group, term.primary, evidenceFor(now, term));
    if (action == PrimaryAction::Replace) {
        startFailover(now, term.group, false);
        return;
    }
    if (action == PrimaryAction::Probe) {
        queryPosition(QueryPurpose::Probe, term.group, term.primary);
    }
    if (canHandOver(now, term, members)) {
        handoverRetryAt_[term.group] = now + HandoverRetryDelay;
        startFailover(now, term.group, true);
        return;
    }
    followPrimary(now, term);
    const bool isConfirmed = sessions_.haveAllConfirmed(now, tables_.versionOf(term.group), state_.entries());
    const GroupView view { term, members, backends_, isConfirmed, sessions_.leaderSince() };
    if (std::optional<GroupMembersCommand> change = memberManager_.proposeNextChange(now, view); change) {
        propose(std::move(*change));
    }
    if (memberManager_.takePositionQuery(term.group)) {
        queryPosition(QueryPurpose::CatchUpPoint, term.group, term.primary);
    }
}

PrimaryEvidence ControlCore::evidenceFor(Instant now, const GroupTerm &term) const
{
    PrimaryEvidence evidence;
    evidence.isSilent = backends_.silenceOf(now, term.primary, sessions_.leaderSince()) > timing_.maxSilence;
    evidence.isOverdue = backends_.silenceOf(now, term.primary, sessions_.leaderSince()) > timing_.probeAfterSilence;
    evidence.isReportedBad = suspectBackends_.contains(term.primary);
    const HomeGrant *home = tables_.homeOf(term.primary);
    if (home != nullptr && !home->entry.empty()) {
        const EntrySession *session = sessions_.find(home->entry);
        evidence.isHomeSilent = session == nullptr || now > session->lastHeartbeatAt + timing_.maxHomeSilence;
    }
    return evidence;
}

bool ControlCore::canHandOver(Instant now, const GroupTerm &term, const GroupMembers &members) const
{
    const KnownBackend *primary = backends_.find(term.primary);
    if (primary == nullptr || !primary->announcement.isLeaving) {
        return false;
    }
    if (const auto retry = handoverRetryAt_.find(term.group); retry != handoverRetryAt_.end() && now < retry->second) {
        return false;
    }
    return std::any_of(members.members.begin(), members.members.end(), [&](const BackendId &member) {
        const KnownBackend *known = backends_.find(member);
        return member != term.primary && known != nullptr && !known->announcement.isLeaving
            && now < known->lastSeenAt + timing_.formationDelay && known->announcement.point.term == term.term
            && known->announcement.point.position + MaxHandoverLag >= primary->announcement.point.position;
    });
}

void ControlCore::startFailover(Instant now, const GroupKey &group, bool isPlanned)
{
    const auto known = state_.terms().find(group);
    Term term = known == state_.terms().end() ? 0 : known->second.term;
    BackendId oldPrimary = known == state_.terms().end() ? BackendId {} : known->second.primary;
    for (const KnownBackend *backend : backends_.ofGroup(group)) {
        term = std::max(term, backend->announcement.point.term);
    }
    if (const auto running = failovers_.find(group); running != failovers_.end()) {
        term = std::max(term, running->second.term());
        oldPrimary = running->second.oldPrimary();
    }
    ++term;
    if (!isPlanned && !oldPrimary.empty()) {
        detector_.onFailoverStarted(now, group);
    }
    const auto [failover, isNew]
        = failovers_.insert_or_assign(group, GroupFailover(timing_, term, oldPrimary, isPlanned));
    advanceFailover(now, group, failover->second);
}

void ControlCore::advanceFailover(Instant now, const GroupKey &group, GroupFailover &failover)
{
    if (std::optional<GroupTerm> proposal = failover.takeTermProposal(now, group); proposal) {
        propose(GroupTermCommand { std::move(*proposal) });
    }
    if (failover.stage() == FailoverStage::Revoking) {
        const auto term = state_.terms().find(group);
        if (term == state_.terms().end() || term->second.term < failover.term()
            || !sessions_.haveAllConfirmed(now, tables_.versionOf(group), state_.entries())) {
            return;
        }
        failover.startSurvey(now);
    }
    const auto members = state_.members().find(group);
    if (failover.stage() != FailoverStage::Surveying || members == state_.members().end()) {
        return;
    }
    std::set<BackendId> leaving;
    for (const KnownBackend *backend : backends_.ofGroup(group)) {
        if (backend->announcement.isLeaving) {
            leaving.insert(backend->announcement.id);
        }
    }
    if (const std::optional<BackendId> best = failover.chooseCandidate(now, members->second, leaving); best) {
        const BackendAnnouncement &announcement = backends_.find(*best)->announcement;
        actions_.emplace_back(PromoteBackend { *best, { announcement.host, announcement.port }, failover.term() });
        return;
    }
    for (const BackendId &backend : failover.nextQueries(now, members->second)) {
        if (backends_.find(backend) == nullptr) {
            failover.onPosition(now, backend, std::nullopt);
        } else {
            queryPosition(QueryPurpose::Survey, group, backend);
        }
    }
}

void ControlCore::queryPosition(QueryPurpose purpose, const GroupKey &group, const BackendId &backend)
{
    const std::uint64_t queryId = nextQueryId_++;
    pendingQueries_[queryId] = { purpose, backend, group };
    const KnownBackend *known = backends_.find(backend);
    const Endpoint address
        = known == nullptr ? Endpoint {} : Endpoint { known->announcement.host, known->announcement.port };
    actions_.emplace_back(QueryPosition { queryId, backend, address });
}

void ControlCore::onPositionQueryResult(Instant now, const PositionQueryResult &result)
{
    const auto found = pendingQueries_.find(result.queryId);
    if (found == pendingQueries_.end()) {
        return;
    }
    const PendingQuery query = found->second;
    pendingQueries_.erase(found);
    if (query.purpose == QueryPurpose::Probe) {
        detector_.onProbeResult(now, query.group, query.backend, result.point.has_value(), result.isRefused);
    } else if (query.purpose == QueryPurpose::CatchUpPoint) {
        memberManager_.onPrimaryPosition(query.group, result.point);
    } else if (const auto failover = failovers_.find(query.group); failover != failovers_.end()) {
        failover->second.onPosition(now, query.backend, result.point);
    }
    if (isLeader_) {
        monitorGroup(now, query.group);
        pushTable(now);
    }
}

void ControlCore::onPromotionResult(Instant now, const BackendId &backend, Term term, std::optional<LogPoint> point)
{
    if (!isLeader_) {
        return;
    }
    for (auto &[group, failover] : failovers_) {
        if (failover.stage() != FailoverStage::Promoting || failover.candidate() != backend
            || failover.term() != term) {
            continue;
        }
        if (point) {
            failover.onPromoted(*point);
            advanceFailover(now, group, failover);
            return;
        }
        // The promotion may have succeeded nevertheless, so this term must not get a second primary.
        startFailover(now, GroupKey(group), false);
        return;
    }
}

void ControlCore::followPrimary(Instant now, const GroupTerm &term)
{
    const KnownBackend *primary = backends_.find(term.primary);
    if (primary == nullptr) {
        return;
    }
    const Endpoint address { primary->announcement.host, primary->announcement.port };
    for (const KnownBackend *other : backends_.ofGroup(term.group)) {
        const BackendAnnouncement &announcement = other->announcement;
        const bool isFollowing = announcement.role == BackendRole::Replica && announcement.point.term >= term.term;
        if (announcement.id == term.primary || isFollowing || now < other->followSentAt + FollowInterval) {
            continue;
        }
        backends_.find(announcement.id)->followSentAt = now;
        actions_.emplace_back(
            FollowPrimary { announcement.id, { announcement.host, announcement.port }, term.term, address });
    }
}

} // namespace daisyrelay
