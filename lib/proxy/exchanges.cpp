// Builds what goes over one connection: the session's state, the guard, the caller's statement.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

static Statement own(StatementType kind)
{
    Statement statement;
    statement.kind = kind;
    return statement;
}

const std::string &ProxyCore::preparedName(const PreparedStatement &statement)
{
    constexpr std::size_t MostNames = 4096;
    if (names_.size() >= MostNames) {
        // Connections keep their own list of names, and a number is never given out twice.
        names_.clear();
    }
    std::string &name = names_[statement];
    if (name.empty()) {
        name = "p" + std::to_string(nextName_++);
    }
    return name;
}

// Brings the connection to the values and prepared statements that the session was told it has.
void ProxyCore::appendSessionState(const Session &session, const PendingStatement &operation,
    BackendConnection &connection, std::vector<Statement> &out)
{
    const bool hasForeignValue = std::any_of(connection.values.begin(), connection.values.end(),
        [&session](const auto &value) { return !session.values.contains(value.first); });
    if (hasForeignValue || connection.prepared.size() >= timing_.mostPrepared) {
        out.push_back(own(StatementType::Reset));
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto &[name, value] : session.values) {
        const auto known = connection.values.find(name);
        if (known != connection.values.end() && known->second == value) {
            continue;
        }
        Statement set = own(StatementType::Set);
        set.name = name;
        set.argument = value;
        out.push_back(std::move(set));
        connection.values[name] = value;
    }
    if (operation.statement.kind != StatementType::Execute) {
        return;
    }
    const PreparedStatement &prepared = session.prepared.at(operation.statement.name);
    const std::string &name = preparedName(prepared);
    if (connection.prepared.insert(name).second) {
        Statement prepare = own(StatementType::Prepare);
        prepare.name = name;
        prepare.argument = prepared.shape;
        prepare.preparesWrite = prepared.writes;
        out.push_back(std::move(prepare));
    }
}

// A BEGIN that is refused leaves the connection outside a transaction, where a statement behind it would run. So the
// statement is sent only when the BEGIN has succeeded.
void ProxyCore::send(
    Instant now, Session &session, BackendPool &pool, BackendConnection &connection, std::optional<LogPoint> since)
{
    PendingStatement &operation = *session.operation;
    dequeue(session);
    const Service &service = serviceOf(operation.route->service);
    const bool single = operation.role == PendingStatement::Role::Single;
    const bool guardedRead = single && !operation.writes && !since;
    RunExchange exchange { connection.id, {} };
    appendSessionState(session, operation, connection, exchange.statements);
    connection.beginning = operation.role == PendingStatement::Role::First || guardedRead;
    connection.payload = exchange.statements.size();
    if (connection.beginning) {
        // A read-only BEGIN is no proof of leadership, so it serves only together with a position.
        Statement opening = own(since ? StatementType::BeginReadOnly : StatementType::Begin);
        opening.since = since;
        exchange.statements.push_back(std::move(opening));
        connection.guarded = !since;
    } else {
        Statement payload = payloadOf(session);
        payload.since = since;
        exchange.statements.push_back(std::move(payload));
        connection.guarded = operation.writes || (session.transaction && !session.transaction->readOnly);
    }
    connection.purpose = BackendConnection::Purpose::Statement;
    connection.session = session.id;
    connection.deadline = std::max(operation.deadline, now + timing_.suspicion);
    connection.generation = pool.record().id == service.primary.backend ? service.primary.generation : 0;
    operation.connection = connection.id;
    operation.backend = pool.record().id;
    operation.sentAt = now;
    operation.offered = true;
    ++operation.attempts;
    if (operation.role != PendingStatement::Role::Next) {
        pool.noteStarted(now);
    }
    start(now, connection, std::move(exchange));
}

// The second half of what begins: the statement itself, and for a single read the end of its transaction.
void ProxyCore::sendBehindBegin(Instant now, Session &session, BackendConnection &connection)
{
    RunExchange exchange { connection.id, { payloadOf(session) } };
    if (session.operation->role == PendingStatement::Role::Single) {
        exchange.statements.push_back(own(StatementType::Rollback));
    }
    connection.beginning = false;
    connection.payload = 0;
    start(now, connection, std::move(exchange));
}

Statement ProxyCore::payloadOf(const Session &session)
{
    Statement payload = session.operation->statement;
    if (payload.kind == StatementType::Execute) {
        payload.name = preparedName(session.prepared.at(payload.name));
    }
    return payload;
}

void ProxyCore::start(Instant now, BackendConnection &connection, RunExchange exchange)
{
    connection.use = BackendConnection::Use::Busy;
    connection.since = now;
    connection.sent.clear();
    for (const Statement &statement : exchange.statements) {
        connection.sent.push_back(statement.kind);
    }
    actions_.emplace_back(std::move(exchange));
}

void ProxyCore::sample(Instant now, Service &service)
{
    BackendPool *pool = poolOf(service.primary.backend);
    BackendConnection *connection = pool == nullptr ? nullptr : pool->pickIdle({});
    if (connection == nullptr) {
        return;
    }
    service.sampledAt = now;
    connection->purpose = BackendConnection::Purpose::Sample;
    connection->deadline = now + timing_.connectTimeout;
    connection->session = 0;
    connection->generation = service.primary.generation;
    connection->guarded = true;
    connection->beginning = false;
    connection->payload = 0;
    metrics_.add("positions_asked_total");
    start(now, *connection, { connection->id, { own(StatementType::Begin), own(StatementType::Rollback) } });
}

void ProxyCore::cleanUp(Instant now, BackendConnection &connection)
{
    connection.purpose = BackendConnection::Purpose::Cleanup;
    connection.session = 0;
    connection.deadline = now + timing_.connectTimeout;
    connection.guarded = false;
    connection.beginning = false;
    start(now, connection, { connection.id, { own(StatementType::Rollback) } });
}

void ProxyCore::release(Instant now, BackendPool &pool, BackendConnection &connection)
{
    connection.use = BackendConnection::Use::Idle;
    connection.session = 0;
    connection.since = now;
    const ServiceId service = pool.record().service;
    closeSurplus(now, pool);
    dispatch(now, service);
}

void ProxyCore::closeSurplus(Instant now, BackendPool &pool)
{
    for (const ConnectionId surplus : pool.surplus()) {
        closeConnection(now, pool, surplus, ConnectionLoss::Broken);
    }
}

void ProxyCore::closeConnection(Instant now, BackendPool &pool, ConnectionId connection, ConnectionLoss loss)
{
    actions_.emplace_back(CloseBackendConnection { connection });
    connections_.erase(connection);
    pool.lost(now, connection, loss);
}

} // namespace daisyrelay
