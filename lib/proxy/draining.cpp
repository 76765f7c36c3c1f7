// Ends the sessions of an entry that shuts down.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

void ProxyCore::drain(Instant now, Duration grace)
{
    if (drain_) {
        return;
    }
    drain_ = DrainSchedule(now, grace, timing_);
    releasedSlots_ = coordinator_.heldSlots(now);
    coordinator_.releaseAll(now);
    for (const SessionId id : activeSessions_) {
        limitToDrain(*findSession(id)->pending);
    }
    log_.log(now, "drain.begin", { { "sessions", std::uint64_t { sessions_.size() } }, { "grace_ms", grace } });
}

bool ProxyCore::shouldCloseIdleSessions(Instant now) const
{
    return (drain_ && now >= drain_->idleSessionsEndAt())
        || (canUseFewPrimaries_ && isolatedSince_ && now - *isolatedSince_ >= timing_.drainNoticeTime);
}

bool ProxyCore::isDrained(Instant now) const
{
    return mustEnd(now)
        || (drain_ && now >= drain_->idleSessionsEndAt() && sessions_.empty() && openingSessions_.empty());
}

bool ProxyCore::mustEnd(Instant now) const
{
    return drain_ && now >= drain_->endsAt();
}

bool ProxyCore::canFinishBeforeDrainEnds(Instant now, Duration duration) const
{
    return !drain_ || drain_->canFinish(now, duration);
}

void ProxyCore::limitToDrain(PendingStatement &pending) const
{
    if (drain_) {
        pending.deadline = std::min(pending.deadline, drain_->responsesDueAt());
        pending.queueDeadline = std::min(pending.queueDeadline, drain_->responsesDueAt());
    }
}

bool ProxyCore::rejectIfDraining(Instant now, Session &session)
{
    const PendingStatement &pending = *session.pending;
    // A write that is given up is in doubt, and a transaction has further statements. Reads are repeated elsewhere.
    const bool needsTimeout = pending.role == PendingStatement::Role::First
        || (pending.role == PendingStatement::Role::Single && pending.isWrite);
    constexpr int UsualTargets = 2;
    const Duration usualTime = pending.route->latencyTarget * UsualTargets;
    const Duration timeout = pending.route->timeout;
    if (canFinishBeforeDrainEnds(now, needsTimeout ? timeout : std::min(timeout, usualTime))) {
        return false;
    }
    if (pending.role == PendingStatement::Role::Next) {
        const bool isCommit = pending.statement.type == StatementType::Commit;
        failTransaction(now, session);
        if (isCommit) {
            session.transaction.reset();
        }
        reject(now, session, ResponseCode::Aborted, "draining", timing_.busyBackoff);
        return true;
    }
    // An entry that forwarded the statement tries its next home at once.
    const ResponseCode code = session.origin ? ResponseCode::WrongBackend : ResponseCode::Busy;
    reject(now, session, code, "draining", timing_.busyBackoff);
    return true;
}

void ProxyCore::closeIdleSessions(Instant now, bool includesTransactions)
{
    for (auto &[id, session] : sessions_) {
        if (session.origin) {
            continue;
        }
        const bool isIdle
            = !session.pending && !session.transaction && now - session.lastActiveAt > timing_.minIdleTime;
        if (isIdle || (includesTransactions && !session.pending)) {
            actions_.emplace_back(CloseSession { id });
        }
    }
}

void ProxyCore::endIdleForwardedSessions(Instant now)
{
    std::vector<SessionId> idle;
    for (const auto &[id, session] : sessions_) {
        if (session.origin && !session.pending) {
            idle.push_back(id);
        }
    }
    for (const SessionId id : idle) {
        const ForwardingOrigin &origin = *findSession(id)->origin;
        forwardedSessions_.erase({ origin.entry, origin.sessionId });
        onSessionClosed(now, id);
    }
}

void ProxyCore::advanceDrain(Instant now)
{
    if (!drain_ || now < drain_->idleSessionsEndAt()) {
        return;
    }
    const bool areResponsesDue = now >= drain_->responsesDueAt();
    closeIdleSessions(now, areResponsesDue);
    if (areResponsesDue) {
        endIdleForwardedSessions(now);
    }
    if (!sessions_.empty()) {
        return;
    }
    for (auto &[id, pool] : pools_) {
        while (!pool.connections().empty()) {
            closeConnection(now, pool, pool.connections().begin()->first, ConnectionLoss::Broken);
        }
    }
}

void ProxyCore::reportDrainEnd(Instant now, const DrainBacklog &backlog)
{
    std::uint64_t pending = 0;
    std::uint64_t pendingOfPeers = 0;
    for (const SessionId id : activeSessions_) {
        const Session &session = *findSession(id);
        ++(session.origin ? pendingOfPeers : pending);
        log_.log(now, "request.cut",
            { { "request", std::string_view(session.pending->statement.id) },
                { "waited_ms", now - session.pending->arrivedAt }, { "sent", session.pending->wasSent },
                { "backend", std::string_view(session.pending->backend.value) },
                { "home", std::string_view(session.pending->home.value) }, { "of_peer", session.origin.has_value() } });
    }
    const std::uint64_t opening = openingSessions_.size();
    metrics_.add("drain_cut_total{reason=\"pending\"}", pending);
    metrics_.add("drain_cut_total{reason=\"pending-of-peer\"}", pendingOfPeers);
    metrics_.add("drain_cut_total{reason=\"opening\"}", opening);
    metrics_.add("drain_cut_total{reason=\"unsent\"}", backlog.unsentBytes > 0 ? 1 : 0);
    metrics_.add("drain_cut_total{reason=\"unread\"}", backlog.unreadBytes > 0 ? 1 : 0);
    metrics_.add("drain_cut_total{reason=\"unsent-to-peer\"}", backlog.unsentPeerBytes > 0 ? 1 : 0);
    log_.log(now, "drain.end",
        { { "took_ms", drain_ ? now - drain_->startedAt() : Duration::zero() },
            { "sessions", std::uint64_t { sessions_.size() } }, { "pending", pending },
            { "pending_of_peers", pendingOfPeers }, { "opening", opening },
            { "connections", std::uint64_t { backlog.callerConnections } },
            { "unsent_bytes", std::uint64_t { backlog.unsentBytes } },
            { "unread_bytes", std::uint64_t { backlog.unreadBytes } },
            { "unsent_peer_bytes", std::uint64_t { backlog.unsentPeerBytes } } });
}

} // namespace daisyrelay
