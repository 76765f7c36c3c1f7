// Forwards statements to other entries if this one cannot reach the server, and runs statements that other entries
// forwarded here.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

/// Time reserved for the network between two entries: a home's own timeout ends this much earlier.
static constexpr Duration EntryHopTime = std::chrono::milliseconds(30);
/// Number of homes that may reject a statement because of load. Others are as likely to reject it, and each attempt
/// uses the links of two entries.
static constexpr std::uint32_t MaxOverloads = 2;

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

const VmId *ProxyCore::chooseHome(Instant now, const BackendId &backend, const Session &session) const
{
    const auto found = homes_.find(backend);
    if (found == homes_.end()) {
        return nullptr;
    }
    const PendingStatement &pending = *session.pending;
    return homeLoads_.choose(now, backend, found->second, session.workspace, pending.route->priority,
        sessionIdBase_ + nextSequence_, pending.triedHomes);
}

const BackendId *ProxyCore::chooseRemoteServer(
    Instant now, const Session &session, const Service &service, bool needsPrimary) const
{
    if (needsPrimary) {
        return &service.primary.backend;
    }
    const PendingStatement &pending = *session.pending;
    const BackendId *best = nullptr;
    Duration bestCost {};
    for (const BackendId &id : service.backends) {
        const BackendPool &pool = pools_.at(id);
        if (pending.triedBackends.contains(id)) {
            continue;
        }
        constexpr Duration DrainingCost = std::chrono::milliseconds(400);
        constexpr Duration PrimaryCost
            = std::chrono::milliseconds(20); // Keeps slots free for statements that only the primary can run.
        constexpr Duration LaggingCost = std::chrono::milliseconds(800);
        const VmId *home = chooseHome(now, id, session);
        const std::optional<Duration> wait
            = home == nullptr ? std::nullopt : homeLoads_.expectedWait(now, *home, id, pending.route->priority);
        constexpr Duration NoHomeCost = std::chrono::minutes(1);
        const Duration cost = (home == nullptr ? NoHomeCost : Duration::zero())
            + (pool.isLagging(now) ? LaggingCost : Duration::zero())
            + (pool.record().isDraining ? DrainingCost : Duration::zero())
            + (id == service.primary.backend ? PrimaryCost : Duration::zero())
            + (pool.record().zone == zone_ ? Duration::zero() : timing_.crossZoneCost)
            + wait.value_or(Duration::zero());
        const bool isNextInTurn = cost == bestCost && (nextSequence_ & 1U) == 0;
        if (best == nullptr || cost < bestCost || isNextInTurn) {
            best = &id;
            bestCost = cost;
        }
    }
    return best;
}

