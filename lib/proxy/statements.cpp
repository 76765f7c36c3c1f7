// The statements of callers: what the proxy answers by itself, and what it passes on.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

void ProxyCore::onStatement(Instant now, SessionId id, Statement statement)
{
    Session *session = find(id);
    if (session == nullptr || session->operation) {
        return;
    }
    session->lastActive = now;
    if (session->transaction) {
        session->transaction->idleSince = now;
    }
    const bool ends = statement.kind == StatementType::Commit || statement.kind == StatementType::Rollback;
    if (session->state() == TransactionState::Failed && !ends) {
        answerLocally(*session, AnswerCode::BadMessage, "the transaction has failed");
        return;
    }
    switch (statement.kind) {
    case StatementType::Set:
    case StatementType::Prepare:
    case StatementType::Deallocate:
        keepName(*session, statement);
        break;
    case StatementType::Reset:
    case StatementType::Status:
    case StatementType::Pause:
    case StatementType::Resume:
        answerLocally(*session, AnswerCode::BadMessage, "not for callers");
        break;
    case StatementType::Begin:
    case StatementType::BeginReadOnly:
        begin(now, *session, statement);
        break;
    case StatementType::Rollback:
        rollBack(now, *session);
        answerLocally(*session);
        closeWhenIdle(*session);
        break;
    case StatementType::Commit:
        if (session->state() == TransactionState::Failed) {
            rollBack(now, *session);
            answerLocally(*session, AnswerCode::Aborted, "the transaction had failed");
            closeWhenIdle(*session);
            break;
        }
        if (!session->transaction) {
            answerLocally(*session, AnswerCode::BadMessage, "no transaction");
            break;
        }
        run(now, *session, std::move(statement));
        break;
    case StatementType::Read:
    case StatementType::Write:
    case StatementType::Execute:
        run(now, *session, std::move(statement));
        break;
    }
}

void ProxyCore::answerLocally(Session &session, AnswerCode code, std::string detail)
{
    CallerAnswer answer;
    answer.code = code;
    answer.detail = std::move(detail);
    answer.state = session.state();
    actions_.emplace_back(SendAnswer { session.id, std::move(answer) });
}

void ProxyCore::closeWhenIdle(Session &session)
{
    // Right after an answer no request can be on its way.
    if (sendsCallersAway(session.lastActive) && !session.transaction && !session.operation) {
        actions_.emplace_back(CloseSession { session.id });
    }
}

void ProxyCore::keepName(Session &session, const Statement &statement)
{
    switch (statement.kind) {
    case StatementType::Set:
        session.values[statement.name] = statement.argument;
        break;
    case StatementType::Prepare:
        session.prepared[statement.name] = { statement.preparesWrite, statement.argument };
        break;
    case StatementType::Deallocate:
        session.prepared.erase(statement.name);
        break;
    default:
        session.values.clear();
        session.prepared.clear();
        break;
    }
    if (session.values.size() + session.prepared.size() > timing_.mostSessionNames) {
        metrics_.add("sessions_too_many_names_total");
        actions_.emplace_back(CloseSession { session.id });
        return;
    }
    answerLocally(session);
}

void ProxyCore::begin(Instant now, Session &session, const Statement &statement)
{
    if (session.transaction) {
        answerLocally(session, AnswerCode::BadMessage, "a transaction is open");
        return;
    }
    std::shared_ptr<const DatabaseRoute> route = routeOf(session.database);
    if (!route) {
        answerLocally(session, AnswerCode::UnknownDatabase, session.database);
        return;
    }
    CallerTransaction transaction;
    transaction.readOnly = statement.kind == StatementType::BeginReadOnly;
    transaction.beganAt = now;
    transaction.idleSince = now;
    transaction.route = std::move(route);
    session.transaction = std::move(transaction);
    answerLocally(session);
}

void ProxyCore::rollBack(Instant now, Session &session)
{
    if (!session.transaction) {
        return;
    }
    endRemotely(session);
    const ConnectionId id = session.transaction->connection;
    session.transaction.reset();
    if (const auto at = connections_.find(id); id != 0 && at != connections_.end()) {
        BackendPool &pool = *poolOf(at->second);
        BackendConnection &connection = *pool.find(id);
        connection.session = 0;
        cleanUp(now, connection);
    }
}

bool ProxyCore::writes(const Session &session, const Statement &statement) const
{
    if (statement.kind == StatementType::Execute) {
        const auto prepared = session.prepared.find(statement.name);
        return prepared != session.prepared.end() && prepared->second.writes;
    }
    return statement.kind == StatementType::Write;
}

void ProxyCore::run(Instant now, Session &session, Statement statement)
{
    if (statement.kind == StatementType::Execute && !session.prepared.contains(statement.name)) {
        if (session.transaction) {
            session.transaction->failed = true;
        }
        answerLocally(session, AnswerCode::UnknownStatement, statement.name);
        return;
    }
    PendingStatement operation;
    operation.arrivedAt = now;
    operation.freshAt = now;
    operation.writes = writes(session, statement);
    if (session.transaction) {
        const CallerTransaction &transaction = *session.transaction;
        operation.role = transaction.connection == 0 && transaction.home.empty() ? PendingStatement::Role::First
                                                                                 : PendingStatement::Role::Next;
        operation.route = transaction.route;
        operation.freshAt = transaction.beganAt;
        operation.needsPrimary = !transaction.readOnly || operation.route->guarantee == ReadGuarantee::Primary;
    } else {
        operation.route = routeOf(session.database);
        if (!operation.route) {
            answerLocally(session, AnswerCode::UnknownDatabase, session.database);
            return;
        }
        operation.needsPrimary = operation.writes || operation.route->guarantee == ReadGuarantee::Primary;
    }
    operation.deadline = now + operation.route->timeout;
    operation.holdUntil = now
        + std::chrono::duration_cast<Duration>(std::min<std::chrono::duration<double, std::milli>>(
            operation.route->target * timing_.holdTargets, operation.route->timeout * timing_.longestHold));
    operation.statement = std::move(statement);
    session.operation = std::move(operation);
    active_.insert(session.id);
    enqueue(now, session);
}

} // namespace daisyrelay
