// Work that waits for a connection, and what the pool of a database decides about it.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>
#include <variant>

namespace daisyrelay {

/// Names a connection between this entry and a backend server; never reused.
using ConnectionId = std::uint64_t;

/// Names one piece of work inside this entry; never reused.
using WorkId = std::uint64_t;

/// One statement that needs a connection and a slot while it runs.
struct PoolWork {
    WorkId id = 0;
    ClassId classId;
    Instant deadline; ///< When the caller stops waiting.
    Duration target {}; ///< The latency target of the class.
    bool opensTransaction = false; ///< Keeps the connection when its statement is over.
    ConnectionId transactionConnection = 0; ///< Of the transaction that the statement belongs to, or zero.
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

/// Tells that a connection made no progress on \c work while others did. The owner gives the answer up as lost and
/// calls finish() with ConnectionOutcome::Failed.
struct SilentConnection {
    WorkId work = 0;
    ConnectionId connection = 0;
};

using PoolAction = std::variant<OpenConnection, CloseConnection, StartWork, RefuseWork, SilentConnection>;

/// In which state a statement or a transaction leaves its connection.
enum class ConnectionOutcome : std::uint8_t {
    Reusable, ///< Answered; the connection is free again.
    Unused, ///< Nothing was sent on it, so that nothing was measured; the connection is free again.
    Abandoned, ///< The caller's deadline passed first; says nothing about the database.
    Failed, ///< The answer was lost.
};

} // namespace daisyrelay
