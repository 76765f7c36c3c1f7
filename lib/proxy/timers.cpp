// Timeouts and periodic work of the proxy core.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

void ProxyCore::tick(Instant now)
{
    for (const SessionId id : std::exchange(finishedForwardedSessions_, {})) {
        if (const Session *session = findSession(id);
            session != nullptr && !session->pending && !session->transaction) {
            forwardedSessions_.erase({ session->origin->entry, session->origin->sessionId });
            sessions_.erase(id);
        }
    }
    checkOpeningSessions(now);
    rateLimits_.tick(now);
    retryLimited(now);
    sendRateLimitRequests();
    releaseWithdrawn(now);
    checkPendingStatements(now);
    checkConnections(now);
    constexpr Duration IdleCheckInterval = std::chrono::milliseconds(100);
    if (now - lastIdleCheckAt_ >= IdleCheckInterval) {
        lastIdleCheckAt_ = now;
        checkIdleTransactions(now);
        closeUnneededConnections(now);
        forgetEndedSessions(now);
        checkIsolation(now);
        advanceDrain(now);
    }
    refreshConnectionsAndPositions(now);
    for (auto &[id, service] : services_) {
        requestReceipts(now, service);
        if (!service.queue.empty()) {
            dispatch(now, id);
        }
    }
}

void ProxyCore::checkOpeningSessions(Instant now)
{
    for (const OpeningSession &opening : std::exchange(openingSessions_, {})) {
        const bool awaitsConfiguration = configuration_.version == 0 || configuration_.version < newestVersion_;
        if (!awaitsConfiguration) {
            onSessionOpened(now, opening.id, opening.database, opening.key);
        } else if (now < opening.deadline && canFinishBeforeDrainEnds(now, Duration::zero())) {
            openingSessions_.push_back(opening);
        } else {
            rejectSession(
                now, opening.id, opening.database, { ResponseCode::Busy, "starting", timing_.unconfirmedRetryAfter });
        }
    }
}

void ProxyCore::checkPendingStatements(Instant now)
{
    const std::vector<SessionId> active(activeSessions_.begin(), activeSessions_.end());
    for (const SessionId id : active) {
        Session *session = findSession(id);
        if (session == nullptr || !session->pending) {
            continue;
        }
        PendingStatement &pending = *session->pending;
        if (!pending.home.empty()) {
            checkForwarded(now, *session);
        } else if (pending.heldCommit) {
            if (now >= pending.deadline) {
                metrics_.add("receipts_missing_total");
                handleLostResponse(now, *session, "no-receipt");
            }
        } else if (pending.connection != 0) {
            checkRunning(now, *session);
        } else if (pending.role == PendingStatement::Role::Next) {
            if (now >= pending.deadline) {
                handleLostResponse(now, *session, "timed-out");
            } else if (now >= pending.retryAt) {
                submit(now, *session);
            }
        } else if (now >= pending.queueDeadline) {
            pending.isOverloaded = true;
            recordQueueTime(now, *session);
            reject(now, *session, pending.lastRejection, "waited", timing_.maxBackoff / 4);
        }
    }
}

// Gives up on a statement without a response. The connection stays open until its exchange ends; that response is then
// discarded.
void ProxyCore::checkRunning(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    const auto at = connections_.find(pending.connection);
    if (at == connections_.end()) {
        handleLostResponse(now, session, "connection-lost");
        return;
    }
    BackendPool &pool = *findPool(at->second);
    BackendConnection &connection = *pool.find(pending.connection);
    const bool isLate = now >= pending.deadline;
    const bool isSilent = pool.isUnresponsive(now) && now - connection.stateSince > timing_.unresponsiveTimeout;
    if (connection.awaitsBegin && (isLate || now - connection.stateSince > timing_.beginTimeout)) {
        connection.session = 0;
        retryStatement(now, session, pool, ResponseCode::Busy);
    } else if (isLate || isSilent) {
        connection.session = 0;
        handleLostResponse(now, session, isLate ? "timed-out" : "server-silent");
    } else {
        hedgeRead(now, session);
    }
}

