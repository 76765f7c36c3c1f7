// In-memory database for the tests of the relay core.
#pragma once

#include "daisyrelay/relay.h"

#include <map>

/// Runs statements of the form "put KEY VALUE" and "get KEY" and can replicate the log of another database.
struct FakeDatabase {
    struct Entry {
        daisyrelay::Term term = 0;
        std::string statement;
    };

    daisyrelay::BackendId id;
    daisyrelay::Term term = 1; ///< Highest term that this database has received.
    bool isPrimary = false;
    bool isReachable = true;
    std::vector<Entry> log;
    std::map<std::string, int> executions; ///< Number of times each statement text was executed as a write.
    /// Open transactions by identifier, with their statements.
    std::map<std::string, std::vector<std::string>> transactions;
    std::map<daisyrelay::ConnectionId, std::string> transactionByConnection; ///< Open transaction on each connection.
    int misroutedStatements = 0; ///< Statements that arrived on a connection of another transaction.

    [[nodiscard]] daisyrelay::LogPoint point() const;
    [[nodiscard]] std::string valueOf(const std::string &key) const;
    void promote(daisyrelay::Term newTerm);
    /// Copies up to \p maxEntries log entries from \p source.
    void replicate(const FakeDatabase &source, std::size_t maxEntries);
    daisyrelay::BackendStatementResponse run(
        daisyrelay::ConnectionId connection, const daisyrelay::SendStatement &action);
    void handleConnectionClosed(daisyrelay::ConnectionId connection);

private:
    void write(const std::string &statement);
};
