// Sends queued statements to backend servers in order of priority.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

void ProxyCore::submit(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    if (pending.role == PendingStatement::Role::Next && !session.transaction->home.empty()) {
        forwardToHome(now, session, VmId(session.transaction->home), false);
        return;
    }
    if (pending.role == PendingStatement::Role::Next) {
        const auto at = connections_.find(session.transaction->connection);
        BackendPool *pool = at == connections_.end() ? nullptr : findPool(at->second);
        BackendConnection *connection = pool == nullptr ? nullptr : pool->find(session.transaction->connection);
        if (connection == nullptr) {
            handleLostResponse(now, session, "connection-lost");
            return;
        }
        if (connection->needsLease && !canUsePrimary(now, pending.route->service)) {
            connection->session = 0;
            closeConnection(now, *pool, connection->id, ConnectionLoss::Broken);
            handleLostResponse(now, session, "lease-ended");
            return;
        }
        sendStatement(now, session, *pool, *connection, std::nullopt);
        return;
    }
    if (rejectIfTooLate(now, session)) {
        return;
    }
    enqueue(session);
    dispatch(now, pending.route->service);
}

void ProxyCore::enqueue(const Session &session)
{
    const PendingStatement &pending = *session.pending;
    Service &service = serviceOf(pending.route->service);
    service.lastUsedAt = std::max(service.lastUsedAt, pending.arrivedAt);
    const Workspace *workspace = directory_->find(session.workspace);
    service.queue.insert({ session.id, pending.route->priority, pending.arrivedAt, session.workspace,
        workspace == nullptr ? 0 : workspace->priority, pending.needsPrimary });
}

void ProxyCore::dequeue(const Session &session)
{
    const PendingStatement &pending = *session.pending;
    serviceOf(pending.route->service).queue.erase(session.id);
}

// Places statements that can still meet their latency target first. In a backlog the oldest statements would otherwise
// use all the capacity and miss their targets nevertheless.
void ProxyCore::dispatch(Instant now, const ServiceId &id)
{
    Service &service = serviceOf(id);
    bool primaryIsFull = false;
    bool replicasAreFull = false;
    std::set<std::pair<bool, WorkspaceId>> waitingWorkspaces;
    for (const bool placesLate : { false, true }) {
        for (const SessionId queued : service.queue.inOrder()) {
            if (primaryIsFull && replicasAreFull) {
                break;
            }
            if (!service.queue.contains(queued)) {
                continue;
            }
            Session &session = *findSession(queued);
            const PendingStatement &pending = *session.pending;
            const bool needsPrimary = pending.needsPrimary;
            const bool isLate = now - pending.arrivedAt > pending.route->latencyTarget * timing_.onTimeFraction;
            if (isLate != placesLate || pending.retryAt > now || (needsPrimary ? primaryIsFull : replicasAreFull)
                || waitingWorkspaces.contains({ needsPrimary, session.workspace })) {
                continue;
            }
            const WorkspaceId workspace = session.workspace;
            const Placement placement = placeStatement(now, session, service);
            if (placement == Placement::WaitingForWorkspace) {
                waitingWorkspaces.emplace(needsPrimary, workspace);
            } else if (placement == Placement::Waiting && session.pending) {
                (needsPrimary ? primaryIsFull : replicasAreFull) = session.pending->triedBackends.empty();
            }
        }
    }
}

ProxyCore::Placement ProxyCore::placeStatement(Instant now, Session &session, Service &service)
{
    const PendingStatement &pending = *session.pending;
    if (pending.needsPrimary) {
        return placeAtPrimary(now, session, service);
    }
    if (!session.origin && !homes_.empty() && !hasLocalServer(pending.route->service)) {
        return placeRemotely(now, session, service, false);
    }
    const std::optional<LogPoint> minPoint = minPointFor(session, pending, service);
    // Without a measured minimum position the read must run at a server that confirms that it is the primary.
    return minPoint ? placeRead(now, session, service, *minPoint) : placeAtPrimary(now, session, service);
}