// Sends a read without a response to another server or connection. The first attempt is not canceled, since it may only
// be slow; its response is discarded.
void ProxyCore::hedgeRead(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    const auto at = connections_.find(pending.connection);
    if (at == connections_.end() || pending.isWrite || pending.role != PendingStatement::Role::Single
        || pending.countedAttempts() >= timing_.maxAttempts) {
        return;
    }
    BackendPool &pool = *findPool(at->second);
    constexpr int HedgeAfterMeanTimes = 5;
    const Duration hedgeDelay
        = std::max(timing_.minHedgeDelay, pool.meanTime() * HedgeAfterMeanTimes) * pending.countedAttempts();
    if (now - pending.sentAt < hedgeDelay) {
        return;
    }
    const Service &service = serviceOf(pool.record().service);
    const bool hasAlternative = pending.needsPrimary
        ? pool.idleCount(session.workspace) > 0 && !pool.isUnresponsive(now)
        : std::any_of(service.backends.begin(), service.backends.end(), [&](const BackendId &id) {
              const BackendPool &other = pools_.at(id);
              return id != pool.record().id && !pending.triedBackends.contains(id)
                  && other.idleCount(session.workspace) > 0 && other.isUsable(now);
          });
    if (!hasAlternative) {
        return;
    }
    pool.recordFailure(now);
    BackendConnection &connection = *pool.find(pending.connection);
    connection.session = 0;
    retryStatement(now, session, pool, connection.awaitsBegin ? ResponseCode::Busy : ResponseCode::Aborted);
    if (session.pending) {
        session.pending->retryAt = now;
    }
}

void ProxyCore::checkConnections(Instant now)
{
    std::vector<ConnectionId> expired;
    for (const BackendId &id : activePools_) {
        BackendPool *pool = findPool(id);
        if (pool == nullptr) {
            continue;
        }
        for (auto &[connectionId, connection] : pool->connections()) {
            const bool isWaiting = connection.state == BackendConnection::State::Busy
                || connection.state == BackendConnection::State::Opening;
            if (isWaiting && now > connection.deadline) {
                expired.push_back(connectionId);
            }
        }
    }
    for (const ConnectionId connection : expired) {
        const auto at = connections_.find(connection);
        if (at == connections_.end()) {
            continue;
        }
        BackendPool &pool = *findPool(at->second);
        const bool wasOpening = pool.find(connection)->state == BackendConnection::State::Opening;
        metrics_.add("connections_silent_total");
        actions_.emplace_back(CloseBackendConnection { connection });
        onConnectionLost(now, connection, wasOpening ? ConnectionLoss::TimedOut : ConnectionLoss::Broken);
    }
}

void ProxyCore::checkIdleTransactions(Instant now)
{
    if (transactionIdleTimeout_ == Duration::zero()) {
        return;
    }
    for (auto &[id, session] : sessions_) {
        if (!session.transaction || session.pending || session.transaction->connection == 0
            || now - session.transaction->idleSince < transactionIdleTimeout_) {
            continue;
        }
        log_.log(now, "transaction.idle",
            { { "session", id }, { "idle_ms", now - session.transaction->idleSince },
                { "limit_ms", transactionIdleTimeout_ } });
        metrics_.add("transactions_idle_total");
        failTransaction(now, session);
    }
}

void ProxyCore::closeUnneededConnections(Instant now)
{
    for (auto at = activePools_.begin(); at != activePools_.end();) {
        BackendPool *pool = findPool(*at);
        if (pool != nullptr && !pool->connections().empty()) {
            closeConnectionsAboveQuota(now, *pool); // Some may have been kept for receipts.
            if (const std::optional<ConnectionId> connection = pool->unneededConnection(now,
                    directory_->requiresKeys()                 ? timing_.idleWorkspaceConnectionTimeout
                        : pool->quota() <= timing_.scarceQuota ? timing_.idleScarceConnectionTimeout
                                                               : timing_.idleConnectionTimeout);
                connection) {
                closeConnection(now, *pool, *connection, ConnectionLoss::Broken);
            }
        }
        const bool isActive
            = pool != nullptr && (pool->quota() > 0 || !pool->connections().empty() || pool->recentDemand(now) > 0);
        at = isActive ? std::next(at) : activePools_.erase(at);
    }
}

