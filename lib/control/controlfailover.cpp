// The part of ControlCore that watches primaries and replaces them.
#include "daisyrelay/control/controlcore.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration FollowInterval = std::chrono::milliseconds(500);
static constexpr Duration HandoverRetry = std::chrono::seconds(10);
static constexpr Position HandoverLag = 1000; ///< A handover starts only if a replica is this close.

void ControlCore::tick(Instant now)
{
    if (!leading_) {
        return;
    }
    badBackends_.clear();
    for (const auto &[vm, session] : sessions_.all()) {
        for (const BackendView &view : session.badViews) {
            if (session.leaseUntil > now
                && (!view.reachable || std::chrono::milliseconds(view.stalledMs) >= timing_.stall)) {
                badBackends_.insert(view.backend);
            }
        }
    }
    for (const auto &[group, backends] : backends_.groups()) {
        watchGroup(now, group);
    }
    // A group whose databases this leader never heard of is watched, too.
    for (const auto &[group, term] : state_.terms()) {
        if (!backends_.groups().contains(group)) {
            watchGroup(now, group);
        }
    }
    assignHomes(now);
    removeGoneEntries(now);
    pushTable(now);
}

void ControlCore::watchGroup(Instant now, const GroupKey &group)
{
    if (const auto failover = failovers_.find(group); failover != failovers_.end()) {
        advanceFailover(now, group, failover->second);
        return;
    }
    const auto members = state_.members().find(group);
    if (members == state_.members().end()) {
        if (std::optional<GroupMembersCommand> first = members_.form(now, group, backends_, sessions_.since()); first) {
            propose(std::move(*first));
        }
        return;
    }
    const auto term = state_.terms().find(group);
    if (term == state_.terms().end() || term->second.primary.empty()) {
        startFailover(now, group, false);
        return;
    }
    watchPrimary(now, term->second, members->second);
}

void ControlCore::watchPrimary(Instant now, const GroupTerm &term, const GroupMembers &members)
{
    const PrimaryVerdict verdict = detector_.judge(now, term.group, evidenceOf(now, term));
    if (verdict == PrimaryVerdict::Replace) {
        startFailover(now, term.group, false);
        return;
    }
    if (verdict == PrimaryVerdict::Probe) {
        ask(Question::Probe, term.group, term.primary);
    }
    if (canHandOver(now, term, members)) {
        handoverRetryAt_[term.group] = now + HandoverRetry;
        startFailover(now, term.group, true);
        return;
    }
    followPrimary(now, term);
    const bool confirmed = sessions_.allConfirmed(now, tables_.versionOf(term.group), state_.entries());
    const GroupView view { term, members, backends_, confirmed, sessions_.since() };
    if (std::optional<GroupMembersCommand> change = members_.next(now, view); change) {
        propose(std::move(*change));
    }
    if (members_.takeQuestion(term.group)) {
        ask(Question::Mark, term.group, term.primary);
    }
}

PrimaryEvidence ControlCore::evidenceOf(Instant now, const GroupTerm &term) const
{
    PrimaryEvidence evidence;
    evidence.silent = backends_.silence(now, term.primary, sessions_.since()) > timing_.silence;
    evidence.quiet = backends_.silence(now, term.primary, sessions_.since()) > timing_.quiet;
    evidence.badView = badBackends_.contains(term.primary);
    const HomeGrant *home = tables_.homeOf(term.primary);
    if (home != nullptr && !home->entry.empty()) {
        const EntrySession *session = sessions_.find(home->entry);
        evidence.homeSilent = session == nullptr || now > session->heardAt + timing_.homeSilence;
    }
    return evidence;
}

bool ControlCore::canHandOver(Instant now, const GroupTerm &term, const GroupMembers &members) const
{
    const KnownBackend *primary = backends_.find(term.primary);
    if (primary == nullptr || !primary->announcement.leaving) {
        return false;
    }
    if (const auto retry = handoverRetryAt_.find(term.group); retry != handoverRetryAt_.end() && now < retry->second) {
        return false;
    }
    return std::any_of(members.members.begin(), members.members.end(), [&](const BackendId &member) {
        const KnownBackend *known = backends_.find(member);
        return member != term.primary && known != nullptr && !known->announcement.leaving
            && now < known->heardAt + timing_.formation && known->announcement.point.term == term.term
            && known->announcement.point.position + HandoverLag >= primary->announcement.point.position;
    });
}

