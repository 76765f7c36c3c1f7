// The connections of one database that one entry may use, and the work that waits for them.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace daisyrelay {

/// Names a connection between this entry and a backend server; never reused.
using ConnectionId = std::uint64_t;

/// Names one piece of work inside this entry; never reused.
using WorkId = std::uint64_t;

/// One statement, or one whole transaction, that needs a connection of its own.
struct PoolWork {
    WorkId id = 0;
    ClassId classId;
    Instant deadline; ///< When the caller stops waiting.
    Duration target {}; ///< The latency target of the class.
};

/// Asks the driver to open a connection.
struct OpenConnection {
    ConnectionId connection = 0;
};

/// Asks the driver to close a connection.
struct CloseConnection {
    ConnectionId connection = 0;
};

/// Hands a free connection to a piece of work.
struct StartWork {
    WorkId work = 0;
    ConnectionId connection = 0;
};

/// Tells that a piece of work was not sent and will not be.
struct RefuseWork {
    WorkId work = 0;
    Error error;
};

using PoolAction = std::variant<OpenConnection, CloseConnection, StartWork, RefuseWork>;

/// Decides which work gets which connection of one database; holds no socket.
class ConnectionPool
{
public:
    /// \param nextId gives out connection identifiers that are unique within the process.
    explicit ConnectionPool(std::function<ConnectionId()> nextId);

    /// Sets how many connections may be open and how many pieces of work may run at once.
    void setLimits(Instant now, std::size_t connections, std::size_t slots);

    /// Queues \p work; exactly one StartWork or RefuseWork follows unless cancel() comes first.
    void submit(Instant now, PoolWork work);

    /// Drops work that has not started. \returns whether it was still queued.
    bool cancel(Instant now, WorkId work);

    void connectionOpened(Instant now, ConnectionId connection);

    /// The connection is gone, whoever closed it; work on it has failed.
    void connectionClosed(Instant now, ConnectionId connection);

    /// The work on \p connection is over. \p reusable is false if the connection must be closed.
    void finish(Instant now, ConnectionId connection, bool reusable);

    /// Refuses the work whose deadline has passed.
    void tick(Instant now);

    [[nodiscard]] std::vector<PoolAction> takeActions();

    [[nodiscard]] std::size_t openConnections() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t running() const;

private:
    void dispatch(Instant now);

    std::function<ConnectionId()> nextId_;
    std::size_t connectionLimit_ = 0;
    std::size_t slotLimit_ = 0;
    std::set<ConnectionId> opening_;
    std::set<ConnectionId> idle_;
    std::set<ConnectionId> busy_;
    std::deque<PoolWork> queue_;
    std::vector<PoolAction> actions_;
};

} // namespace daisyrelay
