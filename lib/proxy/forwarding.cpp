// Forwards statements to other entries if this one cannot reach the server, and runs statements that other entries
// forwarded here.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

/// Time reserved for the network between two entries: a home's own timeout ends this much earlier.
static constexpr Duration EntryHopTime = std::chrono::milliseconds(30);
/// How long no statement is forwarded to a home that did not respond or has no connection to the server.
static constexpr Duration HomeAvoidTime = std::chrono::milliseconds(300);

bool ProxyCore::hasLocalServer(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found != services_.end()
        && std::any_of(found->second.backends.begin(), found->second.backends.end(),
            [this](const BackendId &id) { return pools_.at(id).quota() > 0; });
}

bool ProxyCore::mustForwardToPrimary(Instant now, const Service &service) const
{
    const BackendPool *pool = findPool(service.primary.backend);
    return pool != nullptr && (pool->quota() == 0 || pool->isUnreachable(now))
        && homes_.contains(service.primary.backend);
}

const VmId *ProxyCore::chooseHome(Instant now, const BackendId &backend, const WorkspaceId &workspace) const
{
    const auto found = homes_.find(backend);
    if (found == homes_.end()) {
        return nullptr;
    }
    if (!workspace.empty()) {
        return chooseWorkspaceHome(now, found->second, workspace);
    }
    const VmId *best = nullptr;
    std::size_t fewestInFlight = 0;
    for (const VmId &home : found->second) {
        const auto state = homeStates_.find(home);
        const std::size_t inFlight = state == homeStates_.end() ? 0 : state->second.inFlight;
        const bool isAvoided = state != homeStates_.end() && now < state->second.avoidUntil;
        // Breaks ties differently at each entry, so that the homes of a server share its load.
        const std::size_t firstIndex = (sessionIdBase_ + nextSequence_) % found->second.size();
        const bool isFirst = &home == &found->second[firstIndex];
        if (!isAvoided && (best == nullptr || inFlight < fewestInFlight || (inFlight == fewestInFlight && isFirst))) {
            best = &home;
            fewestInFlight = inFlight;
        }
    }
    return best;
}

const BackendId *ProxyCore::chooseRemoteServer(
    Instant now, const PendingStatement &pending, const Service &service, bool needsPrimary) const
{
    if (needsPrimary) {
        return &service.primary.backend;
    }
    const BackendId *best = nullptr;
    int bestRank = 0;
    for (const BackendId &id : service.backends) {
        const BackendPool &pool = pools_.at(id);
        if (pending.triedBackends.contains(id)) {
            continue;
        }
        constexpr int DrainingPenalty = 4;
        constexpr int PrimaryPenalty = 2; // Keeps slots free for statements that only the primary can run.
        constexpr int LaggingPenalty = 8;
        const int rank = (pool.isLagging(now) ? LaggingPenalty : 0) + (pool.record().isDraining ? DrainingPenalty : 0)
            + (id == service.primary.backend ? PrimaryPenalty : 0) + (pool.record().zone == zone_ ? 0 : 1);
        const bool isNextInTurn = rank == bestRank && (nextSequence_ & 1U) == 0;
        if (best == nullptr || rank < bestRank || isNextInTurn) {
            best = &id;
            bestRank = rank;
        }
    }
    return best;
}

ProxyCore::Placement ProxyCore::placeRemotely(Instant now, Session &session, Service &service, bool needsPrimary)
{
    PendingStatement &pending = *session.pending;
    const BackendId *backend = chooseRemoteServer(now, pending, service, needsPrimary);
    const VmId *home = backend == nullptr ? nullptr : chooseHome(now, *backend, session.workspace);
    if (home == nullptr) {
        if (backend == nullptr) {
            pending.triedBackends.clear();
        } else if (!needsPrimary) {
            pending.triedBackends.insert(*backend);
        }
        pending.retryAt = now + timing_.busyBackoff;
        return Placement::Waiting;
    }
    pending.backend = *backend;
    const bool isPrimary = *backend == service.primary.backend;
    const VmId homeId = *home;
    dequeue(session);
    forwardToHome(now, session, homeId, needsPrimary || isPrimary);
    return Placement::Started;
}

