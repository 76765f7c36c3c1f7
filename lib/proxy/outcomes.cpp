// Handles the outcome of a statement: success, retry, rejection or failure.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

static bool didNotRun(ResponseCode code)
{
    switch (code) {
    case ResponseCode::Busy:
    case ResponseCode::Aborted:
    case ResponseCode::Lagging:
    case ResponseCode::NotPrimary:
    case ResponseCode::WrongBackend:
    case ResponseCode::ConnectionLimit:
    case ResponseCode::UnknownStatement:
        return true;
    default:
        return false;
    }
}

void ProxyCore::onConnectionOpened(Instant now, ConnectionId id)
{
    const auto at = connections_.find(id);
    if (at == connections_.end()) {
        return;
    }
    BackendPool &pool = *findPool(at->second);
    pool.onOpened(now, id);
    if (drain_ && sessions_.empty()) {
        closeConnection(now, pool, id, ConnectionLoss::Broken);
        return;
    }
    sampleNewPrimary(now, pool);
    reportNewReplica(now, pool, now);
    const ServiceId service = pool.record().service;
    dispatch(now, service);
}

void ProxyCore::onConnectionLost(Instant now, ConnectionId id, ConnectionLoss loss)
{
    const auto at = connections_.find(id);
    if (at == connections_.end()) {
        return;
    }
    BackendPool &pool = *findPool(at->second);
    const BackendConnection connection = *pool.find(id);
    connections_.erase(at);
    pool.onLost(now, id, loss);
    if (loss != ConnectionLoss::Broken) {
        metrics_.add("connections_not_opened_total");
        log_.log(now, "connection.not-opened",
            { { "backend", std::string_view(pool.record().id.value) }, { "loss", static_cast<std::uint64_t>(loss) },
                { "topology_index", topology_.index } });
    } else if (connection.state == BackendConnection::State::Busy
        || connection.state == BackendConnection::State::InTransaction) {
        metrics_.add("connections_broken_total");
        log_.log(now, "connection.broken",
            { { "backend", std::string_view(pool.record().id.value) }, { "session", connection.session },
                { "busy_ms", now - connection.stateSince } });
    }
    Session *session = findSession(connection.session);
    if (session == nullptr) {
        return;
    }
    if (session->pending && session->pending->connection == id) {
        handleLostResponse(now, *session, "connection-broken");
    } else if (session->transaction && session->transaction->connection == id) {
        session->transaction->connection = 0;
        session->transaction->hasFailed = true;
    }
}

void ProxyCore::onExchange(Instant now, ConnectionId id, std::vector<BackendResponse> responses)
{
    const auto at = connections_.find(id);
    if (at == connections_.end()) {
        return;
    }
    BackendPool &pool = *findPool(at->second);
    BackendConnection &connection = *pool.find(id);
    if (responses.size() != connection.sentTypes.size()) {
        actions_.emplace_back(CloseBackendConnection { id });
        onConnectionLost(now, id, ConnectionLoss::Broken);
        return;
    }
    const bool isCallerStatement = connection.purpose == BackendConnection::Purpose::Statement;
    pool.recordResponse(now, connection.stateSince,
        isCallerStatement && !connection.awaitsBegin && responses[connection.payloadIndex].code == ResponseCode::Ok);
    const TransactionState state = responses.back().state;
    if (responses.back().position) {
        pool.recordAppliedPoint(*responses.back().position);
    }
    if (isCallerStatement) {
        onStatementResponses(now, pool, connection, responses);
        return;
    }
    if (connection.purpose == BackendConnection::Purpose::Sample && responses.front().code == ResponseCode::Ok
        && isLeaseValid(now, pool, connection)) {
        const bool hasCaughtUp = recordStatus(pool, connection, responses.back());
        recordPosition(
            now, pool, connection, hasCaughtUp ? responses.back() : responses.front(), PositionSource::Sample);
    }
    if (connection.purpose == BackendConnection::Purpose::Receipt) {
        onReceipt(now, pool, connection, responses.front());
    }
    if (state != TransactionState::Idle) {
        closeConnection(now, pool, id, ConnectionLoss::Broken);
        return;
    }
    releaseConnection(now, pool, connection);
}

