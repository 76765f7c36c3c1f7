// What the relay core asks its driver to do, and what the driver reports back.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include <variant>

namespace daisyrelay {

/// Names a caller's request inside one process; given by the driver, never reused.
using CallId = std::uint64_t;

/// Answers a caller. The driver sends it at once and exactly once.
struct RespondToCaller {
    CallId call = 0;
    Expected<StatementResult> result;
    std::string token; ///< The session token to return with the answer.
};

/// Sends a message to another VM; losing it is allowed.
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

/// Closes a connection, whatever is under way on it.
struct DisconnectBackend {
    ConnectionId connection = 0;
};

/// A statement in the form in which a database takes it.
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

/// Asks a replica to tell when it has reached a position; at most one such question per replica is open.
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
    StaleTerm, ///< Refused, did not run.
    NotPrimary, ///< Refused, did not run.
    Behind, ///< Refused, did not run.
    Busy, ///< Refused, did not run.
    Failed, ///< The database ran the statement and it failed.
    Lost, ///< No whole answer came; the outcome is unknown.
};

/// The database's answer to one SendStatement.
struct BackendStatementResponse {
    ConnectionId connection = 0;
    WorkId work = 0;
    BackendOutcome outcome = BackendOutcome::Lost;
    std::string resultJson;
    LogPoint point;
};

} // namespace daisyrelay
