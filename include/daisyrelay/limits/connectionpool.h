// The connections of one database that one entry may use, and the work that waits for them.
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
    RandomSource random; ///< For the jitter of connection attempts; none without it.
    Duration minSilence = std::chrono::milliseconds(500); ///< A statement is not judged silent before.
    Duration surplusDelay = std::chrono::seconds(5); ///< Demand must have been lower for so long to close a connection.
};

/// Decides which work gets which connection of one database; holds no socket.
///
/// A statement needs a connection and a slot; a transaction keeps its connection but has a slot only while one of its
/// statements runs. Connections are opened ahead of need and closed slowly.
class ConnectionPool
{
public:
    /// \param nextId gives out connection identifiers that are unique within the process.
    explicit ConnectionPool(std::function<ConnectionId()> nextId, PoolOptions options = {});

    /// Sets how many connections may be open, how many statements may run at once, and how many connections are kept
    /// open without any demand.
    void setLimits(Instant now, std::size_t connections, std::size_t slots, std::size_t minConnections = 0);

    /// Changes the target of a class, for the work that is queued too.
    void setTarget(Instant now, const ClassId &classId, Duration target);

    /// Queues \p work; exactly one StartWork or RefuseWork follows unless cancel() comes first.
    void submit(Instant now, PoolWork work);

    /// Drops work that has not started. \returns whether it was still queued.
    bool cancel(Instant now, WorkId work);

    void connectionOpened(Instant now, ConnectionId connection);

    /// The connection is gone, whoever closed it; work on it has failed.
    void connectionClosed(Instant now, ConnectionId connection);

    /// The statement on \p connection was answered; the connection stays with its transaction, the slot is free.
    void reserveForTransaction(Instant now, ConnectionId connection);

    /// The statement or the transaction on \p connection is over.
    void finish(Instant now, ConnectionId connection, ConnectionOutcome outcome);

    /// As above; \p reusable tells Reusable from Abandoned.
    void finish(Instant now, ConnectionId connection, bool reusable);

    /// Refuses work that can not end in time, reports silent connections, retries failed ones, closes surplus ones.
    void tick(Instant now);

    [[nodiscard]] std::vector<PoolAction> takeActions();

    [[nodiscard]] std::size_t openConnectionCount() const;
    [[nodiscard]] std::size_t queuedCount() const;

    /// Returns how many statements run.
    [[nodiscard]] std::size_t runningCount() const;

    /// Returns how many connections belong to transactions.
    [[nodiscard]] std::size_t transactionCount() const;

    /// Returns the age of the oldest statement without an answer; zero if none runs.
    [[nodiscard]] Duration oldestInFlightAge(Instant now) const;

    /// Returns the state of the circuit of this database.
    [[nodiscard]] CircuitBreaker::State circuitState(Instant now) const;

private:
    enum class ConnectionState : std::uint8_t {
        Opening,
        Idle,
        Busy, ///< Runs a statement.
        Reserved, ///< Belongs to a transaction that runs nothing.
    };

    struct Connection {
        ConnectionState state = ConnectionState::Opening;
        bool inTransaction = false;
        bool isReportedSilent = false; ///< As silent.
        WorkId work = 0;
        ClassId classId;
        Instant stateSince {}; ///< When the current use began.
    };

    using Iterator = std::map<ConnectionId, Connection>::iterator;

    [[nodiscard]] std::size_t count(ConnectionState state) const;
    [[nodiscard]] bool hasUsableConnection() const;
    [[nodiscard]] std::size_t currentSlotLimit(Instant now) const;
    [[nodiscard]] std::size_t maxTransactions() const;
    [[nodiscard]] std::size_t neededConnections() const;
    [[nodiscard]] ConnectionId idleConnection() const;
    void recordResponse(Instant now, Connection &connection);
    void refuse(WorkId work, Error error);
    void refuseWhileCircuitOpen(Instant now);
    void refuseTransactionWork(ConnectionId connection);
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
    std::size_t peakNeeded_ = 0; ///< The most connections wanted lately.
    Instant peakAt_ {};
    Instant lastResponseAt_ {};
    std::vector<PoolAction> actions_;
};

} // namespace daisyrelay
