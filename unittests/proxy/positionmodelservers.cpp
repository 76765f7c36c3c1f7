// The backend servers of the simulation: statements, the log and its replication, promotions and crashes.
#include "positionmodel.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static constexpr Duration HopTime = 1ms;
static constexpr double ResponseLoss = 0.05; ///< On a slow link.
static constexpr double BusyChance = 0.01;

bool PositionModel::leads(const Server &server) const
{
    return server.isUp && &server == &servers_.at(primary_);
}

LogPoint PositionModel::position(const Server &server) const
{
    const Term newest = server.applied == 0 ? 1 : log_.at(server.applied - 1).term;
    return { leads(server) && options_.reportsOwnTerm ? term_ : newest, server.applied };
}

// Applies what has reached the server by now.
void PositionModel::advance(Server &server)
{
    if (!server.isUp) {
        return;
    }
    if (leads(server)) {
        server.received = log_.size();
        server.applied = now_ >= server.appliesUntil ? log_.size() : server.applied;
        return;
    }
    while (servers_.at(primary_).isUp && now_ >= server.receivesFrom && server.received < log_.size()
        && log_.at(server.received).at + server.receiveLag <= now_) {
        ++server.received;
    }
    while (
        server.applied < server.received && log_.at(server.applied).at + server.receiveLag + server.applyLag <= now_) {
        ++server.applied;
    }
}

void PositionModel::runExchange(const ConnectionKey &key, const RunExchange &exchange)
{
    const auto found = connections_.find(key);
    if (found == connections_.end()) {
        return;
    }
    Connection &connection = found->second;
    std::vector<BackendResponse> responses;
    for (const Statement &statement : exchange.statements) {
        responses.push_back(runStatement(connection, statement));
    }
    const auto &[index, run, id] = key;
    const bool isSlow = now_ < entries_.at(index).slowUntil.at(connection.server);
    if (isSlow && isChance(ResponseLoss)) {
        return;
    }
    at(now_ + HopTime + (isSlow ? drawMs(800) : drawMs(4)), [this, key, responses]() {
        if (connections_.contains(key)) {
            deliver(std::get<0>(key), std::get<1>(key),
                [this, id = std::get<2>(key), responses](ProxyCore &core) { core.onExchange(now_, id, responses); });
        }
    });
}

std::optional<ResponseCode> PositionModel::rejection(const Connection &connection, const Statement &statement)
{
    const Server &server = servers_.at(connection.server);
    const bool isWrite = statement.type == StatementType::Write;
    const bool isRead = statement.type == StatementType::Read;
    const bool isApplying = leads(server) && now_ < server.appliesUntil
        && (isWrite || (isRead && options_.takeover == Takeover::RejectsStatements));
    if (!statement.id.empty() && (now_ < server.busyUntil || isApplying || isChance(BusyChance))) {
        return ResponseCode::Busy;
    }
    if (statement.minPoint && position(server) < *statement.minPoint) {
        ++tally_.lagRejections;
        return ResponseCode::Lagging;
    }
    const bool isWithoutWrites = statement.type == StatementType::Commit && connection.writes == 0;
    const bool needsLead = statement.type == StatementType::Begin || isWrite;
    if ((hasLostLead(connection) && !isWithoutWrites) || (needsLead && !leads(server))) {
        return ResponseCode::NotPrimary;
    }
    return std::nullopt;
}

bool PositionModel::hasLostLead(const Connection &connection) const
{
    const bool isPlain = connection.isInTransaction && !connection.isReadOnly;
    return isPlain && (connection.term != term_ || !leads(servers_.at(connection.server)));
}

BackendResponse PositionModel::runStatement(Connection &connection, const Statement &statement)
{
    Server &server = servers_.at(connection.server);
    advance(server);
    BackendResponse response;
    const bool endsTransaction = statement.type == StatementType::Commit || statement.type == StatementType::Rollback;
    if (statement.type == StatementType::Rollback || (endsTransaction && connection.hasFailed)) {
        response.code = statement.type == StatementType::Rollback ? ResponseCode::Ok : ResponseCode::Aborted;
        connection = { connection.server };
    } else if (connection.hasFailed) {
        response.code = ResponseCode::BadMessage;
    } else if (const std::optional<ResponseCode> code = rejection(connection, statement); code) {
        response.code = *code;
        connection.hasFailed = connection.isInTransaction;
    } else {
        response.signature = statement.id.empty() ? "" : server.name + "." + statement.id;
        switch (statement.type) {
        case StatementType::Begin:
        case StatementType::BeginReadOnly:
            connection = { connection.server, true, statement.type == StatementType::BeginReadOnly, false, term_, 0 };
            break;
        case StatementType::Read:
            runRead(server, statement);
            break;
        case StatementType::Write:
            ++connection.writes;
            if (!connection.isInTransaction) {
                commit(connection, response);
            }
            break;
        case StatementType::Commit:
            tally_.formerCommits += hasLostLead(connection) ? 1 : 0;
            note(server.name + (hasLostLead(connection) ? " (former primary)" : "") + " commits "
                + std::to_string(connection.writes) + " writes of " + statement.id);
            commit(connection, response);
            break;
        case StatementType::Status:
            response.received = LogPoint { term_, server.received };
            break;
        default:
            break;
        }
    }
    response.state = connection.hasFailed
        ? TransactionState::Failed
        : (connection.isInTransaction ? TransactionState::Open : TransactionState::Idle);
    response.position = position(server);
    return response;
}

