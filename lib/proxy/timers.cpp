// What happens because time passes.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

void ProxyCore::tick(Instant now)
{
    for (const SessionId guest : std::exchange(finishedGuests_, {})) {
        if (const Session *session = find(guest); session != nullptr && !session->operation && !session->transaction) {
            guests_.erase({ session->guest->entry, session->guest->channel });
            sessions_.erase(guest);
        }
    }
    checkOpening(now);
    checkOperations(now);
    checkConnections(now);
    constexpr Duration IdleCheck = std::chrono::milliseconds(100);
    if (now - checkedIdleAt_ >= IdleCheck) {
        checkedIdleAt_ = now;
        checkIdleTransactions(now);
        closeUnneeded(now);
        checkIsolation(now);
        advanceDrain(now);
    }
    keepSamples(now);
    for (auto &[id, service] : services_) {
        if (!service.waiting.empty()) {
            dispatch(now, id);
        }
    }
}

void ProxyCore::checkOpening(Instant now)
{
    for (const OpeningSession &opening : std::exchange(opening_, {})) {
        if (configuration_.version > 0) {
            onSessionOpened(now, opening.id, opening.database);
        } else if (now < opening.until) {
            opening_.push_back(opening);
        } else {
            actions_.emplace_back(RejectCaller { opening.id, AnswerCode::Busy, "starting, come back in 500 ms" });
        }
    }
}

void ProxyCore::checkOperations(Instant now)
{
    const std::vector<SessionId> active(active_.begin(), active_.end());
    for (const SessionId id : active) {
        Session *session = find(id);
        if (session == nullptr || !session->operation) {
            continue;
        }
        PendingStatement &operation = *session->operation;
        if (!operation.home.empty()) {
            checkRemote(now, *session);
        } else if (operation.connection != 0) {
            checkRunning(now, *session);
        } else if (operation.role == PendingStatement::Role::Next) {
            if (now >= operation.deadline) {
                loseAnswer(now, *session, "timed-out");
            } else if (now >= operation.retryAt) {
                enqueue(now, *session);
            }
        } else if (now >= operation.holdUntil) {
            refuse(now, *session, operation.lastRefusal, "waited", timing_.longestBackoff / 4);
        }
    }
}

// Gives up on what gets no answer. A connection that is given up finishes by itself; its answer has nobody to go to.
void ProxyCore::checkRunning(Instant now, Session &session)
{
    PendingStatement &operation = *session.operation;
    const auto at = connections_.find(operation.connection);
    if (at == connections_.end()) {
        loseAnswer(now, session, "connection-lost");
        return;
    }
    BackendPool &pool = *poolOf(at->second);
    BackendConnection &connection = *pool.find(operation.connection);
    const bool late = now >= operation.deadline;
    const bool silent = pool.suspect(now) && now - connection.since > timing_.suspicion;
    if (connection.beginning && (late || now - connection.since > timing_.beginPatience)) {
        connection.session = 0;
        tryAgain(now, session, pool, AnswerCode::Busy);
    } else if (late || silent) {
        connection.session = 0;
        loseAnswer(now, session, late ? "timed-out" : "server-silent");
    } else {
        hedge(now, session);
    }
}

// Gives a read that stays without an answer to another server or connection. The first one is left alone: it may only
// be slow, and its answer is dropped.
void ProxyCore::hedge(Instant now, Session &session)
{
    PendingStatement &operation = *session.operation;
    const auto at = connections_.find(operation.connection);
    if (at == connections_.end() || operation.writes || operation.role != PendingStatement::Role::Single
        || operation.tries() >= timing_.mostAttempts) {
        return;
    }
    BackendPool &pool = *poolOf(at->second);
    constexpr int UsualTimes = 5;
    const Duration patience = std::max(timing_.shortestHedge, pool.meanTime() * UsualTimes) * operation.tries();
    if (now - operation.sentAt < patience) {
        return;
    }
    const bool elsewhere = operation.needsPrimary
        ? pool.idle() > 0 && !pool.suspect(now)
        : std::any_of(pools_.begin(), pools_.end(), [&](const auto &entry) {
              const BackendPool &other = entry.second;
              return entry.first != pool.record().id && other.record().service == pool.record().service
                  && !operation.tried.contains(entry.first) && other.idle() > 0 && other.usable(now);
          });
    if (!elsewhere) {
        return;
    }
    pool.failed(now);
    BackendConnection &connection = *pool.find(operation.connection);
    connection.session = 0;
    tryAgain(now, session, pool, connection.beginning ? AnswerCode::Busy : AnswerCode::Aborted);
    if (session.operation) {
        session.operation->retryAt = now;
    }
}

