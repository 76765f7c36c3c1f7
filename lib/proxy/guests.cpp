// Statements that run on other entries, because this one holds no connection to the server, and those of other entries
// that run here.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

/// An answer that crosses the network arrives this much after its server's.
static constexpr Duration HopTime = std::chrono::milliseconds(30);
static constexpr Duration AvoidFor = std::chrono::milliseconds(300);

bool ProxyCore::hasLocalServer(const ServiceId &service) const
{
    return std::any_of(pools_.begin(), pools_.end(),
        [&](const auto &entry) { return entry.second.record().service == service && entry.second.quota() > 0; });
}

bool ProxyCore::needsRelay(Instant now, const Service &service) const
{
    const BackendPool *pool = poolOf(service.primary.backend);
    return pool != nullptr && (pool->quota() == 0 || pool->unreachable(now))
        && homes_.contains(service.primary.backend);
}

const VmId *ProxyCore::homeOf(Instant now, const BackendId &backend) const
{
    const auto found = homes_.find(backend);
    if (found == homes_.end()) {
        return nullptr;
    }
    const VmId *best = nullptr;
    std::size_t bestOpen = 0;
    for (const VmId &home : found->second) {
        const auto state = homeStates_.find(home);
        const std::size_t open = state == homeStates_.end() ? 0 : state->second.open;
        const bool avoided = state != homeStates_.end() && now < state->second.avoidUntil;
        // Homes of the same server share its load; which comes first differs from entry to entry.
        const std::size_t turn = (channelBase_ + nextSequence_) % found->second.size();
        const bool first = &home == &found->second[turn];
        if (!avoided && (best == nullptr || open < bestOpen || (open == bestOpen && first))) {
            best = &home;
            bestOpen = open;
        }
    }
    return best;
}

const BackendId *ProxyCore::remoteServer(
    Instant now, const PendingStatement &operation, const Service &service, bool atPrimary) const
{
    if (atPrimary) {
        return &service.primary.backend;
    }
    const BackendId *best = nullptr;
    int bestRank = 0;
    for (const auto &[id, pool] : pools_) {
        if (pool.record().service != operation.route->service || operation.tried.contains(id)) {
            continue;
        }
        constexpr int Draining = 4;
        constexpr int Primary = 2; // Its slots are wanted by what runs nowhere else.
        constexpr int Lagging = 8;
        const int rank = (pool.lags(now) ? Lagging : 0) + (pool.record().draining ? Draining : 0)
            + (id == service.primary.backend ? Primary : 0) + (pool.record().zone == zone_ ? 0 : 1);
        const bool turn = rank == bestRank && (nextSequence_ & 1U) == 0;
        if (best == nullptr || rank < bestRank || turn) {
            best = &id;
            bestRank = rank;
        }
    }
    return best;
}

ProxyCore::Placement ProxyCore::placeRemotely(Instant now, Session &session, Service &service, bool atPrimary)
{
    PendingStatement &operation = *session.operation;
    const BackendId *backend = remoteServer(now, operation, service, atPrimary);
    const VmId *home = backend == nullptr ? nullptr : homeOf(now, *backend);
    if (home == nullptr) {
        if (backend == nullptr) {
            operation.tried.clear();
        } else if (!atPrimary) {
            operation.tried.insert(*backend);
        }
        operation.retryAt = now + timing_.busyBackoff;
        return Placement::Waits;
    }
    operation.backend = *backend;
    const bool leads = *backend == service.primary.backend;
    const VmId target = *home;
    dequeue(session);
    sendToHome(now, session, target, atPrimary || leads);
    return Placement::Started;
}

void ProxyCore::sendToHome(Instant now, Session &session, const VmId &home, bool atPrimary)
{
    PendingStatement &operation = *session.operation;
    GuestRequest request;
    request.channel = channelBase_ + session.id;
    request.sequence = nextSequence_++;
    request.route = *operation.route;
    request.statement = operation.statement;
    request.inTransaction = session.transaction.has_value();
    request.first = operation.role == PendingStatement::Role::First;
    request.readOnly = session.transaction && session.transaction->readOnly;
    request.atPrimary = atPrimary;
    request.values.assign(session.values.begin(), session.values.end());
    if (operation.statement.kind == StatementType::Execute) {
        const PreparedStatement &prepared = session.prepared.at(operation.statement.name);
        request.preparedWrites = prepared.writes;
        request.preparedShape = prepared.shape;
    }
    if (session.floor) {
        request.floor = session.floor->point;
        request.floorGeneration = session.floor->generation;
    }
    const auto left = [now](Instant until) {
        return std::max(
            std::chrono::duration_cast<std::chrono::milliseconds>(until - now), std::chrono::milliseconds(1));
    };
    request.remaining = left(operation.deadline - HopTime);
    request.hold = left(operation.holdUntil);
    operation.home = home;
    operation.sequence = request.sequence;
    operation.sentAt = now;
    operation.offered = true;
    ++operation.attempts;
    ++homeStates_[home].open;
    metrics_.add("guests_sent_total");
    actions_.emplace_back(SendToEntry { home, std::move(request) });
}

