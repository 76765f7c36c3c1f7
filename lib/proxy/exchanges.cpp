// Builds the exchanges sent over a connection: session state, BEGIN, and the caller's statement.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

Statement ProxyCore::makeOwnStatement(StatementType type)
{
    Statement statement;
    statement.type = type;
    return statement;
}

// Appends the statements that set the session's values and prepared statement at the connection.
void ProxyCore::appendSessionState(
    const Session &session, const PendingStatement &pending, BackendConnection &connection, std::vector<Statement> &out)
{
    const bool hasForeignValue = std::any_of(connection.values.begin(), connection.values.end(),
        [&session](const auto &value) { return !session.values.contains(value.first); });
    if (hasForeignValue) {
        out.push_back(makeOwnStatement(StatementType::Reset));
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto &[name, value] : session.values) {
        const auto known = connection.values.find(name);
        if (known != connection.values.end() && known->second == value) {
            continue;
        }
        Statement set = makeOwnStatement(StatementType::Set);
        set.name = name;
        set.argument = value;
        out.push_back(std::move(set));
        connection.values[name] = value;
    }
    if (pending.statement.type == StatementType::Execute) {
        prepareAt(connection, session.prepared.at(pending.statement.name), out);
    }
}

// A former primary also accepts the COMMIT of a transaction that wrote nothing.
static bool isEmptyCommit(const Session &session)
{
    return session.pending->statement.type == StatementType::Commit && session.transaction
        && !session.transaction->hasWritten;
}

// A rejected BEGIN leaves the connection outside a transaction, where a statement sent along with the BEGIN would still
// run. The statement is therefore sent only after the BEGIN has succeeded.
void ProxyCore::sendStatement(
    Instant now, Session &session, BackendPool &pool, BackendConnection &connection, std::optional<LogPoint> minPoint)
{
    PendingStatement &pending = *session.pending;
    Service &service = serviceOf(pending.route->service);
    service.queue.recordStart(now, session.id);
    recordQueueTime(now, session);
    dequeue(session);
    const bool isSingle = pending.role == PendingStatement::Role::Single;
    const bool isGuardedRead = isSingle && !pending.isWrite && !minPoint;
    RunExchange exchange { connection.id, {} };
    appendSessionState(session, pending, connection, exchange.statements);
    connection.isInTransaction = !isSingle;
    connection.commitsWrite
        = isSingle ? pending.isWrite : pending.statement.type == StatementType::Commit && !isEmptyCommit(session);
    connection.awaitsBegin = pending.role == PendingStatement::Role::First || isGuardedRead;
    connection.payloadIndex = exchange.statements.size();
    if (connection.awaitsBegin) {
        // Replicas accept a read-only BEGIN too, so it is used only with a minimum position.
        Statement beginStatement = makeOwnStatement(minPoint ? StatementType::BeginReadOnly : StatementType::Begin);
        beginStatement.minPoint = minPoint;
        exchange.statements.push_back(std::move(beginStatement));
        connection.confirmsPrimary = !minPoint;
    } else {
        Statement payload = makePayload(session, connection);
        payload.minPoint = minPoint;
        exchange.statements.push_back(std::move(payload));
        const bool isInPlainTransaction = session.transaction && !session.transaction->isReadOnly;
        connection.confirmsPrimary = pending.isWrite || (isInPlainTransaction && !isEmptyCommit(session));
    }
    if (pending.role != PendingStatement::Role::Next) {
        connection.needsLease = !minPoint;
    }
    connection.purpose = BackendConnection::Purpose::Statement;
    connection.session = session.id;
    connection.deadline = std::max(pending.deadline, now + timing_.unresponsiveTimeout);
    connection.generation = pool.record().id == service.primary.backend ? service.primary.generation : 0;
    connection.startedAtMs = pool.record().startedAtMs;
    pending.connection = connection.id;
    pending.backend = pool.record().id;
    pending.sentAt = now;
    pending.wasSent = true;
    ++pending.attempts;
    if (minPoint) {
        traceRead(now, session, service, *minPoint);
    }
    if (pending.role != PendingStatement::Role::Next) {
        pool.recordStart(now);
    }
    startExchange(now, connection, std::move(exchange));
}