void ProxyCore::checkConnections(Instant now)
{
    std::vector<ConnectionId> expired;
    for (auto &[id, pool] : pools_) {
        for (auto &[connection, state] : pool.connections()) {
            const bool waits
                = state.use == BackendConnection::Use::Busy || state.use == BackendConnection::Use::Opening;
            if (waits && now > state.deadline) {
                expired.push_back(connection);
            }
        }
    }
    for (const ConnectionId connection : expired) {
        const auto at = connections_.find(connection);
        if (at == connections_.end()) {
            continue;
        }
        BackendPool &pool = *poolOf(at->second);
        const bool opening = pool.find(connection)->use == BackendConnection::Use::Opening;
        metrics_.add("connections_silent_total");
        actions_.emplace_back(CloseBackendConnection { connection });
        onConnectionLost(now, connection, opening ? ConnectionLoss::TimedOut : ConnectionLoss::Broken);
    }
}

void ProxyCore::checkIdleTransactions(Instant now)
{
    if (transactionIdle_ == Duration::zero()) {
        return;
    }
    for (auto &[id, session] : sessions_) {
        if (!session.transaction || session.operation || session.transaction->connection == 0
            || now - session.transaction->idleSince < transactionIdle_) {
            continue;
        }
        log_.log(now, "transaction.idle",
            { { "session", id }, { "idle_ms", now - session.transaction->idleSince },
                { "limit_ms", transactionIdle_ } });
        metrics_.add("transactions_idle_total");
        CallerTransaction failed = *session.transaction;
        rollBack(now, session);
        failed.connection = 0;
        failed.failed = true;
        session.transaction = failed;
    }
}

void ProxyCore::closeUnneeded(Instant now)
{
    for (auto &[id, pool] : pools_) {
        if (const std::optional<ConnectionId> connection = pool.unneeded(now); connection) {
            closeConnection(now, pool, *connection, ConnectionLoss::Broken);
        }
    }
}

// Keeps one connection to each server warm, and a recent position of each primary.
void ProxyCore::keepSamples(Instant now)
{
    if (drainSince_ && sessions_.empty()) {
        return;
    }
    for (auto &[id, pool] : pools_) {
        if (pool.connections().empty() && pool.quota() > 0 && pool.mayOpen(now)) {
            openConnection(now, pool);
        }
    }
    for (auto &[id, service] : services_) {
        // A primary that other entries are asked to reach is tried again all the same.
        BackendPool *primary = poolOf(service.primary.backend);
        if (primary != nullptr && primary->unreachable(now) && primary->opening() == 0) {
            openFor(now, *primary, 1);
        }
        const std::optional<Instant> newest = service.freshness.newest();
        const bool due = !newest || now - *newest >= timing_.sampleInterval;
        if ((due || !service.askers.empty()) && now - service.sampledAt >= timing_.sampleInterval / 2) {
            if (needsRelay(now, service)) {
                askPosition(now, id, service);
            } else {
                sample(now, service);
            }
        }
    }
}

// An entry that is cut off with its availability zone can serve next to nothing, while its callers still reach others.
void ProxyCore::checkIsolation(Instant now)
{
    std::size_t silent = 0;
    std::size_t known = 0;
    for (const auto &[id, service] : services_) {
        const BackendPool *pool = poolOf(service.primary.backend);
        const std::optional<Instant> answered = pool == nullptr ? std::nullopt : pool->lastAnswer();
        const bool local = pool != nullptr && pool->quota() > 0;
        known += local ? 1 : 0;
        silent += local && (!answered || now - *answered > timing_.isolation) ? 1 : 0;
    }
    const bool isolated
        = heardControlAt_ && now - *heardControlAt_ > timing_.isolation && known > 0 && 2 * silent > known;
    if (isolated != isolatedSince_.has_value()) {
        log_.log(now, isolated ? "entry.isolated" : "entry.reconnected",
            { { "control_silent_ms", now - *heardControlAt_ }, { "primaries_silent", std::uint64_t { silent } },
                { "primaries", std::uint64_t { known } } });
        isolatedSince_ = isolated ? std::optional(now) : std::nullopt;
    }
    if (isolated && sendsCallersAway(now)) {
        closeResting(now, false);
    }
}

void ProxyCore::closeResting(Instant now, bool transactionsToo)
{
    constexpr Duration Quiet = std::chrono::milliseconds(50); // A request that is on its way has arrived by then.
    for (auto &[id, session] : sessions_) {
        if (session.guest) {
            continue;
        }
        const bool resting = !session.operation && !session.transaction && now - session.lastActive > Quiet;
        if (resting || (transactionsToo && !session.operation)) {
            actions_.emplace_back(CloseSession { id });
        }
    }
}

void ProxyCore::advanceDrain(Instant now)
{
    if (!drainSince_ || now - *drainSince_ < timing_.drainNotice) {
        return;
    }
    closeResting(now, now - *drainSince_ > grace_ - timing_.drainReserve);
    if (!sessions_.empty()) {
        return;
    }
    for (auto &[id, pool] : pools_) {
        while (!pool.connections().empty()) {
            closeConnection(now, pool, pool.connections().begin()->first, ConnectionLoss::Broken);
        }
    }
}

} // namespace daisyrelay