void ProxyCore::forwardToHome(Instant now, Session &session, const VmId &home, bool needsPrimary)
{
    PendingStatement &pending = *session.pending;
    ForwardedStatement request;
    request.sessionId = sessionIdBase_ + session.id;
    request.sequence = nextSequence_++;
    request.route = *pending.route;
    request.workspace = session.workspace;
    request.statement = pending.statement;
    request.inTransaction = session.transaction.has_value();
    request.beginsTransaction = pending.role == PendingStatement::Role::First;
    request.isReadOnly = session.transaction && session.transaction->isReadOnly;
    request.needsPrimary = needsPrimary;
    request.values.assign(session.values.begin(), session.values.end());
    if (pending.statement.type == StatementType::Execute) {
        const PreparedStatement &prepared = session.prepared.at(pending.statement.name);
        request.isPreparedWrite = prepared.isWrite;
        request.preparedShape = prepared.shape;
    }
    if (session.lastWrite) {
        request.lastWrite = session.lastWrite->point;
        request.lastWriteGeneration = session.lastWrite->generation;
    }
    const auto timeUntil = [now](Instant until) {
        return std::max(
            std::chrono::duration_cast<std::chrono::milliseconds>(until - now), std::chrono::milliseconds(1));
    };
    request.remainingTimeout = timeUntil(pending.deadline - EntryHopTime);
    request.maxQueueTime = timeUntil(pending.queueDeadline);
    pending.home = home;
    pending.sequence = request.sequence;
    pending.sentAt = now;
    pending.wasSent = true;
    ++pending.attempts;
    ++homeStates_[home].inFlight;
    metrics_.add("guests_sent_total");
    actions_.emplace_back(SendToEntry { home, std::move(request) });
}

// Notifies the home of the statement or transaction in progress that it has been abandoned.
void ProxyCore::endForwarded(Session &session)
{
    VmId home;
    if (session.pending && !session.pending->home.empty()) {
        home = std::exchange(session.pending->home, {});
        HomeState &state = homeStates_[home];
        state.inFlight -= std::min<std::size_t>(state.inFlight, 1);
    }
    if (session.transaction && !session.transaction->home.empty()) {
        home = std::exchange(session.transaction->home, {});
    }
    if (!home.empty()) {
        actions_.emplace_back(SendToEntry { home, ForwardedSessionEnd { sessionIdBase_ + session.id } });
    }
}

void ProxyCore::checkForwarded(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    const bool isSingleRead = !pending.isWrite && pending.role == PendingStatement::Role::Single;
    const Duration responseTimeout
        = std::max<Duration>(pending.route->latencyTarget, timing_.unresponsiveTimeout) * pending.countedAttempts();
    const bool isLate = now >= pending.deadline;
    if (!isLate && !(isSingleRead && now - pending.sentAt > responseTimeout)) {
        return;
    }
    homeStates_[pending.home].avoidUntil = now + HomeAvoidTime;
    handleLostResponse(now, session, isLate ? "timed-out" : "home-silent");
}

