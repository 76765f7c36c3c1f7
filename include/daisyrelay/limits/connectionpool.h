// The connections to one database that one entry may use, and the work that waits for them.
#pragma once

#include "daisyrelay/limits/circuitbreaker.h"
#include "daisyrelay/limits/classqueues.h"
#include "daisyrelay/limits/poolwork.h"

#include <functional>
#include <map>
#include <vector>

namespace daisyrelay {

struct PoolOptions {
    QueueOptions queue;
    CircuitOptions circuit;
    RandomSource random; ///< Source of jitter for connection attempts; without it there is no jitter.
    /// Minimum time without a response before a statement counts as silent.
    Duration minSilence = std::chrono::milliseconds(500);
    /// Time for which demand must stay lower before a connection is closed.
    Duration surplusDelay = std::chrono::seconds(5);
};

/// Assigns work to the connections of one database; holds no socket.
///
/// A statement needs a connection and a slot. A transaction keeps its connection but occupies a slot only while one of
/// its statements runs. Connections are opened before they are needed and closed slowly.
class ConnectionPool
{
public:
    /// \param nextId returns connection identifiers that are unique within the process.
    explicit ConnectionPool(std::function<ConnectionId()> nextId, PoolOptions options = {});

    /// Sets how many connections may be open, how many statements may run at once, and how many connections stay open
    /// without demand.
    void setLimits(Instant now, std::size_t connections, std::size_t slots, std::size_t minConnections = 0);

    /// Changes the latency target of a class, also for work that is already queued.
    void setTarget(Instant now, const ClassId &classId, Duration target);

    /// Queues \p work. Exactly one StartWork or RejectWork follows unless cancel() is called first.
    void submit(Instant now, PoolWork work);

    /// Removes work that has not started. Returns whether the work was still queued.
    bool cancel(Instant now, WorkId work);

    void onConnectionOpened(Instant now, ConnectionId connection);

    /// Records that the connection was closed by either side. Work on the connection has failed.
    void onConnectionClosed(Instant now, ConnectionId connection);

    /// Records the response to the statement on \p connection. The connection stays with its transaction; the slot is
    /// released.
    void reserveForTransaction(Instant now, ConnectionId connection);

    /// Ends the statement or the transaction on \p connection.
    void finish(Instant now, ConnectionId connection, ConnectionOutcome outcome);

    /// Ends the statement or the transaction as Reusable if \p isReusable, otherwise as Abandoned.
    void finish(Instant now, ConnectionId connection, bool isReusable);

    /// Rejects work that cannot complete in time, reports silent connections, retries failed connection attempts and
    /// closes surplus connections.
    void tick(Instant now);

    [[nodiscard]] std::vector<PoolAction> takeActions();

    [[nodiscard]] std::size_t openConnectionCount() const;
    [[nodiscard]] std::size_t queuedCount() const;

    /// Returns the number of running statements.
    [[nodiscard]] std::size_t runningCount() const;

    /// Returns the number of connections that belong to transactions.
    [[nodiscard]] std::size_t transactionCount() const;

    /// Returns the age of the oldest statement without a response; zero if no statement is running.
    [[nodiscard]] Duration oldestInFlightAge(Instant now) const;

    /// Returns the state of the circuit breaker of this database.
    [[nodiscard]] CircuitBreaker::State circuitState(Instant now) const;

private:
    enum class ConnectionState : std::uint8_t {
        Opening,
        Idle,
        Busy, ///< A statement is running on the connection.
        Reserved, ///< The connection belongs to a transaction that is running no statement.
    };

    struct Connection {
        ConnectionState state = ConnectionState::Opening;
        bool isInTransaction = false;
        bool isReportedSilent = false; ///< Whether a SilentConnection action was emitted for the current statement.
        WorkId work = 0;
        ClassId classId;
        Instant stateSince {}; ///< Time of the last change of state.
    };

    using Iterator = std::map<ConnectionId, Connection>::iterator;

    [[nodiscard]] std::size_t count(ConnectionState state) const;
    [[nodiscard]] bool hasUsableConnection() const;
    [[nodiscard]] std::size_t currentSlotLimit(Instant now) const;
    [[nodiscard]] std::size_t maxTransactions() const;
    [[nodiscard]] std::size_t neededConnections() const;
    [[nodiscard]] ConnectionId idleConnection() const;
    void recordResponse(Instant now, Connection &connection);
    void reject(WorkId work, Error error);
    void rejectWhileCircuitOpen(Instant now);
    void rejectTransactionWork(ConnectionId connection);
    void closeIdleConnections(std::size_t limit);
    void reportSilentConnections(Instant now);
    void closeSurplusConnections(Instant now);
    void start(Instant now, const PoolWork &work);
    void dispatch(Instant now);
    void openNeededConnections(Instant now);

    std::function<ConnectionId()> nextId_;
    PoolOptions options_;
    ClassQueues queues_;
    CircuitBreaker circuit_;
    std::size_t connectionLimit_ = 0;
    std::size_t slotLimit_ = 0;
    std::size_t minConnections_ = 0;
    std::map<ConnectionId, Connection> connections_;
    std::size_t running_ = 0;
    /// Peak of neededConnections(); decreases by one after each surplusDelay of lower demand.
    std::size_t peakNeeded_ = 0;
    Instant peakAt_ {};
    Instant lastResponseAt_ {};
    std::vector<PoolAction> actions_;
};

} // namespace daisyrelay