// Handles the response to a successful BEGIN. \p session is null if nothing waits for it any more.
void ProxyCore::onBeginResponse(
    Instant now, BackendPool &pool, BackendConnection &connection, const BackendResponse &response, Session *session)
{
    const bool isValid = isLeaseValid(now, pool, connection) && canUsePrimary(now, pool.record().service);
    if (connection.confirmsPrimary && isValid) {
        recordPosition(now, pool, connection, response, PositionSource::Begin);
    }
    if (session != nullptr && connection.needsLease && !isValid) {
        connection.session = 0;
        rollBackConnection(now, connection);
        retryStatement(now, *session, pool, ResponseCode::Busy);
    } else if (session != nullptr && !hasPrepared(*session, connection)) {
        connection.session = 0;
        rollBackConnection(now, connection);
        retryStatement(now, *session, pool, ResponseCode::UnknownStatement);
    } else if (session != nullptr) {
        sendAfterBegin(now, *session, connection);
    } else {
        rollBackConnection(now, connection);
    }
}

void ProxyCore::onStatementResponses(
    Instant now, BackendPool &pool, BackendConnection &connection, std::vector<BackendResponse> &responses)
{
    const ConnectionId id = connection.id;
    const TransactionState state = responses.back().state;
    Session *session = findSession(connection.session);
    BackendResponse &response = responses[connection.payloadIndex];
    const bool isAwaited = session != nullptr && session->pending && session->pending->connection == id;
    forgetUnknownNames(connection, responses);
    if (connection.awaitsBegin && response.code == ResponseCode::Ok) {
        onBeginResponse(now, pool, connection, response, isAwaited ? session : nullptr);
        return;
    }
    if (response.code == ResponseCode::Ok && response.signature.empty()) {
        // A response without signature belongs to another statement: responses are out of step because one was lost.
        metrics_.add("answers_misplaced_total");
        actions_.emplace_back(CloseBackendConnection { id });
        onConnectionLost(now, id, ConnectionLoss::Broken);
        return;
    }
    if (response.code == ResponseCode::Ok && !isLeaseValid(now, pool, connection)) {
        metrics_.add("answers_after_lease_total");
        actions_.emplace_back(CloseBackendConnection { id });
        onConnectionLost(now, id, ConnectionLoss::Broken);
        return;
    }
    if (response.code == ResponseCode::Ok && connection.confirmsPrimary) {
        recordPosition(now, pool, connection, response, PositionSource::Statement);
    }
    if (!isAwaited) {
        if (state == TransactionState::Idle) {
            releaseConnection(now, pool, connection);
        } else {
            rollBackConnection(now, connection);
        }
        return;
    }
    const bool keepsTransaction = state == TransactionState::Open && response.code == ResponseCode::Ok
        && session->transaction && session->pending->statement.type != StatementType::Commit;
    const bool canRunHere = response.code == ResponseCode::Busy || response.code == ResponseCode::UnknownStatement;
    const bool retriesHere = session->pending->role == PendingStatement::Role::Next && canRunHere
        && state == TransactionState::Open && now + timing_.busyBackoff < session->pending->deadline;
    if (keepsTransaction || retriesHere) {
        connection.state = BackendConnection::State::InTransaction;
        connection.stateSince = now;
    }
    if (retriesHere) {
        session->pending->connection = 0;
        session->pending->retryAt = now + timing_.busyBackoff;
        return;
    }
    const bool isHeld = connection.commitsWrite && needsReceipt(serviceOf(pool.record().service));
    if (response.code == ResponseCode::Ok && isHeld) {
        holdCommit(now, *session, pool, connection, response);
    } else if (response.code == ResponseCode::Ok) {
        completeStatement(now, *session, pool.record().id, connection.generation, id, response);
    } else if (didNotRun(response.code) && session->pending->role != PendingStatement::Role::Next) {
        retryStatement(now, *session, pool, response.code);
    } else {
        if (response.code == ResponseCode::Failed) {
            pool.recordFailure(now);
        }
        failStatement(now, *session, response);
    }
    if (keepsTransaction) {
        return;
    }
    if (state == TransactionState::Idle) {
        releaseConnection(now, pool, connection);
    } else {
        rollBackConnection(now, connection);
    }
}

