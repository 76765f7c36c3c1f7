// Gives waiting statements to backend servers, the most urgent first.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

void ProxyCore::enqueue(Instant now, Session &session)
{
    PendingStatement &operation = *session.operation;
    if (operation.role == PendingStatement::Role::Next && !session.transaction->home.empty()) {
        sendToHome(now, session, VmId(session.transaction->home), false);
        return;
    }
    if (operation.role == PendingStatement::Role::Next) {
        const auto at = connections_.find(session.transaction->connection);
        BackendPool *pool = at == connections_.end() ? nullptr : poolOf(at->second);
        BackendConnection *connection = pool == nullptr ? nullptr : pool->find(session.transaction->connection);
        if (connection == nullptr) {
            loseAnswer(now, session, "connection-lost");
            return;
        }
        send(now, session, *pool, *connection, std::nullopt);
        return;
    }
    wait(session);
    dispatch(now, operation.route->service);
}

void ProxyCore::wait(const Session &session)
{
    const PendingStatement &operation = *session.operation;
    Service &service = serviceOf(operation.route->service);
    service.waiting.insert({ operation.route->priority, operation.arrivedAt, session.id });
    service.waitingForPrimary += operation.needsPrimary ? 1 : 0;
}

void ProxyCore::dequeue(const Session &session)
{
    const PendingStatement &operation = *session.operation;
    Service &service = serviceOf(operation.route->service);
    const bool waited = service.waiting.erase({ operation.route->priority, operation.arrivedAt, session.id }) > 0;
    service.waitingForPrimary -= waited && operation.needsPrimary ? 1 : 0;
}

// What can still be answered within its target goes first; in a backlog the oldest would otherwise take all the room
// and be late all the same.
void ProxyCore::dispatch(Instant now, const ServiceId &id)
{
    Service &service = serviceOf(id);
    bool primaryFull = false;
    bool readsFull = false;
    for (const bool late : { false, true }) {
        for (auto at = service.waiting.begin(); at != service.waiting.end() && !(primaryFull && readsFull);) {
            const auto current = at++;
            Session &session = *find(std::get<SessionId>(*current));
            const PendingStatement &operation = *session.operation;
            const bool atPrimary = operation.needsPrimary;
            const bool missed = now - operation.arrivedAt > operation.route->target * timing_.inTimePart;
            if (missed != late || operation.retryAt > now || (atPrimary ? primaryFull : readsFull)) {
                continue;
            }
            if (place(now, session, service) == Placement::Waits && session.operation) {
                (atPrimary ? primaryFull : readsFull) = session.operation->tried.empty();
            }
        }
    }
}

ProxyCore::Placement ProxyCore::place(Instant now, Session &session, Service &service)
{
    const PendingStatement &operation = *session.operation;
    if (operation.needsPrimary) {
        return placeAtPrimary(now, session, service);
    }
    if (!session.guest && !homes_.empty() && !hasLocalServer(operation.route->service)) {
        return placeRemotely(now, session, service, false);
    }
    const std::optional<LogPoint> since = positionFor(session, operation, service);
    // Without a proven position only a server that proves its leadership may answer.
    return since ? placeRead(now, session, service, *since) : placeAtPrimary(now, session, service);
}

std::optional<LogPoint> ProxyCore::positionFor(
    const Session &session, const PendingStatement &operation, const Service &service) const
{
    std::optional<LogPoint> point = service.freshness.coverSince(operation.freshAt - operation.route->maxStaleness);
    if (!point || operation.route->guarantee != ReadGuarantee::OwnWrites || !session.floor) {
        return point;
    }
    if (session.floor->generation >= service.primary.generation) {
        return std::max(*point, session.floor->point);
    }
    // What a promotion kept of the session's writes is in the first position of the new primary.
    const std::optional<LogPoint> kept = service.freshness.firstOf(service.primary.generation);
    return kept ? std::optional(std::max(*point, *kept)) : std::nullopt;
}