void ProxyCore::onForwardedStatementResponse(Instant now, const VmId &from, const ForwardedStatementResponse &message)
{
    Session *session = findSession(message.sessionId - sessionIdBase_);
    if (session == nullptr || !session->pending || session->pending->home != from
        || session->pending->sequence != message.sequence) {
        metrics_.add("guest_answers_unwanted_total");
        return;
    }
    PendingStatement &pending = *session->pending;
    HomeState &state = homeStates_[from];
    state.inFlight -= std::min<std::size_t>(state.inFlight, 1);
    pending.home = {};
    if (message.response.code == ResponseCode::Ok) {
        completeForwarded(now, *session, from, message);
        return;
    }
    const bool didNotRun = message.response.code == ResponseCode::Busy
        || message.response.code == ResponseCode::WrongBackend || message.response.code == ResponseCode::Lagging
        || message.response.code == ResponseCode::NotPrimary || message.response.code == ResponseCode::Aborted;
    if (didNotRun && pending.role != PendingStatement::Role::Next && pending.countedAttempts() <= timing_.maxAttempts
        && now < pending.queueDeadline) {
        ++pending.rejections;
        const bool isWrongHome = message.response.code == ResponseCode::WrongBackend;
        pending.lastRejection = isWrongHome ? ResponseCode::Busy : message.response.code;
        const bool shouldDelay = pending.rejections > 2; // Two other servers have rejected the statement already.
        pending.retryAt = (pending.needsPrimary && !isWrongHome) || shouldDelay ? now + timing_.busyBackoff : now;
        if (isWrongHome) {
            state.avoidUntil = now + HomeAvoidTime;
        } else if (!pending.needsPrimary) {
            pending.triedBackends.insert(pending.backend);
        }
        if (BackendPool *pool = findPool(pending.backend);
            pool != nullptr && message.response.code == ResponseCode::Lagging) {
            pool->recordLag(now);
        }
        enqueue(*session);
        dispatch(now, pending.route->service);
        return;
    }
    BackendResponse response;
    response.code = message.response.code == ResponseCode::WrongBackend ? ResponseCode::Busy : message.response.code;
    response.detail = message.response.detail;
    failStatement(now, *session, response);
}

void ProxyCore::completeForwarded(
    Instant now, Session &session, const VmId &home, const ForwardedStatementResponse &message)
{
    updateSessionAfterSuccess(session, message.response.position, message.generation);
    if (session.transaction) {
        session.transaction->home = home;
    }
    CallerResponse response = message.response;
    finishStatement(now, session, std::move(response));
}

void ProxyCore::onForwardedStatement(Instant now, const VmId &from, const ForwardedStatement &request)
{
    const auto key = std::pair(from, request.sessionId);
    auto forwarded = forwardedSessions_.find(key);
    const bool continuesTransaction = request.inTransaction && !request.beginsTransaction;
    if (forwarded != forwardedSessions_.end() && !continuesTransaction) {
        // The session has abandoned its previous statement or transaction.
        onSessionClosed(now, forwarded->second);
        forwardedSessions_.erase(forwarded);
        forwarded = forwardedSessions_.end();
    }
    if (forwarded == forwardedSessions_.end()) {
        forwarded = forwardedSessions_.emplace(key, nextForwardedSession_++).first;
        Session &newSession = sessions_[forwarded->second];
        newSession.id = forwarded->second;
        newSession.database = request.route.database;
    }
    Session &session = sessions_[forwarded->second];
    session.id = forwarded->second;
    session.origin = ForwardingOrigin { from, request.sessionId, request.sequence };
    session.lastActiveAt = now;
    if (continuesTransaction && (!session.transaction || session.transaction->hasFailed || session.pending)) {
        CallerResponse response;
        response.code = ResponseCode::Aborted;
        response.detail = "the transaction was rolled back";
        respondToEntry(session, std::move(response));
        return;
    }
    session.workspace = request.workspace;
    session.values = { request.values.begin(), request.values.end() };
    session.prepared.clear();
    if (request.statement.type == StatementType::Execute) {
        session.prepared[request.statement.name] = { request.isPreparedWrite, request.preparedShape };
    }
    session.lastWrite = request.lastWrite ? std::optional(LastWrite { *request.lastWrite, request.lastWriteGeneration })
                                          : std::nullopt;
    PendingStatement pending;
    pending.statement = request.statement;
    pending.route = std::make_shared<const DatabaseRoute>(request.route);
    pending.arrivedAt = now;
    pending.freshnessReference = now;
    pending.deadline = now + request.remainingTimeout;
    pending.queueDeadline = now + request.maxQueueTime;
    pending.isWrite = isWrite(session, request.statement);
    pending.needsPrimary = pending.isWrite || request.needsPrimary || request.route.guarantee == ReadGuarantee::Primary
        || (request.inTransaction && !request.isReadOnly);
    if (request.beginsTransaction) {
        session.transaction = CallerTransaction {};
        session.transaction->isReadOnly = request.isReadOnly;
        session.transaction->beganAt = now;
        session.transaction->route = pending.route;
    }
    if (session.transaction) {
        session.transaction->idleSince = now;
        pending.role = request.beginsTransaction ? PendingStatement::Role::First : PendingStatement::Role::Next;
    }
    session.pending = std::move(pending);
    activeSessions_.insert(session.id);
    metrics_.add("guests_run_total");
    submit(now, session);
}