void ProxyCore::completeStatement(Instant now, Session &session, const BackendId &backend, std::uint64_t generation,
    ConnectionId connection, BackendResponse &response)
{
    PendingStatement &pending = *session.pending;
    const Service &service = serviceOf(pending.route->service);
    recordSuccess(now, session, response.position, generation != 0 ? generation : service.primary.generation);
    if (session.transaction) {
        session.transaction->connection = connection;
    }
    session.generation = generation;
    metrics_.add(
        backend == service.primary.backend ? "answers_total{role=\"primary\"}" : "answers_total{role=\"replica\"}");
    CallerResponse callerResponse;
    callerResponse.signature = std::move(response.signature);
    callerResponse.rows = std::move(response.rows);
    callerResponse.position = response.position;
    finishStatement(now, session, std::move(callerResponse));
}

void ProxyCore::recordSuccess(Instant now, Session &session, std::optional<LogPoint> position, std::uint64_t generation)
{
    const PendingStatement &pending = *session.pending;
    const bool isCommit = pending.statement.type == StatementType::Commit;
    const bool hasCommittedWrite
        = isCommit ? session.transaction->hasWritten : (pending.isWrite && !session.transaction);
    if (hasCommittedWrite && position) {
        session.lastWrites[pending.route->service] = LastWrite { *position, generation, now };
    }
    if (isCommit) {
        session.transaction.reset();
    } else if (session.transaction) {
        session.transaction->hasWritten = session.transaction->hasWritten || pending.isWrite;
    }
}

void ProxyCore::retryStatement(Instant now, Session &session, BackendPool &pool, ResponseCode code)
{
    PendingStatement &pending = *session.pending;
    pending.connection = 0;
    pending.lastRejection = code == ResponseCode::UnknownStatement ? ResponseCode::Busy : code;
    metrics_.add(std::string("retries_total{code=\"") + std::string(responseCodeName(code)) + "\"}");
    if (code != ResponseCode::Aborted && code != ResponseCode::UnknownStatement) {
        // The attempt did not run and cost little, so it does not count against the maximum number of attempts.
        ++pending.rejections;
    }
    if (code == ResponseCode::Lagging) {
        pool.recordLag(now);
    } else if (code == ResponseCode::Busy) {
        pool.recordRejection(now);
    }
    if (session.origin && !pending.needsPrimary && code == ResponseCode::Busy
        && now + timing_.busyBackoff < pending.queueDeadline) {
        // Other servers are as busy. The statement keeps its place here rather than use the links of two entries again.
        pending.retryAt = now + timing_.busyBackoff;
        enqueue(session);
        return;
    }
    if (session.origin && !pending.needsPrimary) {
        // The entry that forwarded the statement can try other servers.
        reject(now, session, pending.lastRejection, "try-elsewhere", Duration::zero());
        return;
    }
    if (pending.countedAttempts() >= timing_.maxAttempts || now + timing_.busyBackoff >= pending.deadline) {
        reject(now, session, pending.lastRejection, "attempts-used", timing_.maxBackoff / 4);
        return;
    }
    if (code == ResponseCode::Lagging || code == ResponseCode::Busy || code == ResponseCode::Aborted) {
        pending.triedBackends.insert(pool.record().id);
    }
    // A read without a known position is sent to the primary, too.
    if (pending.needsPrimary || code == ResponseCode::NotPrimary) {
        pending.triedBackends.clear();
        pending.retryAt = now + timing_.busyBackoff * (1U << std::min(pending.rejections, 2U));
    }
    enqueue(session);
}

void ProxyCore::failStatement(Instant now, Session &session, BackendResponse &response)
{
    CallerResponse callerResponse;
    callerResponse.code = response.code;
    callerResponse.detail = std::move(response.detail);
    if (session.transaction) {
        endForwarded(session);
        session.transaction->connection = 0;
        session.transaction->hasFailed = true;
        if (session.pending->statement.type == StatementType::Commit) {
            session.transaction.reset();
        }
    }
    finishStatement(now, session, std::move(callerResponse));
}