ProxyCore::Placement ProxyCore::placeAtPrimary(Instant now, Session &session, Service &service)
{
    BackendPool *pool = poolOf(service.primary.backend);
    if (needsRelay(now, service)) {
        if (!session.guest) {
            return placeRemotely(now, session, service, true);
        }
        refuse(now, session, AnswerCode::WrongBackend, "not-a-home", timing_.busyBackoff);
        return Placement::Refused;
    }
    const bool works = pool != nullptr && pool->usable(now) && !pool->suspect(now);
    if (!works) {
        const std::optional<Instant> answered = pool == nullptr ? std::nullopt : pool->lastAnswer();
        const bool lasts = answered && now - *answered > timing_.knownOutage && !service.failingOver;
        if (now < session.operation->holdUntil && !lasts) {
            return Placement::Waits;
        }
        constexpr Duration ComeBack = std::chrono::milliseconds(250); // About what is left of a failover by then.
        refuse(now, session, AnswerCode::Busy, "no-primary", ComeBack);
        return Placement::Refused;
    }
    if (BackendConnection *connection = pool->hasRoom(now) ? pool->pickIdle(session.values) : nullptr;
        connection != nullptr) {
        send(now, session, *pool, *connection, std::nullopt);
        return Placement::Started;
    }
    if (pool->hasRoom(now)) {
        openFor(now, *pool, service.waitingForPrimary);
    }
    return refuseIfHopeless(now, session, pool->waitFor(now, aheadOf(session, service, true) + 1));
}

// A caller that is told at once can come back while its own time lasts.
ProxyCore::Placement ProxyCore::refuseIfHopeless(Instant now, Session &session, Duration predicted)
{
    if (session.operation->arrivedAt != now || now + predicted <= session.operation->holdUntil) {
        return Placement::Waits;
    }
    refuse(now, session, AnswerCode::Busy, "queue-too-long", predicted);
    return Placement::Refused;
}

std::size_t ProxyCore::aheadOf(const Session &session, const Service &service, bool atPrimaryOnly) const
{
    const PendingStatement &operation = *session.operation;
    const auto own = service.waiting.find({ operation.route->priority, operation.arrivedAt, session.id });
    return static_cast<std::size_t>(std::count_if(service.waiting.begin(), own, [&](const auto &key) {
        return !atPrimaryOnly || sessions_.at(std::get<SessionId>(key)).operation->needsPrimary;
    }));
}

static bool mayRunRead(Instant now, const BackendPool &pool, const ServiceId &service, const LogPoint &since)
{
    return pool.record().service == service && pool.usable(now) && !pool.suspect(now) && !pool.lagsBehind(now, since);
}

// Servers of the service that may run a read share what waits for them.
Duration ProxyCore::predictedReadWait(
    Instant now, const Session &session, const Service &service, const LogPoint &since) const
{
    double perTick = 0;
    for (const auto &[id, pool] : pools_) {
        if (mayRunRead(now, pool, session.operation->route->service, since) && pool.quota() > 0) {
            perTick += 1 / std::max(1.0, static_cast<double>(pool.waitFor(now, 1).count()));
        }
    }
    const auto before = static_cast<double>(aheadOf(session, service, false) + 1);
    return perTick > 0 ? Duration(static_cast<Duration::rep>(before / perTick)) : Duration::zero();
}

BackendPool *ProxyCore::cheapest(Instant now, const PendingStatement &operation, const Service &service,
    const LogPoint &since, bool idleOnly, bool guest)
{
    BackendPool *best = nullptr;
    Duration bestCost {};
    bool bestDrains = false;
    for (auto &[id, pool] : pools_) {
        if (!mayRunRead(now, pool, operation.route->service, since) || operation.tried.contains(id)
            || (idleOnly && !pool.hasRoom(now)) || (guest && pool.record().draining && id != service.primary.backend)
            || (idleOnly ? pool.idle() == 0 : pool.quota() == 0)) {
            continue;
        }
        Duration cost = pool.cost() + (pool.record().zone == zone_ ? Duration::zero() : timing_.zoneCost);
        if (id == service.primary.backend) {
            cost += pool.meanTime(); // Its slots are wanted by what runs nowhere else.
        }
        const bool drains = pool.record().draining;
        if (best == nullptr || (bestDrains && !drains) || (bestDrains == drains && cost < bestCost)) {
            best = &pool;
            bestCost = cost;
            bestDrains = drains;
        }
    }
    return best;
}

