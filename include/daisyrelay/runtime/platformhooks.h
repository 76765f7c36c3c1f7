// Callbacks of a platform adapter. They translate the messages of callers and backend servers, the control API and
// promotion calls.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/io.h"
#include "daisyrelay/proxy.h"
#include "daisyrelay/supervision.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace daisyrelay {

/// First message of a caller; opens its session.
struct SessionStart {
    std::string database;
    std::string key; ///< Identifies the caller's workspace; empty if the message has none.
};

/// Last message of a caller; closes its session.
struct SessionEnd {
};

/// A message that cannot be parsed; closes the session or the connection.
struct MalformedMessage {
    std::string reason;
};

using CallerMessage = std::variant<SessionStart, Statement, SessionEnd, MalformedMessage>;

/// One row of a response.
struct BackendRow {
    std::string text;
};

/// Reports that a statement succeeded.
struct BackendDone {
    std::string signature; ///< Signature of the response; empty if the server did not sign it.
};

/// Reports that a statement, or the opening of a connection, failed.
struct BackendError {
    ResponseCode code = ResponseCode::Failed;
    std::string detail;
};

/// Ends each response, and ends the opening of a connection.
struct BackendReady {
    TransactionState state = TransactionState::Idle;
    std::optional<LogPoint> position; ///< Log position of the server, if the message carries one.
};

using BackendMessage = std::variant<BackendRow, BackendDone, BackendError, BackendReady, MalformedMessage>;

/// The first message of a buffer.
template <typename Message>
struct Decoded {
    std::size_t consumedBytes = 0; ///< Size of the message; zero if the message is incomplete.
    Message message;
};

/// Stateless functions. Each encode function appends one message to \c out or returns a whole request or response.
struct PlatformHooks {
    // Messages of callers and backend servers.
    std::function<Decoded<CallerMessage>(std::string_view bytes)> decodeCallerMessage;
    std::function<void(std::string &out)> encodeGreeting;
    std::function<void(std::string &out, ResponseCode code, std::string_view detail)> encodeRejection;
    std::function<void(std::string &out, const CallerResponse &response)> encodeResponse;
    std::function<void(std::string &out, const BackendRecord &backend, const WorkspaceId &workspace)>
        encodeOpenConnection;
    std::function<void(std::string &out, const Statement &statement)> encodeStatement;
    std::function<void(std::string &out)> encodeCloseConnection;
    std::function<Decoded<BackendMessage>(std::string_view bytes)> decodeBackendMessage;
    std::function<std::optional<BackendStatus>(std::string_view row)> decodeBackendStatus;

    // Requests of the control API. decodeControlRequest returns an HTTP response if the request is invalid.
    std::function<std::variant<ControlRequest, HttpResponse>(const HttpRequest &request)> decodeControlRequest;
    std::function<HttpResponse(const ControlRequest &request, const ControlResult &result, std::uint16_t controlPort)>
        encodeControlResponse;
    std::function<bool(const HttpRequest &request)> isHealthCheck;

    // Calls to the platform that promote a replica.
    std::function<HttpRequest(const PromoteThroughPlatform &promotion, const std::string &requesterName)>
        encodePromotionRequest;
    std::function<PromotionOutcome(const std::optional<HttpResponse> &response)> decodePromotionResponse;
};

} // namespace daisyrelay
