// The entries of the fencing simulation: their reports, statements and connections, and the checks of responses.
#include "fencingsimulation.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

void FencingSimulation::sendReport(Entry &entry)
{
    entry.lastReportAt = now_;
    EntryReport report;
    report.name = entry.name;
    report.runId = entry.runId;
    report.sequence = ++entry.reportSequence;
    entry.core->fillReport(now_, report);
    entry.core->recordReport(now_, report.sequence);
    for (const auto &control : controls_) {
        if (entry.cuts.contains(control->name)) {
            continue;
        }
        deliver(*control, entry.name, NetworkDelay, [this, &control = *control, &entry, report]() {
            if (isLeader(control)) {
                applyLog(control);
                control.supervisor->onLeadership(now_, true, term_, { VmId { "c0" }, VmId { "c1" } });
                control.supervisor->onReport(now_, VmId { entry.name }, report);
                performControlActions(control);
            }
        });
    }
}

void FencingSimulation::performEntryActions(Entry &entry)
{
    for (std::vector<ProxyAction> actions = entry.core->takeActions(); !actions.empty();
         actions = entry.core->takeActions()) {
        for (const ProxyAction &action : actions) {
            if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                const std::string database = open->backend.id.value;
                const ConnectionId id = open->connection;
                if (entry.cuts.contains(database)) {
                    continue;
                }
                deliver(entry, database, 2 * NetworkDelay, [this, &entry, id, database]() {
                    if (platform_.databases[database].isUp) {
                        entry.connections[id] = { database, false };
                        entry.core->onConnectionOpened(now_, id);
                    } else {
                        entry.core->onConnectionLost(now_, id, ConnectionLoss::Refused);
                    }
                    performEntryActions(entry);
                });
            } else if (const auto *close = std::get_if<CloseBackendConnection>(&action); close != nullptr) {
                entry.connections.erase(close->connection);
            } else if (const auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                // Statements reach the server even if the entry is suspended right after sending them.
                schedule(NetworkDelay, [this, &entry, exchange = *exchange]() { runExchange(entry, exchange); });
            } else if (const auto *response = std::get_if<SendResponse>(&action); response != nullptr) {
                checkResponse(entry, *response);
            } else if (const auto *accept = std::get_if<AcceptSession>(&action); accept != nullptr) {
                entry.accepted.insert(accept->session);
            } else if (std::holds_alternative<SendReportNow>(action)) {
                sendReport(entry);
            }
        }
    }
}

void FencingSimulation::runExchange(Entry &entry, const RunExchange &exchange)
{
    const auto found = entry.connections.find(exchange.connection);
    if (found == entry.connections.end() || entry.cuts.contains(found->second.database)
        || !platform_.databases[found->second.database].isUp) {
        return;
    }
    std::vector<BackendResponse> responses;
    for (const Statement &statement : exchange.statements) {
        responses.push_back(runStatement(entry, found->second, statement));
    }
    const Duration workTime = std::chrono::milliseconds(1 + std::uniform_int_distribution<int>(0, 60)(random_));
    deliver(entry, found->second.database, workTime, [this, &entry, id = exchange.connection, responses]() {
        entry.core->onExchange(now_, id, responses);
        performEntryActions(entry);
    });
}

BackendResponse FencingSimulation::runStatement(Entry &entry, Connection &connection, const Statement &statement)
{
    const FakePlatform::Database &database = platform_.databases[connection.database];
    BackendResponse response;
    const bool needsPrimary = statement.type == StatementType::Begin || statement.type == StatementType::Write
        || (statement.type == StatementType::Read && connection.inTransaction);
    if (needsPrimary && !database.isPrimary) {
        response.code = ResponseCode::NotPrimary;
        response.state = connection.inTransaction ? TransactionState::Failed : TransactionState::Idle;
        return response;
    }
    if (statement.type == StatementType::Write) {
        entry.commitOf[WriteSession] = platform_.commit(now_, connection.database);
    } else if (statement.type == StatementType::Read) {
        entry.logSeen[ReadSession] = database.log;
    }
    connection.inTransaction = statement.type == StatementType::Begin
        || (statement.type != StatementType::Rollback && connection.inTransaction);
    response.signature = statement.id;
    response.position = platform_.endOf(database);
    response.state = connection.inTransaction ? TransactionState::Open : TransactionState::Idle;
    return response;
}

void FencingSimulation::sendStatements(Entry &entry)
{
    for (const SessionId session : { WriteSession, ReadSession }) {
        if (!entry.accepted.contains(session) || entry.sentAt.contains(session)
            || std::uniform_int_distribution<int>(0, 3)(random_) != 0) {
            continue;
        }
        entry.sentAt[session] = now_;
        entry.commitOf.erase(session);
        entry.logSeen.erase(session);
        Statement statement;
        statement.id = "q" + std::to_string(nextStatement_++);
        statement.type = session == WriteSession ? StatementType::Write : StatementType::Read;
        statement.text = "x";
        entry.core->onStatement(now_, session, statement);
    }
}

void FencingSimulation::checkResponse(Entry &entry, const SendResponse &response)
{
    const Instant sentAt = entry.sentAt[response.session];
    entry.sentAt.erase(response.session);
    if (response.response.code != ResponseCode::Ok) {
        return;
    }
    if (response.session == WriteSession) {
        ++acknowledgedWrites;
        FakePlatform::Commit &commit = platform_.commits[*entry.commitOf[WriteSession]];
        commit.acknowledgedAt = now_;
        if (commit.isAtFormerPrimary) {
            violation_ = "a commit of a former primary was acknowledged";
        }
        return;
    }
    ++confirmedReads;
    const std::vector<std::uint64_t> &seen = entry.logSeen[ReadSession];
    for (std::uint64_t index = 0; index < platform_.commits.size(); ++index) {
        const FakePlatform::Commit &commit = platform_.commits[index];
        if (commit.acknowledgedAt && *commit.acknowledgedAt < sentAt && !commit.isLost
            && std::find(seen.begin(), seen.end(), index) == seen.end()) {
            violation_ = "a read missed an acknowledged commit";
        }
    }
}

} // namespace daisyrelay
