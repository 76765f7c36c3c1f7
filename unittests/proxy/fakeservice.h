// Backend servers with a replicated log in memory, and callers in front of a ProxyCore. Checks what sessions are
// promised, from what callers and servers see.
#pragma once

#include "daisyrelay/proxy.h"

#include <deque>
#include <functional>
#include <random>
#include <set>

namespace daisyrelay {

class FakeService
{
public:
    struct Write {
        std::string id; ///< Of the caller's statement.
        std::string item;
        std::string data;
        std::uint64_t number = 0; ///< In the order in which the service committed.
        Term term = 0; ///< In which it did.
    };

    struct Server {
        LogPoint applied { 1, 0 };
        bool isSilent = false; ///< Takes statements and answers nothing.
        bool isBusy = false; ///< Refuses to run anything.
        bool dropsResponses = false; ///< Breaks the connection instead of answering what it ran.
        std::uint64_t statementsRun = 0; ///< Statements with an id.
        std::uint64_t lagRejections = 0; ///< Statements refused since the log was behind.
    };

    struct Connection {
        std::string server;
        bool inTransaction = false;
        bool isReadOnly = false;
        std::vector<Write> pending;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared; ///< Name to verb and shape.
        std::string owner; ///< The caller whose transaction it carries.
    };

    struct Caller {
        std::string name;
        std::map<std::string, std::string> values;
        std::deque<CallerResponse> responses;
        bool greeted = false;
        bool closed = false;
    };

    Instant now { std::chrono::hours(1) };
    std::vector<std::string> logLines;
    EventLog log { [this](std::string_view line) { logLines.emplace_back(line); }, 1000 };
    Metrics metrics;
    ProxyCore core { ZoneId { "z0" }, log, metrics, 1000 };
    std::map<std::string, Server> servers;
    std::map<ConnectionId, Connection> connections;
    std::map<SessionId, Caller> callers;
    std::map<std::string, SessionId> sessionOfStatement;
    std::string primary = "b0";
    Term term = 1;
    std::vector<Write> committed;
    std::map<std::string, int> commitCounts; ///< Statement id to the number of times its write is in the log.
    std::string violation;
    std::set<std::string> serversRefusingConnections;

    explicit FakeService(std::size_t size = 3);

    void configure(ReadGuarantee guarantee, std::chrono::milliseconds timeout = std::chrono::milliseconds(800));

    /// Tells the core about servers, primary and quotas.
    void sendTopology(std::uint32_t quota = 4);

    SessionId open(const std::string &name);
    std::string send(SessionId session, StatementType kind, const std::string &rest = "", const std::string &more = "");

    /// Does what the core asks for; run() does so by itself.
    void perform();

    /// Lets time pass; replicas apply what is older than \p lag.
    void run(Duration duration);

    /// Makes another server lead; what it has not applied is gone. For the one that leads nothing changes.
    void promote(const std::string &server);

    /// Returns the next answer of a caller, running until it has come.
    CallerResponse awaitResponse(SessionId session, Duration maxWait = std::chrono::seconds(3));

    /// Receives what the core sends to other entries.
    std::function<void(const SendToEntry &)> onMessage;

    Duration replicationLag = std::chrono::milliseconds(20);

private:
    struct ScheduledAction {
        Instant at;
        std::function<void()> action;
    };

    void schedule(Duration delay, std::function<void()> action);
    void runExchange(const RunExchange &exchange);
    BackendResponse runStatement(Connection &connection, const Statement &statement);
    static void refuse(const Connection &connection, BackendResponse &response, ResponseCode code);
    void apply(Connection &connection, const Statement &statement, BackendResponse &response);
    BackendResponse runRead(Connection &connection, const Statement &statement, const std::string &item);
    void commit(Connection &connection, const std::string &id);
    void checkSessionIsolation(const Connection &connection, const Statement &statement);
    void replicate();

    std::deque<std::pair<Instant, std::uint64_t>> commitHistory_; ///< When the primary committed up to a number.
    std::uint64_t nextId_ = 1;
    SessionId nextSession_ = 1;
    std::uint64_t nextWriteNumber_ = 1;
    std::uint64_t topologyIndex_ = 1;
    std::vector<ScheduledAction> scheduled_;
};

} // namespace daisyrelay
