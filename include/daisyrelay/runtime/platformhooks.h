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
struct CallerOpens {
    std::string database;
};

struct CallerLeaves {
};

/// What can not be read; the session ends.
struct Malformed {
    std::string reason;
};

using CallerMessage = std::variant<CallerOpens, Statement, CallerLeaves, Malformed>;

/// Parts of the answer of a backend server.
struct BackendRow {
    std::string text;
};

struct BackendDone {
    std::string proof; ///< Empty if the server signed nothing.
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

using BackendMessage = std::variant<BackendRow, BackendDone, BackendError, BackendReady, Malformed>;

/// One message at the start of a buffer.
template <typename Message>
struct Decoded {
    std::size_t consumed = 0; ///< Zero if the message is not complete.
    Message message;
};

/// Pure functions; none holds state.
struct PlatformHooks {
    // Callers and backend servers.
    std::function<Decoded<CallerMessage>(std::string_view bytes)> decodeCaller;
    std::function<void(std::string &out)> encodeGreeting;
    std::function<void(std::string &out, ResponseCode code, std::string_view detail)> encodeRejection;
    std::function<void(std::string &out, const CallerResponse &answer)> encodeAnswer;
    std::function<void(std::string &out, const BackendRecord &backend)> encodeOpening;
    std::function<void(std::string &out, const Statement &statement)> encodeStatement;
    std::function<void(std::string &out)> encodeClosing;
    std::function<Decoded<BackendMessage>(std::string_view bytes)> decodeBackend;
    std::function<std::optional<BackendStatus>(std::string_view row)> decodeStatus;

    // The control API.
    std::function<std::variant<ControlRequest, HttpResponse>(const HttpRequest &request)> decodeControl;
    std::function<HttpResponse(const ControlRequest &request, const ControlResult &result, std::uint16_t controlPort)>
        encodeControl;
    std::function<bool(const HttpRequest &request)> isHealthCheck;

    // Promotions.
    std::function<HttpRequest(const PromoteThroughPlatform &promotion, const std::string &holder)> encodePromotion;
    std::function<PromotionOutcome(const std::optional<HttpResponse> &response)> decodePromotion;
};

} // namespace daisyrelay