void PositionModel::commit(Connection &connection, BackendResponse &response)
{
    Server &server = servers_.at(connection.server);
    if (connection.writes > 0) {
        log_.push_back({ nextId_++, term_, now_, server.name });
        ++tally_.commits;
        advance(server);
    }
    connection = { connection.server };
    response.state = TransactionState::Idle;
}

void PositionModel::runRead(const Server &server, const Statement &statement)
{
    ++tally_.reads;
    if (server.applied == log_.size()) {
        return;
    }
    ++tally_.oldReads;
    const Commit &missing = log_.at(server.applied);
    const Instant firstByteAt = firstBytes_.at(statement.id);
    if (missing.at >= firstByteAt - MaxStaleness) {
        return;
    }
    const auto ms = [this](Instant instant) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(instant - startedAt_).count());
    };
    const std::string since = statement.minPoint
        ? std::to_string(statement.minPoint->term) + "." + std::to_string(statement.minPoint->position)
        : "none";
    oldReads_.push_back({ "read " + statement.id + " (first byte at " + ms(firstByteAt) + ") ran at " + ms(now_)
            + " at " + server.name + (leads(server) ? " (primary)" : "") + " with since=" + since + ", which had "
            + std::to_string(server.applied) + " of " + std::to_string(log_.size()) + " commits and lacked "
            + std::to_string(missing.term) + "." + std::to_string(server.applied + 1) + " of " + missing.backend
            + ", acknowledged at " + ms(missing.at),
        missing.id });
    note("VIOLATION " + oldReads_.back().description);
}

// The promoted server leads with what it has received and nothing more. The others are rolled back to that.
void PositionModel::promote(std::size_t index)
{
    Server &promoted = servers_.at(index);
    if (!promoted.isUp || index == primary_) {
        return;
    }
    for (Server &server : servers_) {
        advance(server);
    }
    primary_ = index;
    ++term_;
    ++tally_.promotions;
    primaries_.push_back({ index, primaries_.size() + 1 });
    note("promotion of " + promoted.name + ", which received " + std::to_string(promoted.received) + " of "
        + std::to_string(log_.size()) + " commits and applied " + std::to_string(promoted.applied));
    log_.resize(promoted.received);
    for (Server &server : servers_) {
        if (server.received > log_.size()) {
            server.busyUntil = now_ + 100ms;
        }
        server.received = std::min(server.received, log_.size());
        server.applied = std::min(server.applied, log_.size());
    }
    if (options_.takeover != Takeover::AtOnce && promoted.applied < promoted.received) {
        promoted.appliesUntil = now_ + promoted.applyLag;
    }
    advance(promoted);
}

void PositionModel::crash(std::size_t index)
{
    Server &server = servers_.at(index);
    advance(server);
    server.isUp = false;
    note("crash of " + server.name);
    breakConnections(
        [index](const ConnectionKey &, const Connection &connection) { return connection.server == index; },
        isChance(0.5)); // The others look as after a loss of power.
}

void PositionModel::breakConnections(
    const std::function<bool(const ConnectionKey &, const Connection &)> &matches, bool notifies)
{
    for (auto at = connections_.begin(); at != connections_.end();) {
        if (!matches(at->first, at->second)) {
            ++at;
            continue;
        }
        const ConnectionKey key = at->first;
        at = connections_.erase(at);
        if (notifies) {
            this->at(now_ + HopTime, [this, key]() {
                deliver(std::get<0>(key), std::get<1>(key), [this, id = std::get<2>(key)](ProxyCore &core) {
                    core.onConnectionLost(now_, id, ConnectionLoss::Broken);
                });
            });
        }
    }
}

} // namespace daisyrelay
