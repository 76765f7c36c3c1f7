// Work that waits for a connection, and the actions of a connection pool.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>
#include <variant>

namespace daisyrelay {

/// Identifies a connection between this entry and a backend server; never reused.
using ConnectionId = std::uint64_t;

/// Identifies a unit of work inside this entry; never reused.
using WorkId = std::uint64_t;

/// One statement that needs a connection, and a slot while it runs.
struct PoolWork {
    WorkId id = 0;
    ClassId classId;
    Instant deadline; ///< Time at which the caller stops waiting.
    Duration target {}; ///< Latency target of the class.
    bool opensTransaction = false; ///< Whether the connection stays reserved after the statement completes.
    ConnectionId transactionConnection = 0; ///< Connection of the transaction that the statement belongs to, or zero.
};

/// Instructs the driver to open a connection.
struct OpenConnection {
    ConnectionId connection = 0;
};

/// Instructs the driver to close a connection.
struct CloseConnection {
    ConnectionId connection = 0;
};

/// Assigns a free connection to a unit of work.
struct StartWork {
    WorkId work = 0;
    ConnectionId connection = 0;
};

/// Reports that a unit of work was not sent and will not be sent.
struct RejectWork {
    WorkId work = 0;
    Error error;
};

/// Reports that a connection made no progress on \c work while later statements on other connections completed. The
/// owner treats the response as lost and calls finish() with ConnectionOutcome::Failed.
struct SilentConnection {
    WorkId work = 0;
    ConnectionId connection = 0;
};

using PoolAction = std::variant<OpenConnection, CloseConnection, StartWork, RejectWork, SilentConnection>;

/// How a statement or a transaction leaves its connection.
enum class ConnectionOutcome : std::uint8_t {
    Reusable, ///< The response arrived; the connection is free again.
    Unused, ///< Nothing was sent, so that no service time was measured; the connection is free again.
    /// The connection is closed without a result, for example after a deadline; not a sign of a database failure.
    Abandoned,
    Failed, ///< The response was lost; counts as a failure of the database.
};

} // namespace daisyrelay