ProxyCore::Placement ProxyCore::placeRemotely(Instant now, Session &session, Service &service, bool needsPrimary)
{
    PendingStatement &pending = *session.pending;
    const BackendId *backend = chooseRemoteServer(now, session, service, needsPrimary);
    const VmId *home = backend == nullptr ? nullptr : chooseHome(now, *backend, session);
    if (home == nullptr && (!pending.triedHomes.empty() || pending.overloads > 0)) {
        // Every home that could run the statement has rejected it. Another attempt would only add to their load.
        reject(now, session, pending.lastRejection, pending.overloads > 0 ? "overloaded" : "homes-used",
            pending.shortestWait.value_or(timing_.maxBackoff / 4));
        return Placement::Rejected;
    }
    if (home == nullptr) {
        if (backend == nullptr) {
            pending.triedBackends.clear();
        } else if (!needsPrimary) {
            pending.triedBackends.insert(*backend);
        }
        pending.retryAt = now + timing_.busyBackoff;
        return Placement::Waiting;
    }
    if (rejectIfHopeless(now, session, *backend)) {
        return Placement::Rejected;
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
    if (const auto found = session.lastWrites.find(pending.route->service); found != session.lastWrites.end()) {
        request.lastWrite = found->second.point;
        request.lastWriteGeneration = found->second.generation;
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
    homeLoads_.recordSent(home, pending.backend);
    metrics_.add("guests_sent_total");
    actions_.emplace_back(SendToEntry { home, std::move(request) });
}

// Notifies the home of the statement or transaction in progress that it has been abandoned.
void ProxyCore::endForwarded(Session &session)
{
    VmId home;
    if (session.pending && !session.pending->home.empty()) {
        home = std::exchange(session.pending->home, {});
        homeLoads_.recordFinished(home, session.pending->backend);
    }
    if (session.transaction && !session.transaction->home.empty()) {
        home = std::exchange(session.transaction->home, {});
    }
    if (!home.empty()) {
        actions_.emplace_back(
            SendToEntry { home, ForwardedSessionEnd { sessionIdBase_ + session.id, nextSequence_ - 1 } });
    }
}

// A statement may wait long at a home that is only busy, so its age alone does not show that the home has failed.
void ProxyCore::checkForwarded(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    if (now >= pending.deadline) {
        handleLostResponse(now, session, "timed-out");
        return;
    }
    const VmId home = pending.home;
    if (homeLoads_.isSilent(now, home, timing_.unresponsiveTimeout)) {
        onHomeLost(now, home, "home-silent");
    } else if (now - std::max(pending.sentAt, pending.probedAt) > timing_.lostStatementDelay
        || homeLoads_.takeProbe(now, home, pending.sentAt, timing_.homeProbeDelay)) {
        pending.probedAt = now;
        metrics_.add("home_probes_total");
        actions_.emplace_back(SendToEntry { home, HomeProbe { sessionIdBase_ + session.id, pending.sequence } });
    }
}

void ProxyCore::onForwardedStatementResponse(Instant now, const VmId &from, const ForwardedStatementResponse &message)
{
    homeLoads_.recordHeard(now, from);
    Session *session = findSession(message.sessionId - sessionIdBase_);
    if (session == nullptr || !session->pending || session->pending->home != from
        || session->pending->sequence != message.sequence) {
        metrics_.add("guest_answers_unwanted_total");
        return;
    }
    PendingStatement &pending = *session->pending;
    homeLoads_.recordFinished(from, pending.backend);
    recordHomeLoad(now, from, pending, message.load);
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
        retryForwarded(now, *session, from, message);
        return;
    }
    BackendResponse response;
    response.code = message.response.code == ResponseCode::WrongBackend ? ResponseCode::Busy : message.response.code;
    response.detail = message.response.detail;
    failStatement(now, *session, response);
}

void ProxyCore::retryForwarded(
    Instant now, Session &session, const VmId &home, const ForwardedStatementResponse &message)
{
    PendingStatement &pending = *session.pending;
    const ResponseCode code = message.response.code;
    const bool isWrongHome = code == ResponseCode::WrongBackend;
    ++pending.rejections;
    pending.lastRejection = isWrongHome ? ResponseCode::Busy : code;
    if (message.isOverloaded) {
        ++pending.overloads;
        const std::size_t index = std::min<std::size_t>(pending.route->priority, HomeLoad::Priorities - 1);
        const Duration wait = std::chrono::milliseconds(std::max(message.load.waitMs.at(index), 1));
        pending.shortestWait = std::min({ pending.shortestWait.value_or(wait), wait, timing_.maxOverloadRetryAfter });
        // Other homes of the primary share its slots, so only the most urgent statements try a second one.
        const bool isHopeless = pending.needsPrimary && pending.route->priority > 0;
        if (pending.overloads >= MaxOverloads || isHopeless || !homeLoads_.takeRetry()) {
            reject(now, session, pending.lastRejection, "overloaded", *pending.shortestWait);
            return;
        }
    }
    const bool shouldDelay = pending.rejections > 2; // Two other servers have rejected the statement already.
    pending.retryAt = (pending.needsPrimary && !isWrongHome && !message.isOverloaded) || shouldDelay
        ? now + timing_.busyBackoff
        : now;
    if (isWrongHome) {
        homeLoads_.recordWrongHome(now, home, pending.backend);
    } else if (!pending.needsPrimary) {
        pending.triedBackends.insert(pending.backend);
    }
    if (code == ResponseCode::Busy) {
        pending.triedHomes.insert(home);
    }
    if (BackendPool *pool = findPool(pending.backend); pool != nullptr && code == ResponseCode::Lagging) {
        pool->recordLag(now);
    }
    enqueue(session);
    dispatch(now, pending.route->service);
}

void ProxyCore::completeForwarded(
    Instant now, Session &session, const VmId &home, const ForwardedStatementResponse &message)
{
    homeLoads_.recordServed();
    recordSuccess(now, session, message.response.position, message.generation);
    if (session.transaction) {
        session.transaction->home = home;
    }
    CallerResponse response = message.response;
    finishStatement(now, session, std::move(response));
}

void ProxyCore::onForwardedStatement(Instant now, const VmId &from, const ForwardedStatement &request)
{
    const auto key = std::pair(from, request.sessionId);
    if (const auto ended = endedSessions_.find(key);
        ended != endedSessions_.end() && request.sequence <= ended->second.sequence) {
        metrics_.add("guests_left_total"); // The caller left while the statement was on its way.
        return;
    }
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
        respondToEntry(now, session, nullptr, std::move(response));
        return;
    }
    session.workspace = request.workspace;
    session.values = { request.values.begin(), request.values.end() };
    session.prepared.clear();
    if (request.statement.type == StatementType::Execute) {
        session.prepared[request.statement.name] = { request.isPreparedWrite, request.preparedShape };
    }
    session.lastWrites.clear();
    if (request.lastWrite) {
        session.lastWrites[request.route.service] = { *request.lastWrite, request.lastWriteGeneration };
    }
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
    limitToDrain(pending);
    session.pending = std::move(pending);
    activeSessions_.insert(session.id);
    metrics_.add("guests_run_total");
    if (!rejectIfDraining(now, session)) {
        submit(now, session);
    }
}

void ProxyCore::respondToEntry(Instant now, Session &session, const PendingStatement *pending, CallerResponse response)
{
    ForwardedStatementResponse message;
    message.sessionId = session.origin->sessionId;
    message.sequence = session.origin->sequence;
    message.response = std::move(response);
    message.generation = session.generation;
    if (pending != nullptr) {
        message.isOverloaded = pending->isOverloaded;
        message.load = makeHomeLoad(now, *pending);
    }
    actions_.emplace_back(SendToEntry { session.origin->entry, std::move(message) });
    if (pending != nullptr && pending->role == PendingStatement::Role::First && session.transaction
        && session.transaction->hasFailed) {
        // The entry that forwarded the statement knows of no transaction here and would never end it.
        session.transaction.reset();
    }
    if (!session.transaction) {
        finishedForwardedSessions_.push_back(session.id);
    }
}

void ProxyCore::onForwardedSessionEnd(Instant now, const VmId &from, const ForwardedSessionEnd &end)
{
    EndedSession &ended = endedSessions_[{ from, end.sessionId }];
    ended = { std::max(ended.sequence, end.sequence), now };
    if (const auto found = forwardedSessions_.find({ from, end.sessionId }); found != forwardedSessions_.end()) {
        onSessionClosed(now, found->second);
        forwardedSessions_.erase(found);
    }
}

} // namespace daisyrelay