// Tells the home of the statement or transaction under way that nobody waits for it any more.
void ProxyCore::endRemotely(Session &session)
{
    VmId home;
    if (session.operation && !session.operation->home.empty()) {
        home = std::exchange(session.operation->home, {});
        HomeState &state = homeStates_[home];
        state.open -= std::min<std::size_t>(state.open, 1);
    }
    if (session.transaction && !session.transaction->home.empty()) {
        home = std::exchange(session.transaction->home, {});
    }
    if (!home.empty()) {
        actions_.emplace_back(SendToEntry { home, GuestEnd { channelBase_ + session.id } });
    }
}

void ProxyCore::checkRemote(Instant now, Session &session)
{
    PendingStatement &operation = *session.operation;
    const bool read = !operation.writes && operation.role == PendingStatement::Role::Single;
    const Duration patience = std::max<Duration>(operation.route->target, timing_.suspicion) * operation.tries();
    const bool late = now >= operation.deadline;
    if (!late && !(read && now - operation.sentAt > patience)) {
        return;
    }
    homeStates_[operation.home].avoidUntil = now + AvoidFor;
    loseAnswer(now, session, late ? "timed-out" : "home-silent");
}

void ProxyCore::onGuestAnswer(Instant now, const VmId &from, const GuestAnswer &reply)
{
    Session *session = find(reply.channel - channelBase_);
    if (session == nullptr || !session->operation || session->operation->home != from
        || session->operation->sequence != reply.sequence) {
        metrics_.add("guest_answers_unwanted_total");
        return;
    }
    PendingStatement &operation = *session->operation;
    HomeState &state = homeStates_[from];
    state.open -= std::min<std::size_t>(state.open, 1);
    operation.home = {};
    if (reply.answer.code == AnswerCode::Ok) {
        succeedRemotely(now, *session, from, reply);
        return;
    }
    const bool promised = reply.answer.code == AnswerCode::Busy || reply.answer.code == AnswerCode::WrongBackend
        || reply.answer.code == AnswerCode::Lagging || reply.answer.code == AnswerCode::NotPrimary
        || reply.answer.code == AnswerCode::Aborted;
    if (promised && operation.role != PendingStatement::Role::Next && operation.tries() <= timing_.mostAttempts
        && now < operation.holdUntil) {
        ++operation.refusals;
        const bool wrongHome = reply.answer.code == AnswerCode::WrongBackend;
        operation.lastRefusal = wrongHome ? AnswerCode::Busy : reply.answer.code;
        const bool again = operation.refusals > 2; // Two other servers have been asked already.
        operation.retryAt = (operation.needsPrimary && !wrongHome) || again ? now + timing_.busyBackoff : now;
        if (wrongHome) {
            state.avoidUntil = now + AvoidFor;
        } else if (!operation.needsPrimary) {
            operation.tried.insert(operation.backend);
        }
        if (BackendPool *pool = poolOf(operation.backend);
            pool != nullptr && reply.answer.code == AnswerCode::Lagging) {
            pool->noteLag(now);
        }
        wait(*session);
        dispatch(now, operation.route->service);
        return;
    }
    BackendAnswer failed;
    failed.code = reply.answer.code == AnswerCode::WrongBackend ? AnswerCode::Busy : reply.answer.code;
    failed.detail = reply.answer.detail;
    fail(now, *session, failed);
}

void ProxyCore::succeedRemotely(Instant now, Session &session, const VmId &home, const GuestAnswer &reply)
{
    keepOutcome(session, reply.answer.position, reply.generation);
    if (session.transaction) {
        session.transaction->home = home;
    }
    CallerAnswer answer = reply.answer;
    finish(now, session, std::move(answer));
}