std::optional<LogPoint> ProxyCore::minPointFor(
    const Session &session, const PendingStatement &pending, const Service &service) const
{
    const PositionSample *sample
        = service.freshness.sampleCovering(pending.freshnessReference - pending.route->maxStaleness);
    const std::optional<LogPoint> point = sample == nullptr ? std::nullopt : std::optional(sample->point);
    const auto lastWrite = session.lastWrites.find(pending.route->service);
    if (!point || pending.route->guarantee != ReadGuarantee::ReadYourWrites || lastWrite == session.lastWrites.end()) {
        return point;
    }
    if (lastWrite->second.generation >= service.primary.generation) {
        return std::max(*point, lastWrite->second.point);
    }
    // The write may belong to a later lead of the same server than this entry knew of, and only positions that were
    // requested after it cover it then.
    const PositionSample *later = service.freshness.sampleCovering(lastWrite->second.acknowledgedAt);
    if (later == nullptr) {
        return std::nullopt;
    }
    if (later->generation >= service.primary.generation) {
        return std::max(*point, later->point);
    }
    // The first position of the new primary covers all writes of the session that the promotion kept.
    const std::optional<LogPoint> promotionPoint = service.freshness.firstPointOf(service.primary.generation);
    return promotionPoint ? std::optional(std::max(*point, *promotionPoint)) : std::nullopt;
}

ProxyCore::Placement ProxyCore::placeAtPrimary(Instant now, Session &session, Service &service)
{
    BackendPool *pool = findPool(service.primary.backend);
    if (mustForwardToPrimary(now, service)) {
        if (!session.origin) {
            return placeRemotely(now, session, service, true);
        }
        reject(now, session, ResponseCode::WrongBackend, "not-a-home", timing_.busyBackoff);
        return Placement::Rejected;
    }
    if (!canUsePrimary(now, session.pending->route->service)) {
        return waitForLease(now, session, service);
    }
    if (const std::optional<Placement> placement = waitForReplicas(now, session, service); placement) {
        return *placement;
    }
    const bool isAvailable = pool != nullptr && pool->isUsable(now) && !pool->isUnresponsive(now);
    if (!isAvailable) {
        if (rejectDuringFailover(now, session, service)) {
            return Placement::Rejected;
        }
        const std::optional<Instant> lastResponseAt = pool == nullptr ? std::nullopt : pool->lastResponseAt();
        const bool isLongOutage
            = lastResponseAt && now - *lastResponseAt > timing_.maxFailoverTime && !service.isFailingOver;
        if (now < session.pending->queueDeadline && !isLongOutage) {
            return Placement::Waiting;
        }
        constexpr Duration FailoverRetryAfter
            = std::chrono::milliseconds(250); // Approximate remaining time of a failover.
        reject(now, session, ResponseCode::Busy, "no-primary", FailoverRetryAfter);
        return Placement::Rejected;
    }
    if (BackendConnection *connection
        = pool->hasCapacity(now) ? pool->findIdle(session.values, session.workspace) : nullptr;
        connection != nullptr) {
        sendStatement(now, session, *pool, *connection, std::nullopt);
        return Placement::Started;
    }
    if (pool->hasCapacity(now)) {
        // A read without a minimum position needs the primary, too, but is not counted.
        const std::size_t queued = directory_->requiresKeys() ? service.queue.countOf(session.workspace, true)
                                                              : service.queue.countForPrimary();
        openForDemand(now, *pool, std::max<std::size_t>(queued, 1), session.workspace);
    }
    const bool hasCapacity = pool->hasCapacity(now);
    return waitOrReject(
        now, session, pool->predictWait(now, service.queue.countAhead(session.id, true) + 1), hasCapacity);
}