// Sends the statement after a successful BEGIN, and for a single read the ROLLBACK that ends its transaction.
void ProxyCore::sendAfterBegin(Instant now, Session &session, BackendConnection &connection)
{
    RunExchange exchange { connection.id, { makePayload(session, connection) } };
    if (session.pending->role == PendingStatement::Role::Single) {
        exchange.statements.push_back(makeOwnStatement(StatementType::Rollback));
    }
    connection.awaitsBegin = false;
    connection.payloadIndex = 0;
    connection.confirmsPrimary = connection.confirmsPrimary && !isEmptyCommit(session);
    startExchange(now, connection, std::move(exchange));
}

void ProxyCore::startExchange(Instant now, BackendConnection &connection, RunExchange exchange)
{
    connection.state = BackendConnection::State::Busy;
    connection.stateSince = now;
    connection.sentTypes.clear();
    for (const Statement &statement : exchange.statements) {
        connection.sentTypes.push_back(statement.type);
    }
    actions_.emplace_back(std::move(exchange));
}

// Takes precedence over callers' statements: without a position all reads need the primary.
void ProxyCore::sampleNewPrimary(Instant now, const BackendPool &pool)
{
    Service &service = serviceOf(pool.record().service);
    if (pool.record().id == service.primary.backend
        && service.servingPrimary != std::pair(service.primary.generation, pool.record().startedAtMs)
        && now - service.lastSampledAt >= timing_.sampleInterval / 2) {
        samplePosition(now, service);
    }
}

void ProxyCore::samplePosition(Instant now, Service &service)
{
    BackendPool *pool = findPool(service.primary.backend);
    BackendConnection *connection = pool == nullptr ? nullptr : pool->findIdleForProxy();
    if (connection == nullptr || !canUsePrimary(now, pool->record().service)) {
        return;
    }
    service.lastSampledAt = now;
    connection->needsLease = true;
    connection->isInTransaction = false;
    connection->purpose = BackendConnection::Purpose::Sample;
    connection->deadline = now + timing_.connectTimeout;
    connection->session = 0;
    connection->generation = service.primary.generation;
    connection->startedAtMs = pool->record().startedAtMs;
    connection->confirmsPrimary = true;
    connection->awaitsBegin = false;
    connection->payloadIndex = 0;
    RunExchange exchange { connection->id,
        { makeOwnStatement(StatementType::Begin), makeOwnStatement(StatementType::Rollback) } };
    if (service.servingPrimary != std::pair(connection->generation, connection->startedAtMs)) {
        // After the BEGIN: before it, the server may still receive commits as a replica.
        exchange.statements.push_back(makeOwnStatement(StatementType::Status));
    }
    metrics_.add("positions_asked_total");
    startExchange(now, *connection, std::move(exchange));
}

void ProxyCore::rollBackConnection(Instant now, BackendConnection &connection)
{
    connection.needsLease = false;
    connection.isInTransaction = false;
    connection.purpose = BackendConnection::Purpose::Cleanup;
    connection.session = 0;
    connection.deadline = now + timing_.connectTimeout;
    connection.confirmsPrimary = false;
    connection.awaitsBegin = false;
    startExchange(now, connection, { connection.id, { makeOwnStatement(StatementType::Rollback) } });
}

void ProxyCore::releaseConnection(Instant now, BackendPool &pool, BackendConnection &connection)
{
    connection.state = BackendConnection::State::Idle;
    connection.session = 0;
    connection.stateSince = now;
    const ServiceId service = pool.record().service;
    sampleNewPrimary(now, pool);
    requestReceipts(now, serviceOf(service));
    closeConnectionsAboveQuota(now, pool);
    dispatch(now, service);
}

void ProxyCore::closeConnectionsAboveQuota(Instant now, BackendPool &pool)
{
    for (const ConnectionId connection : pool.connectionsAboveQuota(connectionsKeptForReceipts(pool))) {
        closeConnection(now, pool, connection, ConnectionLoss::Broken);
    }
}

void ProxyCore::closeConnection(Instant now, BackendPool &pool, ConnectionId connection, ConnectionLoss loss)
{
    actions_.emplace_back(CloseBackendConnection { connection });
    connections_.erase(connection);
    pool.onLost(now, connection, loss);
}

} // namespace daisyrelay