ProxyCore::Placement ProxyCore::placeRead(Instant now, Session &session, Service &service, const LogPoint &since)
{
    BackendPool *wanted = cheapest(now, *session.operation, service, since, false, session.guest.has_value());
    if (wanted == nullptr && session.guest) {
        // The entry that sent it knows other servers.
        refuse(now, session, AnswerCode::Lagging, "try-elsewhere", Duration::zero());
        return Placement::Refused;
    }
    if (wanted == nullptr && !homes_.empty()) {
        return placeRemotely(now, session, service, false);
    }
    if (wanted == nullptr) {
        if (!session.operation->tried.empty()) {
            session.operation->tried.clear();
            session.operation->retryAt = now + timing_.busyBackoff;
        }
        if (now >= session.operation->holdUntil) {
            refuse(now, session, session.operation->lastRefusal, "no-server", timing_.longestBackoff);
            return Placement::Refused;
        }
        return Placement::Waits;
    }
    BackendPool *chosen = wanted->idle() > 0 && wanted->hasRoom(now)
        ? wanted
        : cheapest(now, *session.operation, service, since, true, session.guest.has_value());
    if (chosen != wanted && wanted->hasRoom(now)) {
        openFor(now, *wanted, service.waiting.size() - service.waitingForPrimary);
    }
    if (chosen == nullptr) {
        return refuseIfHopeless(now, session, predictedReadWait(now, session, service, since));
    }
    send(now, session, *chosen, *chosen->pickIdle(session.values), since);
    return Placement::Started;
}

void ProxyCore::openFor(Instant now, BackendPool &pool, std::size_t demand)
{
    pool.noteDemand(now, pool.inUse() + demand);
    while (pool.opening() < demand && pool.mayOpen(now)) {
        openConnection(now, pool);
    }
}

void ProxyCore::openConnection(Instant now, BackendPool &pool)
{
    const BackendConnection &connection = pool.open(now, nextConnection_++);
    connections_[connection.id] = pool.record().id;
    metrics_.add("connections_opened_total");
    actions_.emplace_back(OpenBackendConnection { connection.id, pool.record(), timing_.connectTimeout });
}

void ProxyCore::refuse(Instant now, Session &session, AnswerCode code, std::string_view reason, Duration comeBack)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(comeBack).count();
    metrics_.add(std::string("refused_total{reason=\"") + std::string(reason) + "\"}");
    const Service &service = serviceOf(session.operation->route->service);
    const BackendPool *primary = poolOf(service.primary.backend);
    const std::optional<Instant> answered = primary == nullptr ? std::nullopt : primary->lastAnswer();
    const std::optional<Instant> sampled = service.freshness.newest();
    constexpr Duration Never = std::chrono::milliseconds(-1);
    log_.log(now, "request.refused",
        { { "request", std::string_view(session.operation->statement.id) }, { "reason", reason },
            { "database", std::string_view(session.database) },
            { "service", std::string_view(session.operation->route->service.value) },
            { "waited_ms", now - session.operation->arrivedAt },
            { "attempts", std::uint64_t { session.operation->attempts } },
            { "primary", std::string_view(service.primary.backend.value) },
            { "primary_answer_age_ms", answered ? now - *answered : Never },
            { "position_age_ms", sampled ? now - *sampled : Never }, { "failing_over", service.failingOver },
            { "config_version", configuration_.version }, { "topology_index", topology_.index } });
    CallerAnswer answer;
    answer.code = code;
    answer.detail = std::string(reason) + ", come back in " + std::to_string(milliseconds) + " ms";
    finish(now, session, std::move(answer));
}

} // namespace daisyrelay