// A caller that is rejected immediately can retry within its own timeout.
ProxyCore::Placement ProxyCore::waitOrReject(
    Instant now, Session &session, Duration predictedWait, bool hasServerCapacity)
{
    if (session.pending->arrivedAt != now || now + predictedWait <= session.pending->queueDeadline) {
        return hasServerCapacity && directory_->requiresKeys() ? Placement::WaitingForWorkspace : Placement::Waiting;
    }
    session.pending->isOverloaded = true;
    reject(now, session, ResponseCode::Busy, "queue-too-long", predictedWait);
    return Placement::Rejected;
}

static bool canRunRead(Instant now, const BackendPool &pool, const ServiceId &service, const LogPoint &minPoint)
{
    return pool.record().service == service && pool.isUsable(now) && !pool.isUnresponsive(now)
        && !pool.isLaggingBehind(now, minPoint);
}

// Predicts the wait of a read from the combined rate of all servers that can run it.
Duration ProxyCore::predictReadWait(
    Instant now, const Session &session, const Service &service, const LogPoint &minPoint) const
{
    double statementsPerTick = 0;
    for (const BackendId &id : service.backends) {
        const BackendPool &pool = pools_.at(id);
        if (canRunRead(now, pool, session.pending->route->service, minPoint) && pool.quota() > 0) {
            statementsPerTick += 1 / std::max(1.0, static_cast<double>(pool.predictWait(now, 1).count()));
        }
    }
    const auto ahead = static_cast<double>(service.queue.countAhead(session.id, false) + 1);
    return statementsPerTick > 0 ? Duration(static_cast<Duration::rep>(ahead / statementsPerTick)) : Duration::zero();
}

BackendPool *ProxyCore::cheapestPool(
    Instant now, const Session &session, const Service &service, const LogPoint &minPoint, bool idleOnly)
{
    const PendingStatement &pending = *session.pending;
    const bool isForwarded = session.origin.has_value();
    BackendPool *best = nullptr;
    Duration bestCost {};
    bool bestIsDraining = false;
    for (const BackendId &id : service.backends) {
        BackendPool &pool = pools_.at(id);
        if (!canRunRead(now, pool, pending.route->service, minPoint) || pending.triedBackends.contains(id)
            || (idleOnly && !pool.hasCapacity(now))
            || (isForwarded && pool.record().isDraining && id != service.primary.backend)
            || (idleOnly ? pool.idleCount(session.workspace) == 0 : pool.quota() == 0)) {
            continue;
        }
        Duration cost = pool.estimateCost() + (pool.record().zone == zone_ ? Duration::zero() : timing_.crossZoneCost);
        if (id == service.primary.backend) {
            cost += pool.meanTime(); // Keeps slots free for statements that only the primary can run.
        }
        const bool isDraining = pool.record().isDraining;
        if (best == nullptr || (bestIsDraining && !isDraining) || (bestIsDraining == isDraining && cost < bestCost)) {
            best = &pool;
            bestCost = cost;
            bestIsDraining = isDraining;
        }
    }
    return best;
}

ProxyCore::Placement ProxyCore::placeRead(Instant now, Session &session, Service &service, const LogPoint &minPoint)
{
    BackendPool *preferred = cheapestPool(now, session, service, minPoint, false);
    if (preferred == nullptr && session.origin) {
        // The entry that forwarded the statement can try other servers.
        reject(now, session, ResponseCode::Lagging, "try-elsewhere", Duration::zero());
        return Placement::Rejected;
    }
    if (preferred == nullptr && !homes_.empty()) {
        return placeRemotely(now, session, service, false);
    }
    if (preferred == nullptr) {
        requestQuota(now, service);
        if (!session.pending->triedBackends.empty()) {
            session.pending->triedBackends.clear();
            session.pending->retryAt = now + timing_.busyBackoff;
        }
        if (now >= session.pending->queueDeadline) {
            reject(now, session, session.pending->lastRejection, "no-server", timing_.maxBackoff);
            return Placement::Rejected;
        }
        return Placement::Waiting;
    }
    BackendPool *chosen = preferred->idleCount(session.workspace) > 0 && preferred->hasCapacity(now)
        ? preferred
        : cheapestPool(now, session, service, minPoint, true);
    if (chosen != preferred && preferred->hasCapacity(now)) {
        const std::size_t queued = directory_->requiresKeys() ? service.queue.countOf(session.workspace, false)
                                                              : service.queue.size() - service.queue.countForPrimary();
        openForDemand(now, *preferred, queued, session.workspace);
    }
    if (chosen == nullptr) {
        const bool hasCapacity = preferred->hasCapacity(now);
        return waitOrReject(now, session, predictReadWait(now, session, service, minPoint), hasCapacity);
    }
    sendStatement(now, session, *chosen, *chosen->findIdle(session.values, session.workspace), minPoint);
    return Placement::Started;
}

