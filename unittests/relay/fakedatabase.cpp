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
    primary = true;
    log.push_back({ newTerm, "" });
}

void FakeDatabase::replicate(const FakeDatabase &source, std::size_t most)
{
    std::size_t common = 0;
    while (common < log.size() && common < source.log.size() && log[common].term == source.log[common].term
        && log[common].statement == source.log[common].statement) {
        ++common;
    }
    log.resize(common);
    term = std::max(term, source.term);
    for (std::size_t copied = 0; copied < most && log.size() < source.log.size(); ++copied) {
        log.push_back(source.log[log.size()]);
    }
}

void FakeDatabase::write(const std::string &statement)
{
    log.push_back({ term, statement });
    ++executions[statement];
}

BackendReply FakeDatabase::run(ConnectionId connection, const SendStatement &action)
{
    const BackendStatement &statement = action.statement;
    BackendReply reply { action.connection, action.work, BackendOutcome::Succeeded, "null", {} };
    const bool needsPrimary = statement.kind == StatementKind::Write || statement.action != StatementAction::Execute;
    if (statement.term < term) {
        reply.outcome = BackendOutcome::StaleTerm;
        return reply;
    }
    if (needsPrimary && !primary) {
        reply.outcome = BackendOutcome::NotPrimary;
        return reply;
    }
    if (statement.minPosition > log.size() || statement.term > term) {
        reply.outcome = BackendOutcome::Behind;
        return reply;
    }
    const auto open = transactionOn.find(connection);
    if (open != transactionOn.end() && open->second != statement.transaction) {
        ++mixed;
    }
    if (statement.action == StatementAction::Begin) {
        transactionOn[connection] = statement.transaction;
        transactions[statement.transaction];
    } else if (statement.action != StatementAction::Execute) {
        for (const std::string &text : transactions[statement.transaction]) {
            if (statement.action == StatementAction::Commit) {
                write(text);
            }
        }
        transactions.erase(statement.transaction);
        transactionOn.erase(connection);
    } else if (statement.kind == StatementKind::Write && !statement.transaction.empty()) {
        transactions[statement.transaction].push_back(statement.statement);
    } else if (statement.kind == StatementKind::Write) {
        write(statement.statement);
    } else {
        reply.resultJson = valueOf(statement.statement.substr(statement.statement.find(' ') + 1));
    }
    reply.point = point();
    return reply;
}

void FakeDatabase::closed(ConnectionId connection)
{
    if (const auto open = transactionOn.find(connection); open != transactionOn.end()) {
        transactions.erase(open->second);
        transactionOn.erase(open);
    }
}
