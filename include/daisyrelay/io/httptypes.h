// HTTP requests and responses, independent of the HTTP library in use.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace daisyrelay {

/// A request with the headers that daisyrelay uses.
struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    std::string sessionToken; ///< Header Daisyrelay-Session.
    std::string idempotencyKey; ///< Header Idempotency-Key.
    std::string ifMatch; ///< Header If-Match.
    std::string changeId; ///< Header Daisyrelay-Change-Id.
    std::uint64_t connectionId = 0; ///< Connection that received the request; set by HttpServer and never reused.
    std::vector<std::pair<std::string, std::string>> headers; ///< Other headers to send; HttpServer leaves them empty.
};

/// A response. An empty session token and a retry delay of zero omit their headers.
struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string sessionToken;
    std::int64_t retryAfterMs = 0;
};

/// Sends the response to one request. Must be called exactly once, on the thread of the server.
using HttpResponseCallback = std::function<void(HttpResponse)>;

/// Handles one request and calls the callback with the response, immediately or later.
using HttpHandler = std::function<void(HttpRequest, HttpResponseCallback)>;

} // namespace daisyrelay
