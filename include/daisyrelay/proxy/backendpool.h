// The connections of this VM to one backend server, and the state of the server as its responses show it.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/proxy/proxyactions.h"
#include "daisyrelay/proxy/proxytiming.h"
#include "daisyrelay/proxy/session.h"

#include <map>
#include <set>

namespace daisyrelay {

/// One connection and the session state that its backend server holds for it.
struct BackendConnection {
    enum class State : std::uint8_t {
        Opening,
        Idle,
        Busy, ///< An exchange is in flight.
        InTransaction, ///< Reserved for an open transaction; no exchange is in flight.
    };

    enum class Purpose : std::uint8_t {
        Statement, ///< Runs a statement of a caller.
        Sample, ///< Requests the log position of a primary.
        Cleanup, ///< Rolls back an abandoned transaction.
        Receipt, ///< Asks a replica which commits it has received.
    };

    ConnectionId id = 0;
    BackendId backend;
    WorkspaceId workspace; ///< Only statements of this workspace may run here; empty without workspaces.
    State state = State::Opening;
    Purpose purpose = Purpose::Statement;
    SessionId session = 0; ///< Session whose statement or transaction runs here; zero if there is none.
    Instant stateSince {}; ///< When the connection entered its current state.
    Instant openedAt {}; ///< The server process at the other end runs since then or longer.
    Instant deadline {}; ///< The connection is closed if opening or the exchange has not ended by this time.
    std::map<std::string, std::string> values; ///< Session values set at the backend server.
    /// Statements prepared at the backend server, and the numbers in their names, which are valid at this connection
    /// only. The numbers increase; none is used twice.
    std::map<PreparedStatement, std::uint64_t> prepared;
    std::uint64_t lastPreparedNumber = 0;
    std::vector<StatementType> sentTypes; ///< Types of the statements of the exchange, in the order sent.
    std::size_t payloadIndex = 0; ///< Index in the exchange of the caller's statement or of the BEGIN sent before it.
    bool isInTransaction = false; ///< The exchange in flight belongs to a transaction, which keeps the connection.
    bool awaitsBegin = false; ///< The exchange carries only the BEGIN; the statement follows if that succeeds.
    bool needsLease = false; ///< The statement or transaction is valid only while the lease on the primary is.
    bool commitsWrite = false; ///< Success of the exchange commits a write, which the reported position covers.
    bool confirmsPrimary = false; ///< Success of the exchange confirms that the server is the primary.
    std::uint64_t generation = 0; ///< Generation of the primary when the exchange was sent; zero for a replica.
    std::int64_t startedAtMs = 0; ///< Start of the server process as known when the exchange was sent.
};

/// Connection pool of one backend server, with the statistics that decide which statements are sent to it.
class BackendPool
{
public:
    BackendPool(Instant now, BackendRecord record, const ProxyTiming &timing);

    /// Replaces the record; resets failure counts and backoffs if the server process was restarted.
    void update(Instant now, const BackendRecord &record);
    [[nodiscard]] const BackendRecord &record() const;

    /// Sets the maximum number of open connections.
    void setQuota(std::uint32_t quota);
    [[nodiscard]] std::uint32_t quota() const;

    /// Sets the maximum number of exchanges in flight, apart from that of the adaptive window; zero disables it.
    void setInFlightLimit(std::size_t limit);

    /// Returns whether quota and backoff permit another connection.
    [[nodiscard]] bool canOpen(Instant now) const;

    /// Adds a connection that is being opened.
    BackendConnection &addConnection(Instant now, ConnectionId id, const WorkspaceId &workspace = {});
    void onOpened(Instant now, ConnectionId id);

    /// Removes a connection. A connection that could not be opened delays the next attempt exponentially.
    void onLost(Instant now, ConnectionId id, ConnectionLoss loss);

    /// Returns an idle connection of \p workspace, or null. Prefers connections that have exactly \p values set, and
    /// among equals the most recently used one.
    BackendConnection *findIdle(const std::map<std::string, std::string> &values, const WorkspaceId &workspace);

    /// Returns an idle connection of any workspace for a statement of the proxy itself, or null. Prefers one that
    /// belongs to no workspace.
    BackendConnection *findIdleForProxy();

    /// Returns the idle connection to close so that \p workspace can open one: one that belongs to no workspace, or the
    /// least recently used one of another workspace.
    [[nodiscard]] std::optional<ConnectionId> findEvictable(const WorkspaceId &workspace) const;

    /// Returns whether the backoff permits opening a connection, if there is room for one.
    [[nodiscard]] bool isOpeningAllowed(Instant now) const;

    /// Returns the connection \p id, or null.
    BackendConnection *find(ConnectionId id);
    [[nodiscard]] std::map<ConnectionId, BackendConnection> &connections();

