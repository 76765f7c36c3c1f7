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
    Duration shortestSilence = std::chrono::milliseconds(500); ///< A statement is not judged silent before.
    Duration surplusAfter = std::chrono::seconds(5); ///< Demand must have been lower for so long to close a connection.
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
    void setLimits(Instant now, std::size_t connections, std::size_t slots, std::size_t warm = 0);

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
    void hold(Instant now, ConnectionId connection);

    /// The statement or the transaction on \p connection is over.
    void finish(Instant now, ConnectionId connection, ConnectionEnd end);

    /// As above; \p reusable tells Reusable from Abandoned.
    void finish(Instant now, ConnectionId connection, bool reusable);

    /// Refuses work that can not end in time, reports silent connections, retries failed ones, closes surplus ones.
    void tick(Instant now);

    [[nodiscard]] std::vector<PoolAction> takeActions();

    [[nodiscard]] std::size_t openConnections() const;
    [[nodiscard]] std::size_t queued() const;

    /// Returns how many statements run.
    [[nodiscard]] std::size_t running() const;

    /// Returns how many connections belong to transactions.
    [[nodiscard]] std::size_t transactions() const;

    /// Returns the age of the oldest statement without an answer; zero if none runs.
    [[nodiscard]] Duration oldestUnanswered(Instant now) const;

    /// Returns the state of the circuit of this database.
    [[nodiscard]] CircuitBreaker::State circuit(Instant now) const;

private:
    enum class Use : std::uint8_t {
        Opening,
        Idle,
        Busy, ///< Runs a statement.
        Held, ///< Belongs to a transaction that runs nothing.
    };

    struct Connection {
        Use use = Use::Opening;
        bool inTransaction = false;
        bool reported = false; ///< As silent.
        WorkId work = 0;
        ClassId classId;
        Instant since {}; ///< When the current use began.
    };

    using Iterator = std::map<ConnectionId, Connection>::iterator;

    [[nodiscard]] std::size_t count(Use use) const;
    [[nodiscard]] bool usable() const;
    [[nodiscard]] std::size_t slotsNow(Instant now) const;
    [[nodiscard]] std::size_t mostTransactions() const;
    [[nodiscard]] std::size_t wanted() const;
    [[nodiscard]] ConnectionId idleConnection() const;
    void answered(Instant now, Connection &connection);
    void refuse(WorkId work, Error error);
    void refuseUnavailable(Instant now);
    void refuseBoundTo(ConnectionId connection);
    void closeIdleAbove(std::size_t limit);
    void reportSilent(Instant now);
    void closeSurplus(Instant now);
    void start(Instant now, const PoolWork &work);
    void dispatch(Instant now);
    void openAhead(Instant now);

    std::function<ConnectionId()> nextId_;
    PoolOptions options_;
    ClassQueues queues_;
    CircuitBreaker circuit_;
    std::size_t connectionLimit_ = 0;
    std::size_t slotLimit_ = 0;
    std::size_t warm_ = 0;
    std::map<ConnectionId, Connection> connections_;
    std::size_t running_ = 0;
    std::size_t peakWanted_ = 0; ///< The most connections wanted lately.
    Instant peakAt_ {};
    Instant lastAnswer_ {};
    std::vector<PoolAction> actions_;
};

} // namespace daisyrelay
