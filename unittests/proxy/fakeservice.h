// Simulated backend servers with a replicated log in memory, and callers of a ProxyCore. Checks the session guarantees
// that can be checked at the servers.
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
        std::string id; ///< Identifier of the caller's statement.
        std::string item;
        std::string data;
        std::uint64_t number = 0; ///< Position in the commit order of the service.
        Term term = 0; ///< Term in which the write was committed.
    };

    struct Server {
        LogPoint applied { 1, 0 };
        std::optional<LogPoint> received; ///< End of the log; the applied position if not set.
        bool isSilent = false; ///< Accepts statements but never responds.
        bool isBusy = false; ///< Rejects all statements of callers.
        bool dropsResponses = false; ///< Runs statements but breaks the connection instead of responding.
        std::uint64_t statementsRun = 0; ///< Statements of callers that ran.
        std::uint64_t lagRejections = 0; ///< Statements rejected because the log was behind.
    };

    struct Connection {
        std::string server;
        WorkspaceId workspace; ///< Named by the proxy when it opened the connection.
        bool inTransaction = false;
        bool isReadOnly = false;
        std::vector<Write> pending;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared; ///< Name to verb and shape.
        std::string owner; ///< Caller whose transaction runs on the connection.
    };

    struct Caller {
        std::string name;
        std::string key;
        bool isRejected = false;
        std::map<std::string, std::string> values;
        std::deque<CallerResponse> responses;
        bool isAccepted = false;
        bool isClosed = false;
    };

    Instant now { std::chrono::hours(1) };
    std::vector<std::string> logLines;
    EventLog log { [this](std::string_view line) { logLines.emplace_back(line); }, 1000 };
    Metrics metrics;
    ProxyCore core;
    std::map<std::string, Server> servers;
    std::map<ConnectionId, Connection> connections;
    std::map<SessionId, Caller> callers;
    std::map<std::string, SessionId> sessionOfStatement;
    std::string primary = "b0";
    Term term = 1;
    std::vector<Write> committed;
    std::map<std::string, int> commitCounts; ///< Number of commits of each write, by statement id.
    std::string violation;
    std::set<std::string> serversRefusingConnections;
    std::set<std::string> stuckStatements; ///< Statements that get no response while their server responds to others.

    std::vector<Workspace> workspaces; ///< Callers need keys if there are any; applied by configure().
    std::uint64_t configVersion = 0; ///< Version of the configuration that control has.
    bool isControlReachable = true;
    std::uint32_t syncReplicas = 0; ///< Of the service; applied by configure().
    std::vector<PrimaryWithdrawal> withdrawn; ///< Named by all updates of control.
    std::size_t maxConnections = 1000; ///< Of each server.
    std::size_t rejectedPreparations = 0; ///< Number of PREPARE statements that servers still reject.

    explicit FakeService(std::size_t size = 3, Duration revocationBound = Duration::zero());

    /// Gives the core a new configuration, which control has from then on.
    void configure(ReadGuarantee guarantee, std::chrono::milliseconds timeout = std::chrono::milliseconds(800));

    /// Sends the core an update with servers, primary and quotas.
    void sendTopology(std::uint32_t quota = 4);

    SessionId open(const std::string &name, const std::string &key = std::string());

    /// Exchanges a report and its response with control.
    void reportToControl();
    std::string send(
        SessionId session, StatementType type, const std::string &text = "", const std::string &argument = "");

    /// Performs the actions of the core; run() includes this.
    void performActions();

    /// Advances the time. Replicas apply commits that are older than replicationLag.
    void run(Duration duration);

    /// Ends all connections to \p server, as a restart does.
    void breakConnections(const std::string &server);

    /// Makes \p server the primary; commits that it has not applied are lost. Has no effect on the current primary.
    void promote(const std::string &server);

    /// Commits a write that another entry sent to the primary, and returns its number.
    std::uint64_t commitElsewhere(const std::string &item);

    /// Returns the next response to a caller, after running until it has arrived.
    CallerResponse awaitResponse(SessionId session, Duration maxWait = std::chrono::seconds(3));

    /// Receives the messages of the core to other entries.
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
    static void reject(const Connection &connection, BackendResponse &response, ResponseCode code);
    void applyStatement(Connection &connection, const Statement &statement, BackendResponse &response);
    BackendResponse runRead(Connection &connection, const Statement &statement, const std::string &item);
    void commit(Connection &connection, const std::string &id);
    void checkSessionIsolation(const Connection &connection, const Statement &statement);
    void replicate();
    void openConnection(ConnectionId id, const OpenBackendConnection &request);

    std::deque<std::pair<Instant, std::uint64_t>> commitHistory_; ///< Time and number of each commit.
    std::uint64_t nextId_ = 1;
    SessionId nextSession_ = 1;
    std::uint64_t nextWriteNumber_ = 1;
    std::uint64_t topologyIndex_ = 1;
    std::uint64_t reportSequence_ = 0;
    std::vector<ScheduledAction> scheduled_;
};

} // namespace daisyrelay