// Requests connections to a server of the service, preferably in this zone, if control has granted none to any.
void ProxyCore::requestQuota(Instant now, const Service &service)
{
    BackendPool *best = nullptr;
    for (const BackendId &id : service.backends) {
        BackendPool &pool = pools_.at(id);
        if (pool.quota() > 0) {
            return;
        }
        if (pool.isUsable(now) && (best == nullptr || pool.record().zone == zone_)) {
            best = &pool;
        }
    }
    if (best != nullptr) {
        openForDemand(now, *best, 1, {});
    }
}

void ProxyCore::openForDemand(Instant now, BackendPool &pool, std::size_t demand, const WorkspaceId &workspace)
{
    pool.recordDemand(now, pool.inUseCount() + demand);
    activePools_.insert(pool.record().id);
    if (pool.quota() == 0 && now - lastDemandReportAt_ >= timing_.minDemandReportInterval) {
        lastDemandReportAt_ = now;
        actions_.emplace_back(SendReportNow {});
    }
    if (directory_->requiresKeys()) {
        openForWorkspace(now, pool, workspace, demand);
        return;
    }
    while (pool.openingCount() < demand && pool.canOpen(now)) {
        openConnection(now, pool, workspace);
    }
}

void ProxyCore::openConnection(Instant now, BackendPool &pool, const WorkspaceId &workspace)
{
    const BackendConnection &connection = pool.addConnection(now, nextConnection_++, workspace);
    connections_[connection.id] = pool.record().id;
    metrics_.add("connections_opened_total");
    actions_.emplace_back(OpenBackendConnection { connection.id, pool.record(), timing_.connectTimeout, workspace });
}

void ProxyCore::reject(Instant now, Session &session, ResponseCode code, std::string_view reason, Duration retryAfter)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count();
    metrics_.add(std::string("refused_total{reason=\"") + std::string(reason) + "\"}");
    const Service &service = serviceOf(session.pending->route->service);
    const BackendPool *primary = findPool(service.primary.backend);
    const std::optional<Instant> lastResponseAt = primary == nullptr ? std::nullopt : primary->lastResponseAt();
    const std::optional<Instant> lastSampleAt = service.freshness.newestSampleAt();
    constexpr Duration Unknown = std::chrono::milliseconds(-1);
    log_.log(now, "request.refused",
        { { "request", std::string_view(session.pending->statement.id) }, { "reason", reason },
            { "database", std::string_view(session.database) },
            { "workspace", std::string_view(session.workspace.value) },
            { "service", std::string_view(session.pending->route->service.value) },
            { "waited_ms", now - session.pending->arrivedAt },
            { "attempts", std::uint64_t { session.pending->attempts } },
            { "primary", std::string_view(service.primary.backend.value) },
            { "primary_answer_age_ms", lastResponseAt ? now - *lastResponseAt : Unknown },
            { "position_age_ms", lastSampleAt ? now - *lastSampleAt : Unknown },
            { "failing_over", service.isFailingOver }, { "config_version", configuration_.version },
            { "topology_index", topology_.index } });
    CallerResponse response;
    response.code = code;
    response.detail = std::string(reason) + ", come back in " + std::to_string(milliseconds) + " ms";
    finishStatement(now, session, std::move(response));
}

} // namespace daisyrelay