// Keeps one connection open to each server, and a recent position sample of each primary.
void ProxyCore::refreshConnectionsAndPositions(Instant now)
{
    if (drain_ && sessions_.empty()) {
        return;
    }
    for (const BackendId &id : activePools_) {
        if (BackendPool *pool = findPool(id);
            pool != nullptr && pool->connections().empty() && pool->quota() > 0 && pool->canOpen(now)) {
            openConnection(now, *pool, {});
        }
    }
    if (now - lastServiceCheckAt_ < timing_.serviceCheckInterval) {
        return;
    }
    lastServiceCheckAt_ = now;
    for (auto &[id, service] : services_) {
        // Keeps trying to connect to a primary even while statements for it are forwarded.
        BackendPool *primary = findPool(service.primary.backend);
        if (primary != nullptr && primary->isUnreachable(now) && primary->openingCount() == 0) {
            openForDemand(now, *primary, 1, {});
        }
        const std::optional<Instant> newestSampleAt = service.freshness.newestSampleAt();
        const bool isDue = !newestSampleAt || now - *newestSampleAt >= timing_.sampleInterval;
        const bool isUsed = now - service.lastUsedAt <= timing_.sampleIdleTimeout;
        if (((isDue && isUsed) || !service.positionRequesters.empty())
            && now - service.lastSampledAt >= timing_.sampleInterval / 2) {
            if (mustForwardToPrimary(now, service)) {
                requestPosition(now, id, service);
            } else {
                samplePosition(now, service);
            }
        }
    }
}

// An entry that is cut off together with its availability zone can run hardly any statement, while its callers can
// still reach other entries. Where primaries are used under a lease, control extends none on an entry that it cannot
// reach, so new callers are sent elsewhere before the lease expires. Idle sessions stay while most primaries can be
// used, since they would only return here if all entries have lost control.
void ProxyCore::checkIsolation(Instant now)
{
    std::size_t unresponsiveCount = 0;
    std::size_t localCount = 0;
    for (const auto &[id, service] : services_) {
        const BackendPool *pool = findPool(service.primary.backend);
        const std::optional<Instant> lastResponseAt = pool == nullptr ? std::nullopt : pool->lastResponseAt();
        const bool isLocal = pool != nullptr && pool->quota() > 0;
        localCount += isLocal ? 1 : 0;
        unresponsiveCount += isLocal && (!lastResponseAt || now - *lastResponseAt > timing_.isolationTimeout) ? 1 : 0;
    }
    canUseFewPrimaries_ = (localCount > 0 && 2 * unresponsiveCount > localCount) || !lease_.isAlive(now)
        || (directory_->requiresKeys() && !configurationLease_.isValid(now));
    const bool isIsolated = lastControlUpdateAt_ && now - *lastControlUpdateAt_ > timing_.isolationTimeout
        && (canUseFewPrimaries_ || lease_.policy() == FencingPolicy::Leases);
    if (isIsolated != isolatedSince_.has_value()) {
        log_.log(now, isIsolated ? "entry.isolated" : "entry.reconnected",
            { { "control_silent_ms", now - *lastControlUpdateAt_ },
                { "primaries_silent", std::uint64_t { unresponsiveCount } },
                { "primaries", std::uint64_t { localCount } } });
        isolatedSince_ = isIsolated ? std::optional(now) : std::nullopt;
    }
    if (isIsolated && shouldCloseIdleSessions(now)) {
        closeIdleSessions(now, false);
    }
}

} // namespace daisyrelay
