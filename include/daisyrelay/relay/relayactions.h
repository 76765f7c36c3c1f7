// Actions that the relay core requests from its driver, and the results that the driver reports.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include <variant>

namespace daisyrelay {

/// Identifies a caller's request within one process; assigned by the driver, never reused.
using CallId = std::uint64_t;

/// Responds to a caller. The driver sends the response immediately and exactly once.
struct RespondToCaller {
    CallId call = 0;
    Expected<StatementResult> result;
    std::string token; ///< Session token to return with the response.
};

/// Sends a message to another VM; the message may be lost.
struct SendToPeer {
    VmId to;
    PeerPayload payload;
};

/// Opens a connection to a backend server.
struct ConnectBackend {
    BackendId backend;
    ConnectionId connection = 0;
    Endpoint address;
};

/// Closes a connection, even if a statement is in flight on it.
struct DisconnectBackend {
    ConnectionId connection = 0;
};

/// A statement in the form that a database accepts.
struct BackendStatement {
    std::string requestId;
    std::string transaction;
    StatementAction action = StatementAction::Execute;
    StatementKind kind = StatementKind::Read;
    std::string statement;
    Term term = 0;
    Position minPosition = 0;
};

/// Sends a statement on an open connection.
struct SendStatement {
    ConnectionId connection = 0;
    WorkId work = 0;
    BackendStatement statement;
};

/// Requests the position of a database once it has reached \c minPosition; at most one such request is open per
/// database.
struct AwaitBackendPosition {
    BackendId backend;
    Endpoint address;
    Position minPosition = 0;
};

using RelayAction
    = std::variant<RespondToCaller, SendToPeer, ConnectBackend, DisconnectBackend, SendStatement, AwaitBackendPosition>;

/// How a statement on a connection ended.
enum class BackendOutcome : std::uint8_t {
    Succeeded,
    StaleTerm, ///< Rejected because of an older term; did not run.
    NotPrimary, ///< Rejected because the database is not the primary; did not run.
    Behind, ///< Rejected because the database has not reached the minimum position; did not run.
    Busy, ///< Rejected because all slots are in use; did not run.
    Failed, ///< The database ran the statement and the statement failed.
    Lost, ///< No complete response arrived; the outcome is unknown.
};

/// Response of the database to one SendStatement.
struct BackendStatementResponse {
    ConnectionId connection = 0;
    WorkId work = 0;
    BackendOutcome outcome = BackendOutcome::Lost;
    std::string resultJson;
    LogPoint point;
};

} // namespace daisyrelay
