#include "fakedatabase.h"

#include <algorithm>
#include <sstream>

using namespace daisyrelay;

LogPoint FakeDatabase::point() const
{
    return log.empty() ? LogPoint {} : LogPoint { log.back().term, log.size() };
}

std::string FakeDatabase::valueOf(const std::string &key) const
{
    for (auto entry = log.rbegin(); entry != log.rend(); ++entry) {
        std::istringstream words(entry->statement);
        std::string verb;
        std::string name;
        std::string value;
        words >> verb >> name >> value;
        if (verb == "put" && name == key) {
            return value;
        }
    }
    return "0";
}

void FakeDatabase::promote(Term newTerm)
{
    term = newTerm;
    isPrimary = true;
    log.push_back({ newTerm, "" });
}

void FakeDatabase::replicate(const FakeDatabase &source, std::size_t maxEntries)
{
    std::size_t common = 0;
    while (common < log.size() && common < source.log.size() && log[common].term == source.log[common].term
        && log[common].statement == source.log[common].statement) {
        ++common;
    }
    log.resize(common);
    term = std::max(term, source.term);
    for (std::size_t copiedCount = 0; copiedCount < maxEntries && log.size() < source.log.size(); ++copiedCount) {
        log.push_back(source.log[log.size()]);
    }
}

void FakeDatabase::write(const std::string &statement)
{
    log.push_back({ term, statement });
    ++executions[statement];
}

BackendStatementResponse FakeDatabase::run(ConnectionId connection, const SendStatement &action)
{
    const BackendStatement &statement = action.statement;
    BackendStatementResponse response { action.connection, action.work, BackendOutcome::Succeeded, "null", {} };
    const bool needsPrimary = statement.kind == StatementKind::Write || statement.action != StatementAction::Execute;
    if (statement.term < term) {
        response.outcome = BackendOutcome::StaleTerm;
        return response;
    }
    if (needsPrimary && !isPrimary) {
        response.outcome = BackendOutcome::NotPrimary;
        return response;
    }
    if (statement.minPosition > log.size() || statement.term > term) {
        response.outcome = BackendOutcome::Behind;
        return response;
    }
    const auto open = transactionByConnection.find(connection);
    if (open != transactionByConnection.end() && open->second != statement.transaction) {
        ++misroutedStatements;
    }
    if (statement.action == StatementAction::Begin) {
        transactionByConnection[connection] = statement.transaction;
        transactions[statement.transaction];
    } else if (statement.action != StatementAction::Execute) {
        for (const std::string &text : transactions[statement.transaction]) {
            if (statement.action == StatementAction::Commit) {
                write(text);
            }
        }
        transactions.erase(statement.transaction);
        transactionByConnection.erase(connection);
    } else if (statement.kind == StatementKind::Write && !statement.transaction.empty()) {
        transactions[statement.transaction].push_back(statement.statement);
    } else if (statement.kind == StatementKind::Write) {
        write(statement.statement);
    } else {
        response.resultJson = valueOf(statement.statement.substr(statement.statement.find(' ') + 1));
    }
    response.point = point();
    return response;
}

void FakeDatabase::handleConnectionClosed(ConnectionId connection)
{
    if (const auto open = transactionByConnection.find(connection); open != transactionByConnection.end()) {
        transactions.erase(open->second);
        transactionByConnection.erase(open);
    }
}
