// A database in memory, for the tests of the relay core.
#pragma once

#include "daisyrelay/relay.h"

#include <map>

/// Runs statements of the form "put KEY VALUE" and "get KEY" and copies the log of another database on request.
struct FakeDatabase {
    struct Entry {
        daisyrelay::Term term = 0;
        std::string statement;
    };

    daisyrelay::BackendId id;
    daisyrelay::Term term = 1; ///< Highest term that it was told of.
    bool isPrimary = false;
    bool isReachable = true;
    std::vector<Entry> log;
    std::map<std::string, int> executions; ///< How often each statement text was executed as a write.
    std::map<std::string, std::vector<std::string>> transactions; ///< Open ones, by identifier.
    std::map<daisyrelay::ConnectionId, std::string> transactionByConnection; ///< Within one VM's connections.
    int misroutedStatements = 0; ///< Statements that came on a connection of another transaction.

    [[nodiscard]] daisyrelay::LogPoint point() const;
    [[nodiscard]] std::string valueOf(const std::string &key) const;
    void promote(daisyrelay::Term newTerm);
    /// Copies up to \p most entries from \p source.
    void replicate(const FakeDatabase &source, std::size_t maxEntries);
    daisyrelay::BackendStatementResponse run(
        daisyrelay::ConnectionId connection, const daisyrelay::SendStatement &action);
    void handleConnectionClosed(daisyrelay::ConnectionId connection);

private:
    void write(const std::string &statement);
};