void ProxyCore::handleLostResponse(Instant now, Session &session, std::string_view reason)
{
    PendingStatement &pending = *session.pending;
    pending.connection = 0;
    endForwarded(session);
    const bool isCommit = pending.statement.type == StatementType::Commit;
    const bool isSingle = pending.role == PendingStatement::Role::Single;
    const bool isInDoubt
        = (isSingle && pending.isWrite) || (isCommit && session.transaction && session.transaction->hasWritten);
    const bool canRetry = !isInDoubt && pending.role != PendingStatement::Role::Next && now < pending.deadline;
    log_.log(now, "request.answer-lost",
        { { "request", std::string_view(pending.statement.id) }, { "reason", reason },
            { "backend", std::string_view(pending.backend.value) }, { "in_doubt", isInDoubt }, { "again", canRetry },
            { "after_ms", now - pending.sentAt } });
    // A lost connection rolls back its open transaction, so only a write that may have been committed is in doubt.
    if (canRetry && pending.countedAttempts() < timing_.maxAttempts) {
        pending.retryAt = now;
        enqueue(session);
        return;
    }
    CallerResponse callerResponse;
    callerResponse.code = isInDoubt ? ResponseCode::InDoubt : ResponseCode::Aborted;
    callerResponse.detail = std::string(reason);
    if (session.transaction) {
        endForwarded(session);
        session.transaction->connection = 0;
        session.transaction->hasFailed = true;
        if (isCommit) {
            session.transaction.reset();
        }
    }
    finishStatement(now, session, std::move(callerResponse));
}

void ProxyCore::finishStatement(Instant now, Session &session, CallerResponse response)
{
    if (response.code == ResponseCode::UnknownStatement) {
        // Names that the caller has not prepared are rejected before this. The caller's own name is known.
        response.code = ResponseCode::Aborted;
    }
    dequeue(session);
    const PendingStatement pending = std::move(*session.pending);
    session.pending.reset();
    activeSessions_.erase(session.id);
    if (pending.heldCommit) {
        serviceOf(pending.route->service).receipts.remove(session.id);
    }
    session.lastActiveAt = now;
    if (session.transaction) {
        session.transaction->idleSince = now;
        if (response.code != ResponseCode::Ok && pending.role == PendingStatement::Role::First) {
            session.transaction->hasFailed = true;
        }
    }
    response.state = session.state();
    logOutcome(now, session, pending, response);
    if (session.origin) {
        respondToEntry(now, session, &pending, std::move(response));
        return;
    }
    actions_.emplace_back(SendResponse { session.id, std::move(response) });
    closeWhenIdle(session);
}

void ProxyCore::logOutcome(
    Instant now, const Session &session, const PendingStatement &pending, const CallerResponse &response)
{
    const Duration latency = now - pending.arrivedAt;
    const std::string labels = "outcome=\"" + std::string(responseCodeName(response.code)) + "\",priority=\""
        + std::to_string(pending.route->priority) + "\"";
    metrics_.observe("statement_seconds", labels, latency);
    const bool isLate = latency > pending.route->latencyTarget;
    const std::string_view event
        = response.code != ResponseCode::Ok ? "request.failed" : (isLate ? "request.late" : "request.done");
    constexpr std::uint64_t LogOneIn = 256;
    if (event == "request.done" && metrics_.value("answers_total{role=\"primary\"}") % LogOneIn != 0) {
        return;
    }
    log_.log(now, event,
        { { "request", std::string_view(pending.statement.id) }, { "outcome", responseCodeName(response.code) },
            { "detail", std::string_view(response.detail) }, { "session", session.id },
            { "database", std::string_view(session.database) }, { "backend", std::string_view(pending.backend.value) },
            { "took_ms", latency }, { "queued_ms", pending.wasSent ? pending.sentAt - pending.arrivedAt : latency },
            { "attempts", std::uint64_t { pending.attempts } }, { "config_version", configuration_.version },
            { "topology_index", topology_.index } });
}

} // namespace daisyrelay