void ProxyCore::respondToEntry(Session &session, CallerResponse response)
{
    ForwardedStatementResponse message;
    message.sessionId = session.origin->sessionId;
    message.sequence = session.origin->sequence;
    message.response = std::move(response);
    message.generation = session.generation;
    actions_.emplace_back(SendToEntry { session.origin->entry, std::move(message) });
    if (!session.transaction) {
        finishedForwardedSessions_.push_back(session.id);
    }
}

void ProxyCore::onForwardedSessionEnd(Instant now, const VmId &from, const ForwardedSessionEnd &end)
{
    if (const auto found = forwardedSessions_.find({ from, end.sessionId }); found != forwardedSessions_.end()) {
        onSessionClosed(now, found->second);
        forwardedSessions_.erase(found);
    }
}

void ProxyCore::requestPosition(Instant now, const ServiceId &id, Service &service)
{
    const VmId *home = chooseHome(now, service.primary.backend, {});
    if (home == nullptr || !hasLocalServer(id)) {
        return;
    }
    constexpr std::size_t MaxPositionRequests = 8;
    service.lastSampledAt = now;
    service.positionRequests[nextSequence_] = now;
    if (service.positionRequests.size() > MaxPositionRequests) {
        service.positionRequests.erase(service.positionRequests.begin());
    }
    actions_.emplace_back(SendToEntry { *home, PositionRequest { id, nextSequence_++ } });
}

void ProxyCore::onPositionRequest(Instant now, const VmId &from, const PositionRequest &request)
{
    constexpr std::size_t MaxRequesters = 256;
    Service &service = serviceOf(request.service);
    if (service.positionRequesters.size() < MaxRequesters) {
        service.positionRequesters.push_back({ from, request.sequence, now });
    }
    const BackendPool *pool = findPool(service.primary.backend);
    constexpr Duration MinSampleInterval
        = std::chrono::milliseconds(10); // One sample serves all requests that arrive close together.
    if (pool != nullptr && pool->quota() > 0 && now - service.lastSampledAt >= MinSampleInterval) {
        samplePosition(now, service);
    }
}

void ProxyCore::respondToPositionRequests(const ServiceId &id, Service &service, Instant sentAt, const LogPoint &point)
{
    std::erase_if(service.positionRequesters, [&](const Service::PositionRequester &requester) {
        if (requester.receivedAt > sentAt) {
            return false;
        }
        actions_.emplace_back(SendToEntry {
            requester.entry, PositionResponse { id, requester.sequence, service.primary.generation, point } });
        return true;
    });
}

void ProxyCore::onPositionResponse(Instant now, const VmId & /*from*/, const PositionResponse &response)
{
    Service &service = serviceOf(response.service);
    if (const auto found = service.positionRequests.find(response.sequence); found != service.positionRequests.end()) {
        service.freshness.record(found->second, response.generation, response.point);
        service.positionRequests.erase(found);
        dispatch(now, response.service);
    }
}

} // namespace daisyrelay
