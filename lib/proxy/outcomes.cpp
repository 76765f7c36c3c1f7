// What becomes of a statement: the answer of its backend server, another attempt, or the word that it did not run.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

static bool didNotRun(AnswerCode code)
{
    switch (code) {
    case AnswerCode::Busy:
    case AnswerCode::Aborted:
    case AnswerCode::Lagging:
    case AnswerCode::NotPrimary:
    case AnswerCode::WrongBackend:
    case AnswerCode::ConnectionLimit:
    case AnswerCode::UnknownStatement:
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
    BackendPool &pool = *poolOf(at->second);
    pool.opened(now, id);
    if (drainSince_ && sessions_.empty()) {
        closeConnection(now, pool, id, ConnectionLoss::Broken);
        return;
    }
    const ServiceId service = pool.record().service;
    dispatch(now, service);
}

void ProxyCore::onConnectionLost(Instant now, ConnectionId id, ConnectionLoss loss)
{
    const auto at = connections_.find(id);
    if (at == connections_.end()) {
        return;
    }
    BackendPool &pool = *poolOf(at->second);
    const BackendConnection connection = *pool.find(id);
    connections_.erase(at);
    pool.lost(now, id, loss);
    if (loss != ConnectionLoss::Broken) {
        metrics_.add("connections_not_opened_total");
        log_.log(now, "connection.not-opened",
            { { "backend", std::string_view(pool.record().id.value) }, { "loss", static_cast<std::uint64_t>(loss) },
                { "topology_index", topology_.index } });
    } else if (connection.use == BackendConnection::Use::Busy || connection.use == BackendConnection::Use::Held) {
        metrics_.add("connections_broken_total");
        log_.log(now, "connection.broken",
            { { "backend", std::string_view(pool.record().id.value) }, { "session", connection.session },
                { "busy_ms", now - connection.since } });
    }
    Session *session = find(connection.session);
    if (session == nullptr) {
        return;
    }
    if (session->operation && session->operation->connection == id) {
        loseAnswer(now, *session, "connection-broken");
    } else if (session->transaction && session->transaction->connection == id) {
        session->transaction->connection = 0;
        session->transaction->failed = true;
    }
}

void ProxyCore::onExchange(Instant now, ConnectionId id, std::vector<BackendAnswer> answers)
{
    const auto at = connections_.find(id);
    if (at == connections_.end()) {
        return;
    }
    BackendPool &pool = *poolOf(at->second);
    BackendConnection &connection = *pool.find(id);
    if (answers.size() != connection.sent.size()) {
        actions_.emplace_back(CloseBackendConnection { id });
        onConnectionLost(now, id, ConnectionLoss::Broken);
        return;
    }
    const bool statement = connection.purpose == BackendConnection::Purpose::Statement;
    pool.answered(now, connection.since,
        statement && !connection.beginning && answers[connection.payload].code == AnswerCode::Ok);
    const TransactionState state = answers.back().state;
    if (answers.back().position) {
        pool.noteApplied(*answers.back().position);
    }
    if (statement) {
        onPayload(now, pool, connection, answers);
        return;
    }
    if (connection.purpose == BackendConnection::Purpose::Sample && answers.front().code == AnswerCode::Ok) {
        learnPosition(pool, connection, answers.front());
    }
    if (state != TransactionState::Idle) {
        closeConnection(now, pool, id, ConnectionLoss::Broken);
        return;
    }
    release(now, pool, connection);
}

void ProxyCore::learnPosition(const BackendPool &pool, const BackendConnection &connection, const BackendAnswer &answer)
{
    if (answer.position && connection.generation != 0) {
        Service &service = serviceOf(pool.record().service);
        service.freshness.record(connection.since, connection.generation, *answer.position);
        answerPositions(pool.record().service, service, connection.since, *answer.position);
    }
}

void ProxyCore::onPayload(
    Instant now, BackendPool &pool, BackendConnection &connection, std::vector<BackendAnswer> &answers)
{
    const ConnectionId id = connection.id;
    const TransactionState state = answers.back().state;
    Session *session = find(connection.session);
    BackendAnswer &answer = answers[connection.payload];
    const bool current = session != nullptr && session->operation && session->operation->connection == id;
    if (connection.beginning && answer.code == AnswerCode::Ok) {
        if (connection.guarded) {
            learnPosition(pool, connection, answer);
        }
        if (current) {
            sendBehindBegin(now, *session, connection);
        } else {
            cleanUp(now, connection);
        }
        return;
    }
    if (answer.code == AnswerCode::Ok && answer.proof.empty()) {
        // The answer of another statement in its place: one was lost on the way.
        metrics_.add("answers_misplaced_total");
        actions_.emplace_back(CloseBackendConnection { id });
        onConnectionLost(now, id, ConnectionLoss::Broken);
        return;
    }
    if (answer.code == AnswerCode::UnknownStatement) {
        connection.prepared.clear();
    }
    if (answer.code == AnswerCode::Ok && connection.guarded) {
        learnPosition(pool, connection, answer);
    }
    if (!current) {
        if (state == TransactionState::Idle) {
            release(now, pool, connection);
        } else {
            cleanUp(now, connection);
        }
        return;
    }
    const bool keeps = state == TransactionState::Open && answer.code == AnswerCode::Ok && session->transaction
        && session->operation->statement.kind != StatementType::Commit;
    const bool asksAgain = session->operation->role == PendingStatement::Role::Next && answer.code == AnswerCode::Busy
        && state == TransactionState::Open && now + timing_.busyBackoff < session->operation->deadline;
    if (keeps || asksAgain) {
        connection.use = BackendConnection::Use::Held;
        connection.since = now;
    }
    if (asksAgain) {
        session->operation->connection = 0;
        session->operation->retryAt = now + timing_.busyBackoff;
        return;
    }
    if (answer.code == AnswerCode::Ok) {
        succeed(now, *session, pool, connection, answer);
    } else if (didNotRun(answer.code) && session->operation->role != PendingStatement::Role::Next) {
        tryAgain(now, *session, pool, answer.code);
    } else {
        if (answer.code == AnswerCode::Failed) {
            pool.failed(now);
        }
        fail(now, *session, answer);
    }
    if (keeps) {
        return;
    }
    if (state == TransactionState::Idle) {
        release(now, pool, connection);
    } else {
        cleanUp(now, connection);
    }
}

void ProxyCore::succeed(
    Instant now, Session &session, BackendPool &pool, BackendConnection &connection, BackendAnswer &answer)
{
    PendingStatement &operation = *session.operation;
    const Service &service = serviceOf(operation.route->service);
    keepOutcome(
        session, answer.position, connection.generation != 0 ? connection.generation : service.primary.generation);
    if (session.transaction) {
        session.transaction->connection = connection.id;
    }
    session.generation = connection.generation;
    metrics_.add(pool.record().id == service.primary.backend ? "answers_total{role=\"primary\"}"
                                                             : "answers_total{role=\"replica\"}");
    CallerAnswer reply;
    reply.proof = std::move(answer.proof);
    reply.rows = std::move(answer.rows);
    reply.position = answer.position;
    finish(now, session, std::move(reply));
}

void ProxyCore::keepOutcome(Session &session, const std::optional<LogPoint> &position, std::uint64_t generation)
{
    const PendingStatement &operation = *session.operation;
    const bool commits = operation.statement.kind == StatementType::Commit;
    const bool wrote = commits ? session.transaction->wrote : (operation.writes && !session.transaction);
    if (wrote && position) {
        session.floor = WriteFloor { *position, generation };
    }
    if (commits) {
        session.transaction.reset();
    } else if (session.transaction) {
        session.transaction->wrote = session.transaction->wrote || operation.writes;
    }
}

void ProxyCore::tryAgain(Instant now, Session &session, BackendPool &pool, AnswerCode code)
{
    PendingStatement &operation = *session.operation;
    operation.connection = 0;
    operation.lastRefusal = code == AnswerCode::UnknownStatement ? AnswerCode::Busy : code;
    metrics_.add(std::string("retries_total{code=\"") + std::string(answerCodeName(code)) + "\"}");
    if (code != AnswerCode::Aborted && code != AnswerCode::UnknownStatement) {
        // It did not run and costs little; only the time that is left counts.
        ++operation.refusals;
    }
    if (code == AnswerCode::Lagging) {
        pool.noteLag(now);
    } else if (code == AnswerCode::Busy) {
        pool.noteFull(now);
    }
    if (session.guest && !operation.needsPrimary) {
        // The entry that sent it knows other servers.
        refuse(now, session, operation.lastRefusal, "try-elsewhere", Duration::zero());
        return;
    }
    if (operation.tries() >= timing_.mostAttempts || now + timing_.busyBackoff >= operation.deadline) {
        refuse(now, session, operation.lastRefusal, "attempts-used", timing_.longestBackoff / 4);
        return;
    }
    if (code == AnswerCode::Lagging || code == AnswerCode::Busy || code == AnswerCode::Aborted) {
        operation.tried.insert(pool.record().id);
    }
    if (operation.needsPrimary) {
        operation.tried.clear();
        operation.retryAt = now + timing_.busyBackoff * (1U << std::min(operation.refusals, 2U));
    }
    wait(session);
}

void ProxyCore::fail(Instant now, Session &session, BackendAnswer &answer)
{
    CallerAnswer reply;
    reply.code = answer.code;
    reply.detail = std::move(answer.detail);
    if (session.transaction) {
        endRemotely(session);
        session.transaction->connection = 0;
        session.transaction->failed = true;
        if (session.operation->statement.kind == StatementType::Commit) {
            session.transaction.reset();
        }
    }
    finish(now, session, std::move(reply));
}

void ProxyCore::loseAnswer(Instant now, Session &session, std::string_view reason)
{
    PendingStatement &operation = *session.operation;
    operation.connection = 0;
    endRemotely(session);
    const bool commits = operation.statement.kind == StatementType::Commit;
    const bool single = operation.role == PendingStatement::Role::Single;
    const bool unknown = (single && operation.writes) || (commits && session.transaction && session.transaction->wrote);
    const bool again = !unknown && operation.role != PendingStatement::Role::Next && now < operation.deadline;
    log_.log(now, "request.answer-lost",
        { { "request", std::string_view(operation.statement.id) }, { "reason", reason },
            { "backend", std::string_view(operation.backend.value) }, { "in_doubt", unknown }, { "again", again },
            { "after_ms", now - operation.sentAt } });
    // What a connection had begun is rolled back with it, so only what may have been committed is in doubt.
    if (again && operation.tries() < timing_.mostAttempts) {
        operation.retryAt = now;
        wait(session);
        return;
    }
    CallerAnswer reply;
    reply.code = unknown ? AnswerCode::InDoubt : AnswerCode::Aborted;
    reply.detail = std::string(reason);
    if (session.transaction) {
        endRemotely(session);
        session.transaction->connection = 0;
        session.transaction->failed = true;
        if (commits) {
            session.transaction.reset();
        }
    }
    finish(now, session, std::move(reply));
}

void ProxyCore::finish(Instant now, Session &session, CallerAnswer answer)
{
    dequeue(session);
    const PendingStatement operation = std::move(*session.operation);
    session.operation.reset();
    active_.erase(session.id);
    session.lastActive = now;
    if (session.transaction) {
        session.transaction->idleSince = now;
        if (answer.code != AnswerCode::Ok && operation.role == PendingStatement::Role::First) {
            session.transaction->failed = true;
        }
    }
    answer.state = session.state();
    logOutcome(now, session, operation, answer);
    if (session.guest) {
        answerGuest(session, std::move(answer));
        return;
    }
    actions_.emplace_back(SendAnswer { session.id, std::move(answer) });
    closeWhenIdle(session);
}

void ProxyCore::logOutcome(
    Instant now, const Session &session, const PendingStatement &operation, const CallerAnswer &answer)
{
    const Duration took = now - operation.arrivedAt;
    const std::string labels = "outcome=\"" + std::string(answerCodeName(answer.code)) + "\",priority=\""
        + std::to_string(operation.route->priority) + "\"";
    metrics_.observe("statement_seconds", labels, took);
    const bool late = took > operation.route->target;
    const std::string_view event
        = answer.code != AnswerCode::Ok ? "request.failed" : (late ? "request.late" : "request.done");
    constexpr std::uint64_t SampleEvery = 256;
    if (event == "request.done" && metrics_.value("answers_total{role=\"primary\"}") % SampleEvery != 0) {
        return;
    }
    log_.log(now, event,
        { { "request", std::string_view(operation.statement.id) }, { "outcome", answerCodeName(answer.code) },
            { "detail", std::string_view(answer.detail) }, { "session", session.id },
            { "database", std::string_view(session.database) },
            { "backend", std::string_view(operation.backend.value) }, { "took_ms", took },
            { "queued_ms", operation.offered ? operation.sentAt - operation.arrivedAt : took },
            { "attempts", std::uint64_t { operation.attempts } }, { "config_version", configuration_.version },
            { "topology_index", topology_.index } });
}

} // namespace daisyrelay