    /// Records a response to an exchange sent at \p sentAt. \p ranCallerStatement tells whether the
    /// exchange ran a caller's statement.
    void recordResponse(Instant now, Instant sentAt, bool ranCallerStatement);

    /// Records a statement that failed at the server or got no response in time.
    void recordFailure(Instant now);

    /// Records that the server rejected a statement because it was at capacity.
    void recordRejection(Instant now);

    /// Records that a queued statement was sent.
    void recordStart(Instant now);

    /// Returns whether the server is expected to have capacity for one more statement.
    [[nodiscard]] bool hasCapacity(Instant now) const;

    /// Returns how long it takes until the last of \p ahead queued statements can be sent.
    [[nodiscard]] Duration predictWait(Instant now, std::size_t ahead) const;

    /// Records the latest log position that the server reported.
    void recordAppliedPoint(const LogPoint &point);

    /// Records that the server rejected a read because its log was behind. The backoff doubles with each such rejection
    /// until the server runs a statement.
    void recordLag(Instant now);

    /// Returns whether the server is in backoff after rejecting a read because of replication lag.
    [[nodiscard]] bool isLagging(Instant now) const;

    /// Returns whether the server is likely to reject a read that requires \p point.
    [[nodiscard]] bool isLaggingBehind(Instant now, const LogPoint &point) const;

    /// Returns the idle connections to close in order to meet the quota. At least \p kept connections stay open.
    [[nodiscard]] std::vector<ConnectionId> connectionsAboveQuota(std::size_t kept = 0) const;

    /// Returns a connection that has been idle for longer than \p timeout, if another one is idle too.
    [[nodiscard]] std::optional<ConnectionId> unneededConnection(Instant now, Duration timeout) const;

    /// Returns the number of connections, including those being opened.
    [[nodiscard]] std::size_t openCount() const;

    [[nodiscard]] std::size_t inUseCount() const;
    [[nodiscard]] std::size_t idleCount() const;
    [[nodiscard]] std::size_t openingCount() const;

    /// Returns the number of connections of \p workspace in any state.
    [[nodiscard]] std::size_t openCount(const WorkspaceId &workspace) const;
    [[nodiscard]] std::size_t idleCount(const WorkspaceId &workspace) const;
    /// Returns the number of connections of \p workspace that will be free soon: those being opened and those that run
    /// a statement outside a transaction.
    [[nodiscard]] std::size_t soonFreeCount(const WorkspaceId &workspace) const;

    /// Returns the expected latency of one more statement, including the load on the server's slots.
    [[nodiscard]] Duration estimateCost() const;

    /// Returns the mean time of a statement, or a default before the first one has run.
    [[nodiscard]] Duration meanTime() const;

    /// Returns whether statements may be sent to the server at all.
    [[nodiscard]] bool isUsable(Instant now) const;

    /// Returns whether an exchange has been in flight for longer than ProxyTiming::unresponsiveTimeout without any
    /// other response from the server in the meantime.
    [[nodiscard]] bool isUnresponsive(Instant now) const;

    /// Returns whether connections cannot be opened, or the server is unresponsive.
    [[nodiscard]] bool isUnreachable(Instant now) const;

    [[nodiscard]] std::optional<Instant> lastResponseAt() const;

    /// Records how many connections could be used at \p now.
    void recordDemand(Instant now, std::size_t demand);

    /// Returns the peak of the recent demand, to be reported to control.
    [[nodiscard]] std::uint32_t recentDemand(Instant now) const;

private:
    [[nodiscard]] std::size_t busyCount() const;

    BackendRecord record_;
    const ProxyTiming &timing_;
    std::uint32_t quota_ = 0;
    std::size_t inFlightLimit_ = 0;
    std::map<ConnectionId, BackendConnection> connections_;
    ServiceTime serviceTime_;
    std::uint32_t openFailures_ = 0; ///< Consecutive connections that could not be opened.
    bool isAtConnectionLimit_ = false; ///< The server rejected the last connection because of its limit.
    Instant atConnectionLimitSince_ {};
    std::uint32_t statementFailures_ = 0; ///< Consecutive statements that failed.
    Instant retryAt_ {}; ///< No connection is opened before this time.
    Instant avoidUntil_ {}; ///< No statement is sent before this time, after repeated failures.
    AdaptiveWindow window_; ///< Keeps the queue at the server short, so that most statements wait in the proxy's queue,
                            ///< which is ordered by priority.
    LogPoint appliedPoint_; ///< Latest log position that the server reported.
    Instant lagUntil_ {}; ///< Reads that require a position beyond appliedPoint_ are sent elsewhere until this time.
    Duration lagBackoff_ {}; ///< Doubles with each consecutive rejection of a read because of lag.
    Instant drainingSince_ {}; ///< When this VM was notified that the server drains.
    std::optional<Instant> lastResponseAt_;
    std::size_t peakDemand_ = 0;
    Instant peakDemandAt_ {};
};

} // namespace daisyrelay
