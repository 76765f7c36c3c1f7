// Handles statements of callers: responds to some directly and runs the others at backend servers.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

void ProxyCore::onStatement(Instant now, SessionId id, Statement statement)
{
    Session *session = findSession(id);
    if (session == nullptr || session->pending) {
        return;
    }
    session->lastActiveAt = now;
    if (session->transaction) {
        session->transaction->idleSince = now;
    }
    const bool endsTransaction = statement.type == StatementType::Commit || statement.type == StatementType::Rollback;
    if (session->state() == TransactionState::Failed && !endsTransaction) {
        respondLocally(*session, ResponseCode::BadMessage, "the transaction has failed");
        return;
    }
    const bool reachesServer = statement.type == StatementType::Begin || statement.type == StatementType::BeginReadOnly
        || statement.type == StatementType::Read || statement.type == StatementType::Write
        || statement.type == StatementType::Execute || statement.type == StatementType::Commit;
    if (reachesServer && session->state() != TransactionState::Failed && !admitStatement(now, *session, statement)) {
        return;
    }
    switch (statement.type) {
    case StatementType::Set:
    case StatementType::Prepare:
    case StatementType::Deallocate:
        updateSessionNames(*session, statement);
        break;
    case StatementType::Reset:
    case StatementType::Status:
    case StatementType::Pause:
    case StatementType::Resume:
    case StatementType::StepDown:
        respondLocally(*session, ResponseCode::BadMessage, "not for callers");
        break;
    case StatementType::Begin:
    case StatementType::BeginReadOnly:
        beginTransaction(now, *session, statement);
        break;
    case StatementType::Rollback:
        rollBackTransaction(now, *session);
        respondLocally(*session);
        closeWhenIdle(*session);
        break;
    case StatementType::Commit:
        if (session->state() == TransactionState::Failed) {
            rollBackTransaction(now, *session);
            respondLocally(*session, ResponseCode::Aborted, "the transaction had failed");
            closeWhenIdle(*session);
            break;
        }
        if (!session->transaction) {
            respondLocally(*session, ResponseCode::BadMessage, "no transaction");
            break;
        }
        runStatement(now, *session, std::move(statement));
        break;
    case StatementType::Read:
    case StatementType::Write:
    case StatementType::Execute:
        runStatement(now, *session, std::move(statement));
        break;
    }
}

void ProxyCore::respondLocally(Session &session, ResponseCode code, std::string detail)
{
    CallerResponse response;
    response.code = code;
    response.detail = std::move(detail);
    response.state = session.state();
    actions_.emplace_back(SendResponse { session.id, std::move(response) });
}

void ProxyCore::closeWhenIdle(Session &session)
{
    // Called right after a response, when no further request can be in flight.
    if (shouldCloseIdleSessions(session.lastActiveAt) && !session.transaction && !session.pending) {
        actions_.emplace_back(CloseSession { session.id });
    }
}

void ProxyCore::updateSessionNames(Session &session, const Statement &statement)
{
    switch (statement.type) {
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
    if (session.values.size() + session.prepared.size() > timing_.maxSessionNames) {
        metrics_.add("sessions_too_many_names_total");
        respondLocally(session, ResponseCode::BadMessage, "too many names");
        actions_.emplace_back(CloseSession { session.id });
        return;
    }
    respondLocally(session);
}

void ProxyCore::beginTransaction(Instant now, Session &session, const Statement &statement)
{
    if (session.transaction) {
        respondLocally(session, ResponseCode::BadMessage, "a transaction is open");
        return;
    }
    std::shared_ptr<const DatabaseRoute> route = findRoute(session.database);
    if (!route) {
        respondLocally(session, ResponseCode::UnknownDatabase, session.database);
        return;
    }
    if (!canFinishBeforeDrainEnds(now, route->timeout)) {
        metrics_.add("refused_total{reason=\"draining\"}");
        respondLocally(session, ResponseCode::Busy, "draining");
        closeWhenIdle(session);
        return;
    }
    CallerTransaction transaction;
    transaction.isReadOnly = statement.type == StatementType::BeginReadOnly;
    transaction.beganAt = now;
    transaction.idleSince = now;
    transaction.route = std::move(route);
    session.transaction = std::move(transaction);
    respondLocally(session);
}

void ProxyCore::rollBackTransaction(Instant now, Session &session)
{
    if (!session.transaction) {
        return;
    }
    endForwarded(session);
    const ConnectionId id = session.transaction->connection;
    session.transaction.reset();
    if (const auto at = connections_.find(id); id != 0 && at != connections_.end()) {
        BackendPool &pool = *findPool(at->second);
        BackendConnection &connection = *pool.find(id);
        connection.session = 0;
        rollBackConnection(now, connection);
    }
}

void ProxyCore::failTransaction(Instant now, Session &session)
{
    CallerTransaction failed = *session.transaction;
    rollBackTransaction(now, session);
    failed.connection = 0;
    failed.home = {};
    failed.hasFailed = true;
    session.transaction = failed;
}

bool ProxyCore::isWrite(const Session &session, const Statement &statement) const
{
    if (statement.type == StatementType::Execute) {
        const auto prepared = session.prepared.find(statement.name);
        return prepared != session.prepared.end() && prepared->second.isWrite;
    }
    return statement.type == StatementType::Write;
}

void ProxyCore::runStatement(Instant now, Session &session, Statement statement)
{
    if (statement.type == StatementType::Execute && !session.prepared.contains(statement.name)) {
        if (session.transaction) {
            session.transaction->hasFailed = true;
        }
        respondLocally(session, ResponseCode::UnknownStatement, statement.name);
        return;
    }
    PendingStatement pending;
    pending.arrivedAt = now;
    pending.freshnessReference = now;
    pending.isWrite = isWrite(session, statement);
    if (session.transaction) {
        const CallerTransaction &transaction = *session.transaction;
        pending.role = transaction.connection == 0 && transaction.home.empty() ? PendingStatement::Role::First
                                                                               : PendingStatement::Role::Next;
        pending.route = transaction.route;
        pending.freshnessReference = transaction.beganAt;
        pending.needsPrimary = !transaction.isReadOnly || pending.route->guarantee == ReadGuarantee::Primary;
    } else {
        pending.route = findRoute(session.database);
        if (!pending.route) {
            respondLocally(session, ResponseCode::UnknownDatabase, session.database);
            return;
        }
        pending.needsPrimary = pending.isWrite || pending.route->guarantee == ReadGuarantee::Primary;
    }
    pending.deadline = now + pending.route->timeout;
    pending.queueDeadline = now
        + std::chrono::duration_cast<Duration>(std::min<std::chrono::duration<double, std::milli>>(
            pending.route->latencyTarget * timing_.maxQueueTimeInTargets,
            pending.route->timeout * timing_.maxQueueTimeInTimeouts));
    limitToDrain(pending);
    pending.statement = std::move(statement);
    session.pending = std::move(pending);
    activeSessions_.insert(session.id);
    if (!rejectIfDraining(now, session) && admitWithinLimit(now, session)) {
        submit(now, session);
    }
}

} // namespace daisyrelay