void ProxyCore::onGuestRequest(Instant now, const VmId &from, const GuestRequest &request)
{
    const auto key = std::pair(from, request.channel);
    auto known = guests_.find(key);
    const bool continues = request.inTransaction && !request.first;
    if (known != guests_.end() && !continues) {
        // Whatever the channel had under way, its session has gone on without it.
        onSessionClosed(now, known->second);
        guests_.erase(known);
        known = guests_.end();
    }
    if (known == guests_.end()) {
        known = guests_.emplace(key, nextGuest_++).first;
        Session &created = sessions_[known->second];
        created.id = known->second;
        created.database = request.route.database;
    }
    Session &session = sessions_[known->second];
    session.id = known->second;
    session.guest = GuestOrigin { from, request.channel, request.sequence };
    session.lastActive = now;
    if (continues && (!session.transaction || session.transaction->failed || session.operation)) {
        CallerAnswer lost;
        lost.code = AnswerCode::Aborted;
        lost.detail = "the transaction was rolled back";
        answerGuest(session, std::move(lost));
        return;
    }
    session.values = { request.values.begin(), request.values.end() };
    session.prepared.clear();
    if (request.statement.kind == StatementType::Execute) {
        session.prepared[request.statement.name] = { request.preparedWrites, request.preparedShape };
    }
    session.floor
        = request.floor ? std::optional(WriteFloor { *request.floor, request.floorGeneration }) : std::nullopt;
    PendingStatement operation;
    operation.statement = request.statement;
    operation.route = std::make_shared<const DatabaseRoute>(request.route);
    operation.arrivedAt = now;
    operation.freshAt = now;
    operation.deadline = now + request.remaining;
    operation.holdUntil = now + request.hold;
    operation.writes = writes(session, request.statement);
    operation.needsPrimary = operation.writes || request.atPrimary || request.route.guarantee == ReadGuarantee::Primary
        || (request.inTransaction && !request.readOnly);
    if (request.first) {
        session.transaction = CallerTransaction {};
        session.transaction->readOnly = request.readOnly;
        session.transaction->beganAt = now;
        session.transaction->route = operation.route;
    }
    if (session.transaction) {
        session.transaction->idleSince = now;
        operation.role = request.first ? PendingStatement::Role::First : PendingStatement::Role::Next;
    }
    session.operation = std::move(operation);
    active_.insert(session.id);
    metrics_.add("guests_run_total");
    enqueue(now, session);
}

void ProxyCore::answerGuest(Session &session, CallerAnswer answer)
{
    GuestAnswer reply;
    reply.channel = session.guest->channel;
    reply.sequence = session.guest->sequence;
    reply.answer = std::move(answer);
    reply.generation = session.generation;
    actions_.emplace_back(SendToEntry { session.guest->entry, std::move(reply) });
    if (!session.transaction) {
        finishedGuests_.push_back(session.id);
    }
}

void ProxyCore::onGuestEnd(Instant now, const VmId &from, const GuestEnd &end)
{
    if (const auto found = guests_.find({ from, end.channel }); found != guests_.end()) {
        onSessionClosed(now, found->second);
        guests_.erase(found);
    }
}

void ProxyCore::askPosition(Instant now, const ServiceId &id, Service &service)
{
    const VmId *home = homeOf(now, service.primary.backend);
    if (home == nullptr || !hasLocalServer(id)) {
        return;
    }
    constexpr std::size_t MostAsked = 8;
    service.sampledAt = now;
    service.positionsAsked[nextSequence_] = now;
    if (service.positionsAsked.size() > MostAsked) {
        service.positionsAsked.erase(service.positionsAsked.begin());
    }
    actions_.emplace_back(SendToEntry { *home, PositionRequest { id, nextSequence_++ } });
}

void ProxyCore::onPositionRequest(Instant now, const VmId &from, const PositionRequest &request)
{
    constexpr std::size_t MostAskers = 256;
    Service &service = serviceOf(request.service);
    if (service.askers.size() < MostAskers) {
        service.askers.push_back({ from, request.sequence, now });
    }
    const BackendPool *pool = poolOf(service.primary.backend);
    constexpr Duration Gather = std::chrono::milliseconds(10); // One question serves all that come close together.
    if (pool != nullptr && pool->quota() > 0 && now - service.sampledAt >= Gather) {
        sample(now, service);
    }
}

void ProxyCore::answerPositions(const ServiceId &id, Service &service, Instant askedAt, const LogPoint &point)
{
    std::erase_if(service.askers, [&](const Service::Asker &asker) {
        if (asker.askedAt > askedAt) {
            return false;
        }
        actions_.emplace_back(
            SendToEntry { asker.entry, PositionAnswer { id, asker.sequence, service.primary.generation, point } });
        return true;
    });
}

void ProxyCore::onPositionAnswer(Instant now, const VmId & /*from*/, const PositionAnswer &answer)
{
    Service &service = serviceOf(answer.service);
    if (const auto asked = service.positionsAsked.find(answer.sequence); asked != service.positionsAsked.end()) {
        service.freshness.record(asked->second, answer.generation, answer.point);
        service.positionsAsked.erase(asked);
        dispatch(now, answer.service);
    }
}

} // namespace daisyrelay