void ControlCore::startFailover(Instant now, const GroupKey &group, bool planned)
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
    if (!planned && !oldPrimary.empty()) {
        detector_.replaced(now, group);
    }
    const auto [failover, isNew]
        = failovers_.insert_or_assign(group, GroupFailover(timing_, term, oldPrimary, planned));
    advanceFailover(now, group, failover->second);
}

void ControlCore::advanceFailover(Instant now, const GroupKey &group, GroupFailover &failover)
{
    if (std::optional<GroupTerm> proposal = failover.takeProposal(now, group); proposal) {
        propose(GroupTermCommand { std::move(*proposal) });
    }
    if (failover.stage() == FailoverStage::Revoking) {
        const auto term = state_.terms().find(group);
        if (term == state_.terms().end() || term->second.term < failover.term()
            || !sessions_.allConfirmed(now, tables_.versionOf(group), state_.entries())) {
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
        if (backend->announcement.leaving) {
            leaving.insert(backend->announcement.id);
        }
    }
    if (const std::optional<BackendId> best = failover.choose(now, members->second, leaving); best) {
        const BackendAnnouncement &announcement = backends_.find(*best)->announcement;
        actions_.emplace_back(PromoteBackend { *best, { announcement.host, announcement.port }, failover.term() });
        return;
    }
    for (const BackendId &backend : failover.questions(now, members->second)) {
        if (backends_.find(backend) == nullptr) {
            failover.surveyed(now, backend, std::nullopt);
        } else {
            ask(Question::Survey, group, backend);
        }
    }
}

void ControlCore::ask(Question question, const GroupKey &group, const BackendId &backend)
{
    const std::uint64_t ticket = nextTicket_++;
    questions_[ticket] = { question, backend, group };
    const KnownBackend *known = backends_.find(backend);
    const Endpoint address
        = known == nullptr ? Endpoint {} : Endpoint { known->announcement.host, known->announcement.port };
    actions_.emplace_back(SurveyBackend { ticket, backend, address });
}

void ControlCore::onSurveyed(Instant now, const SurveyAnswer &answer)
{
    const auto found = questions_.find(answer.ticket);
    if (found == questions_.end()) {
        return;
    }
    const OpenQuestion open = found->second;
    questions_.erase(found);
    if (open.question == Question::Probe) {
        detector_.probed(now, open.group, answer.point.has_value(), answer.refused);
    } else if (open.question == Question::Mark) {
        members_.primaryAt(open.group, answer.point);
    } else if (const auto failover = failovers_.find(open.group); failover != failovers_.end()) {
        failover->second.surveyed(now, open.backend, answer.point);
    }
    if (leading_) {
        watchGroup(now, open.group);
        pushTable(now);
    }
}

void ControlCore::onPromoted(Instant now, const BackendId &backend, Term term, std::optional<LogPoint> point)
{
    if (!leading_) {
        return;
    }
    for (auto &[group, failover] : failovers_) {
        if (failover.stage() != FailoverStage::Promoting || failover.candidate() != backend
            || failover.term() != term) {
            continue;
        }
        if (point) {
            failover.promoted(*point);
            advanceFailover(now, group, failover);
            return;
        }
        // The database may have been promoted all the same, so that this term must not get a second primary.
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
        const bool follows = announcement.role == BackendRole::Replica && announcement.point.term >= term.term;
        if (announcement.id == term.primary || follows || now < other->followSentAt + FollowInterval) {
            continue;
        }
        backends_.find(announcement.id)->followSentAt = now;
        actions_.emplace_back(
            FollowPrimary { announcement.id, { announcement.host, announcement.port }, term.term, address });
    }
}

} // namespace daisyrelay
