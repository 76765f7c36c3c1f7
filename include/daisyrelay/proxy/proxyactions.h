// What the proxy core asks its driver to do.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"
#include "daisyrelay/wire/sessionstatement.h"

#include <variant>

namespace daisyrelay {

using SessionId = std::uint64_t;

/// The session may send statements.
struct AcceptSession {
    SessionId session = 0;
};

/// The session is refused; it is closed after the answer.
struct RejectSession {
    SessionId session = 0;
    ResponseCode code = ResponseCode::UnknownDatabase;
    std::string detail;
};

struct SendResponse {
    SessionId session = 0;
    CallerResponse response;
};

/// Closes the session once what was written to it is sent.
struct CloseSession {
    SessionId session = 0;
};

/// Opens a connection. ProxyCore::onConnectionOpened or onConnectionLost follows.
struct OpenBackendConnection {
    ConnectionId connection = 0;
    BackendRecord backend;
    Duration timeout {};
};

struct CloseBackendConnection {
    ConnectionId connection = 0;
};

/// Sends all statements at once. ProxyCore::onExchange follows with one answer for each, or onConnectionLost.
struct RunExchange {
    ConnectionId connection = 0;
    std::vector<Statement> statements;
};

/// Sends a message to another entry.
struct SendToEntry {
    VmId to;
    std::variant<ForwardedStatement, ForwardedStatementResponse, ForwardedSessionEnd, PositionRequest, PositionResponse>
        message;
};

using ProxyAction = std::variant<AcceptSession, RejectSession, SendResponse, CloseSession, OpenBackendConnection,
    CloseBackendConnection, RunExchange, SendToEntry>;

/// Why a connection to a backend server is gone.
enum class ConnectionLoss : std::uint8_t {
    Refused, ///< Nothing listens there.
    TimedOut, ///< It did not open in time.
    WrongBackend, ///< Another backend server has the address now.
    ConnectionLimit, ///< The backend server has as many connections as it takes.
    Broken, ///< It was open and ended, or its data made no sense.
};

} // namespace daisyrelay
