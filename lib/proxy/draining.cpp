// Ends the sessions of an entry that shuts down.
#include "daisyrelay/proxy/proxycore.h"

namespace daisyrelay {

void ProxyCore::drain(Instant now, Duration grace)
{
    if (!drainStartedAt_) {
        drainStartedAt_ = now;
        drainGrace_ = grace;
        releasedSlots_ = coordinator_.heldSlots(now);
        coordinator_.releaseAll(now);
        log_.log(now, "drain.begin", { { "sessions", std::uint64_t { sessions_.size() } }, { "grace_ms", grace } });
    }
}

bool ProxyCore::shouldCloseIdleSessions(Instant now) const
{
    const auto isPastNoticeTime = [this, now](const std::optional<Instant> &startedAt) {
        return startedAt && now - *startedAt >= timing_.drainNoticeTime;
    };
    return isPastNoticeTime(drainStartedAt_) || (canUseFewPrimaries_ && isPastNoticeTime(isolatedSince_));
}

bool ProxyCore::isDrained(Instant now) const
{
    if (!drainStartedAt_) {
        return false;
    }
    const Duration elapsed = now - *drainStartedAt_;
    return elapsed >= drainGrace_ - timing_.drainCloseTime / 2
        || (elapsed >= timing_.drainNoticeTime && sessions_.empty());
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

void ProxyCore::advanceDrain(Instant now)
{
    if (!drainStartedAt_ || now - *drainStartedAt_ < timing_.drainNoticeTime) {
        return;
    }
    closeIdleSessions(now, now - *drainStartedAt_ > drainGrace_ - timing_.drainCloseTime);
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
        { { "took_ms", now - drainStartedAt_.value_or(now) }, { "sessions", std::uint64_t { sessions_.size() } },
            { "pending", pending }, { "pending_of_peers", pendingOfPeers }, { "opening", opening },
            { "connections", std::uint64_t { backlog.callerConnections } },
            { "unsent_bytes", std::uint64_t { backlog.unsentBytes } },
            { "unread_bytes", std::uint64_t { backlog.unreadBytes } },
            { "unsent_peer_bytes", std::uint64_t { backlog.unsentPeerBytes } } });
}

} // namespace daisyrelay
