// Actions that the proxy core requests from its driver.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"
#include "daisyrelay/wire/sessionstatement.h"

#include <variant>

namespace daisyrelay {

using SessionId = std::uint64_t;

/// Accepts a session; its caller may send statements from then on.
struct AcceptSession {
    SessionId session = 0;
};

/// Rejects a session; it is closed after the response.
struct RejectSession {
    SessionId session = 0;
    ResponseCode code = ResponseCode::UnknownDatabase;
    std::string detail;
};

/// Sends the response to a statement of a caller.
struct SendResponse {
    SessionId session = 0;
    CallerResponse response;
};

/// Closes a session after all pending output has been sent.
struct CloseSession {
    SessionId session = 0;
};

/// Opens a connection. ProxyCore::onConnectionOpened or onConnectionLost follows.
struct OpenBackendConnection {
    ConnectionId connection = 0;
    BackendRecord backend;
    Duration timeout {};
    WorkspaceId workspace; ///< Workspace whose statements the connection runs; empty for the proxy itself.
};

struct CloseBackendConnection {
    ConnectionId connection = 0;
};

/// Sends all statements at once. ProxyCore::onExchange follows with one response for each, or onConnectionLost.
struct RunExchange {
    ConnectionId connection = 0;
    std::vector<Statement> statements;
};

/// Sends a message to another entry.
struct SendToEntry {
    VmId to;
    std::variant<ForwardedStatement, ForwardedStatementResponse, ForwardedSessionEnd, PositionRequest, PositionResponse,
        RateLimitRequest, RateLimitGrant, HomeProbe, HomeProbeResponse>
        message;
};

/// Sends a report to control without waiting for the next regular one.
struct SendReportNow {
};

using ProxyAction = std::variant<AcceptSession, RejectSession, SendResponse, CloseSession, OpenBackendConnection,
    CloseBackendConnection, RunExchange, SendToEntry, SendReportNow>;

/// Why a connection to a backend server was lost.
enum class ConnectionLoss : std::uint8_t {
    Refused, ///< Nothing listens on the address.
    TimedOut, ///< The connection did not open in time.
    WrongBackend, ///< Another backend server uses the address now.
    ConnectionLimit, ///< The backend server has reached its connection limit.
    Broken, ///< An open connection ended or received invalid data.
};

} // namespace daisyrelay
