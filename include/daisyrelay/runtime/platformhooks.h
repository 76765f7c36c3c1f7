// What a platform adapter translates: messages of callers and backend servers, the control API, and promotions.
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

/// A caller opens its session.
struct SessionStart {
    std::string database;
};

struct SessionEnd {
};

/// What can not be read; the session ends.
struct MalformedMessage {
    std::string reason;
};

using CallerMessage = std::variant<SessionStart, Statement, SessionEnd, MalformedMessage>;

/// Parts of the answer of a backend server.
struct BackendRow {
    std::string text;
};

struct BackendDone {
    std::string signature; ///< Empty if the server signed nothing.
};

struct BackendError {
    ResponseCode code = ResponseCode::Failed;
    std::string detail;
};

/// Ends an answer, and the opening of a connection.
struct BackendReady {
    TransactionState state = TransactionState::Idle;
    std::optional<LogPoint> position;
};

using BackendMessage = std::variant<BackendRow, BackendDone, BackendError, BackendReady, MalformedMessage>;

/// One message at the start of a buffer.
template <typename Message>
struct Decoded {
    std::size_t consumedBytes = 0; ///< Zero if the message is not complete.
    Message message;
};

/// Pure functions; none holds state.
struct PlatformHooks {
    // Callers and backend servers.
    std::function<Decoded<CallerMessage>(std::string_view bytes)> decodeCallerMessage;
    std::function<void(std::string &out)> encodeGreeting;
    std::function<void(std::string &out, ResponseCode code, std::string_view detail)> encodeRejection;
    std::function<void(std::string &out, const CallerResponse &answer)> encodeResponse;
    std::function<void(std::string &out, const BackendRecord &backend)> encodeOpenConnection;
    std::function<void(std::string &out, const Statement &statement)> encodeStatement;
    std::function<void(std::string &out)> encodeCloseConnection;
    std::function<Decoded<BackendMessage>(std::string_view bytes)> decodeBackendMessage;
    std::function<std::optional<BackendStatus>(std::string_view row)> decodeBackendStatus;

    // The control API.
    std::function<std::variant<ControlRequest, HttpResponse>(const HttpRequest &request)> decodeControlRequest;
    std::function<HttpResponse(const ControlRequest &request, const ControlResult &result, std::uint16_t controlPort)>
        encodeControlResponse;
    std::function<bool(const HttpRequest &request)> isHealthCheck;

    // Promotions.
    std::function<HttpRequest(const PromoteThroughPlatform &promotion, const std::string &holder)>
        encodePromotionRequest;
    std::function<PromotionOutcome(const std::optional<HttpResponse> &response)> decodePromotionResponse;
};

} // namespace daisyrelay
