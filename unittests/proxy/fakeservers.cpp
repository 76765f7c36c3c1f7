// The backend servers of the fake service: statements, commits, replication and promotion.
#include "fakeservice.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static constexpr Duration NetworkDelay = 1ms;
static constexpr Duration WorkTime = 5ms;

void FakeService::runExchange(const RunExchange &exchange)
{
    const auto found = connections.find(exchange.connection);
    if (found == connections.end() || servers[found->second.server].isSilent) {
        return;
    }
    Server &server = servers[found->second.server];
    if (std::any_of(exchange.statements.begin(), exchange.statements.end(),
            [this](const Statement &statement) { return stuckStatements.contains(statement.id); })) {
        return;
    }
    std::vector<BackendResponse> responses;
    bool ranCallerStatement = false;
    for (const Statement &statement : exchange.statements) {
        ranCallerStatement = ranCallerStatement || !statement.id.empty();
        responses.push_back(runStatement(found->second, statement));
    }
    if (ranCallerStatement && server.dropsResponses) {
        const ConnectionId id = exchange.connection;
        connections.erase(found);
        schedule(WorkTime, [this, id]() { core.onConnectionLost(now, id, ConnectionLoss::Broken); });
        return;
    }
    schedule(ranCallerStatement ? WorkTime : NetworkDelay, [this, id = exchange.connection, responses]() {
        if (connections.contains(id)) {
            core.onExchange(now, id, responses);
        }
    });
}

void FakeService::checkSessionIsolation(const Connection &connection, const Statement &statement)
{
    const SessionId session = sessionOfStatement[statement.id];
    const Caller &caller = callers[session];
    if (connection.values != caller.values) {
        violation = statement.id + " ran with the values of another session";
    }
    const auto holder = std::find_if(workspaces.begin(), workspaces.end(), [&caller](const Workspace &workspace) {
        return std::find(workspace.keys.begin(), workspace.keys.end(), caller.key) != workspace.keys.end();
    });
    if (holder != workspaces.end() && connection.workspace != holder->name) {
        violation = statement.id + " ran on a connection of workspace " + connection.workspace.value;
    }
    if (connection.inTransaction && !connection.owner.empty() && connection.owner != caller.name) {
        violation = statement.id + " ran in a transaction of " + connection.owner;
    }
}

BackendResponse FakeService::runStatement(Connection &connection, const Statement &statement)
{
    Server &server = servers[connection.server];
    BackendResponse response;
    const bool isPrimary = connection.server == primary;
    response.state = connection.inTransaction ? TransactionState::Open : TransactionState::Idle;
    response.position = server.applied;
    const bool isReadWriteTransaction = connection.inTransaction && !connection.isReadOnly;
    const bool isCallerStatement = statement.type == StatementType::Read || statement.type == StatementType::Write
        || statement.type == StatementType::Execute || statement.type == StatementType::Commit;
    if (statement.minPoint && server.applied < *statement.minPoint) {
        ++server.lagRejections;
        reject(connection, response, ResponseCode::Lagging);
        return response;
    }
    if (isCallerStatement && server.isBusy) {
        reject(connection, response, ResponseCode::Busy);
        return response;
    }
    if (isCallerStatement && isReadWriteTransaction && !isPrimary
        && !(statement.type == StatementType::Commit && connection.pending.empty())) {
        reject(connection, response, ResponseCode::NotPrimary);
        return response;
    }
    if (isCallerStatement) {
        ++server.statementsRun;
        checkSessionIsolation(connection, statement);
        connection.owner = connection.inTransaction ? callers[sessionOfStatement[statement.id]].name : "";
        response.signature = connection.server + "." + statement.id;
    }
    applyStatement(connection, statement, response);
    return response;
}

void FakeService::reject(const Connection &connection, BackendResponse &response, ResponseCode code)
{
    response.code = code;
    response.signature.clear();
    response.state = connection.inTransaction ? TransactionState::Failed : response.state;
}

