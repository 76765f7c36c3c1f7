// Holds the responses of commits until a replica that control knows has received them. See CommitReceipts.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

bool ProxyCore::needsReceipt(const Service &service)
{
    return service.syncReplicas > 0;
}

// An entry that may have no connections any more still asks the replicas about commits that are under way.
std::size_t ProxyCore::connectionsKeptForReceipts(const BackendPool &pool) const
{
    const Service &service = services_.at(pool.record().service);
    if (!needsReceipt(service) || pool.record().id == service.primary.backend) {
        return 0;
    }
    const BackendPool *primary = findPool(service.primary.backend);
    const bool hasCommits = !service.receipts.isEmpty() || (primary != nullptr && primary->inUseCount() > 0);
    return hasCommits ? 1 : 0;
}

// Returns the replicas that are asked. A draining one passes its log on when it ends, after which no survey asks it.
std::vector<BackendPool *> ProxyCore::receiptPools(const Service &service)
{
    std::vector<BackendPool *> staying;
    std::vector<BackendPool *> draining;
    for (const BackendId &id : service.backends) {
        BackendPool &pool = pools_.at(id);
        if (id != service.primary.backend) {
            (pool.record().isDraining ? draining : staying).push_back(&pool);
        }
    }
    return staying.empty() ? draining : staying;
}

void ProxyCore::confirmReplicas(const EntryUpdate &update, Instant reportSentAt)
{
    if (topology_.index < update.topologyIndex) {
        return;
    }
    for (auto &[id, service] : services_) {
        const bool isWithdrawn = std::any_of(update.withdrawn.begin(), update.withdrawn.end(),
            [&id = id](const PrimaryWithdrawal &withdrawal) { return withdrawal.service == id; });
        if (service.syncReplicas > 0 && !isWithdrawn) {
            service.receipts.confirmReplicas(reportSentAt);
        }
    }
}

bool ProxyCore::canObtainReceipt(Instant now, const Service &service)
{
    const std::vector<BackendPool *> pools = receiptPools(service);
    return std::any_of(pools.begin(), pools.end(), [&](BackendPool *pool) {
        return !pool->isUnresponsive(now)
            && std::any_of(pool->connections().begin(), pool->connections().end(), [&](const auto &entry) {
                   return entry.second.state != BackendConnection::State::Opening
                       && service.receipts.counts(now, entry.second.openedAt);
               });
    });
}

// Without a replica that can confirm it, a write would end in doubt.
std::optional<ProxyCore::Placement> ProxyCore::waitForReplicas(Instant now, Session &session, const Service &service)
{
    const PendingStatement &pending = *session.pending;
    const bool mayCommit = pending.isWrite || (session.transaction && !session.transaction->isReadOnly);
    if (!mayCommit || !needsReceipt(service) || canObtainReceipt(now, service)) {
        return std::nullopt;
    }
    // Control may grant connections to replicas only on request.
    for (BackendPool *pool : receiptPools(service)) {
        if (pool->quota() == 0) {
            openForDemand(now, *pool, 1, session.workspace);
        }
    }
    const bool isExpectedSoon = lastControlUpdateAt_ && now - *lastControlUpdateAt_ < timing_.isolationTimeout;
    if (isExpectedSoon && now < pending.queueDeadline) {
        return Placement::Waiting;
    }
    constexpr Duration RetryAfter = std::chrono::milliseconds(250); // Approximate remaining time of a failover.
    reject(now, session, ResponseCode::Busy, "no-replica", RetryAfter);
    return Placement::Rejected;
}

void ProxyCore::holdCommit(Instant now, Session &session, const BackendPool &pool, const BackendConnection &connection,
    BackendResponse &response)
{
    PendingStatement &pending = *session.pending;
    Service &service = serviceOf(pending.route->service);
    if (!response.position) {
        handleLostResponse(now, session, "no-position");
        return;
    }
    service.receipts.await(session.id, *response.position);
    pending.heldCommit = { std::move(response), pool.record().id, connection.generation, now };
    pending.connection = 0;
    if (session.transaction) {
        session.transaction->connection = 0;
    }
    requestReceipts(now, service);
}

// One request at a time is enough for each replica, since its response covers all commits up to a position.
void ProxyCore::requestReceipts(Instant now, Service &service)
{
    if (service.receipts.isEmpty()) {
        return;
    }
    for (BackendPool *pool : receiptPools(service)) {
        BackendConnection *idle = nullptr;
        bool isAsked = false;
        for (auto &[id, connection] : pool->connections()) {
            const bool isIdle = connection.state == BackendConnection::State::Idle;
            isAsked = isAsked || (!isIdle && connection.purpose == BackendConnection::Purpose::Receipt);
            if (isIdle && service.receipts.counts(now, connection.openedAt)) {
                idle = &connection;
            }
        }
        if (idle != nullptr && !isAsked) {
            idle->needsLease = false;
            idle->isInTransaction = false;
            idle->commitsWrite = false;
            idle->confirmsPrimary = false;
            idle->awaitsBegin = false;
            idle->purpose = BackendConnection::Purpose::Receipt;
            idle->session = 0;
            idle->generation = 0;
            idle->deadline = now + timing_.connectTimeout;
            idle->payloadIndex = 0;
            metrics_.add("receipts_requested_total");
            startExchange(now, *idle, { idle->id, { makeOwnStatement(StatementType::Status) } });
        }
    }
}

void ProxyCore::onReceipt(
    Instant now, const BackendPool &pool, const BackendConnection &connection, const BackendResponse &response)
{
    Service &service = serviceOf(pool.record().service);
    if (response.code != ResponseCode::Ok || !response.received || pool.record().id == service.primary.backend
        || !service.receipts.counts(now, connection.openedAt)) {
        return;
    }
    const std::vector<SessionId> received = service.receipts.takeReceived(*response.received);
    for (const SessionId id : received) {
        Session &session = *findSession(id);
        HeldCommit held = std::move(*session.pending->heldCommit);
        session.pending->heldCommit.reset();
        metrics_.observe("receipt_seconds", "", now - held.receivedAt);
        completeStatement(now, session, held.backend, held.generation, 0, held.response);
    }
}

// A report that is sent now makes the receipts of a new connection count.
void ProxyCore::reportNewReplica(Instant now, const BackendPool &pool, Instant openedAt)
{
    const Service &service = serviceOf(pool.record().service);
    if (needsReceipt(service) && pool.record().id != service.primary.backend && !service.receipts.counts(now, openedAt)
        && now - lastDemandReportAt_ >= timing_.minDemandReportInterval) {
        lastDemandReportAt_ = now;
        actions_.emplace_back(SendReportNow {});
    }
}

} // namespace daisyrelay