void FakeService::applyStatement(Connection &connection, const Statement &statement, BackendResponse &response)
{
    const Server &server = servers[connection.server];
    const bool isPrimary = connection.server == primary;
    switch (statement.type) {
    case StatementType::Begin:
        if (!isPrimary) {
            reject(connection, response, ResponseCode::NotPrimary);
            return;
        }
        [[fallthrough]];
    case StatementType::BeginReadOnly:
        connection.inTransaction = true;
        connection.isReadOnly = statement.type == StatementType::BeginReadOnly;
        connection.owner.clear();
        response.state = TransactionState::Open;
        break;
    case StatementType::Commit:
        commit(connection, statement.id);
        connection.inTransaction = false;
        response.state = TransactionState::Idle;
        response.position = server.applied;
        break;
    case StatementType::Rollback:
        connection.pending.clear();
        connection.inTransaction = false;
        response.state = TransactionState::Idle;
        break;
    case StatementType::Set:
        connection.values[statement.name] = statement.argument;
        break;
    case StatementType::Reset:
        connection.values.clear();
        connection.prepared.clear();
        break;
    case StatementType::Deallocate:
        connection.prepared.erase(statement.name);
        break;
    case StatementType::Prepare:
        if (rejectedPreparations > 0) {
            --rejectedPreparations;
            reject(connection, response, ResponseCode::Busy);
            return;
        }
        connection.prepared[statement.name] = (statement.preparesWrite ? "PUT " : "FETCH ") + statement.argument;
        break;
    case StatementType::Read:
        response = runRead(connection, statement, statement.text);
        break;
    case StatementType::Write:
        if (!isPrimary) {
            reject(connection, response, ResponseCode::NotPrimary);
            return;
        }
        connection.pending.push_back({ statement.id, statement.text, statement.id, 0, 0 });
        if (!connection.inTransaction) {
            commit(connection, statement.id);
            response.position = server.applied;
        }
        break;
    case StatementType::Execute:
        if (!connection.prepared.contains(statement.name)) {
            reject(connection, response, ResponseCode::UnknownStatement);
            return;
        }
        response.rows.push_back(connection.prepared[statement.name]);
        break;
    case StatementType::Status:
        response.received = server.received.value_or(server.applied);
        break;
    default:
        break;
    }
}

BackendResponse FakeService::runRead(Connection &connection, const Statement &statement, const std::string &item)
{
    const Server &server = servers[connection.server];
    BackendResponse response;
    response.state = connection.inTransaction ? TransactionState::Open : TransactionState::Idle;
    response.position = server.applied;
    response.signature = connection.server + "." + statement.id;
    std::uint64_t newest = 0;
    for (const Write &write : committed) {
        newest = write.item == item && write.number <= server.applied.position ? write.number : newest;
    }
    response.rows.push_back(std::to_string(newest));
    return response;
}

void FakeService::commit(Connection &connection, const std::string &id)
{
    Server &server = servers[connection.server];
    for (Write &write : connection.pending) {
        write.number = nextWriteNumber_++;
        write.term = term;
        committed.push_back(write);
        if (++commitCounts[write.id] > 1) {
            violation = write.id + " took effect twice, the second time for " + id;
        }
        server.applied = { term, write.number };
        commitHistory_.emplace_back(now, write.number);
    }
    connection.pending.clear();
}

std::uint64_t FakeService::commitElsewhere(const std::string &item)
{
    const std::string id = "elsewhere" + std::to_string(nextWriteNumber_);
    Connection connection;
    connection.server = primary;
    connection.pending.push_back({ id, item, id, 0, 0 });
    commit(connection, id);
    return committed.back().number;
}

void FakeService::replicate()
{
    for (auto &[name, server] : servers) {
        if (name == primary) {
            continue;
        }
        for (const Write &write : committed) {
            const auto at = std::find_if(commitHistory_.begin(), commitHistory_.end(),
                [&](const auto &entry) { return entry.second == write.number; });
            if (write.number > server.applied.position && at != commitHistory_.end()
                && at->first + replicationLag <= now) {
                server.applied = { write.term, write.number };
            }
        }
    }
}

void FakeService::promote(const std::string &server)
{
    if (server == primary) {
        return;
    }
    primary = server;
    ++term;
    const std::uint64_t kept = servers[server].applied.position;
    std::erase_if(committed, [kept](const Write &write) { return write.number > kept; });
    for (auto &[name, other] : servers) {
        other.applied = std::min(other.applied, servers[server].applied);
    }
}

} // namespace daisyrelay
