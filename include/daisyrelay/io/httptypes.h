// HTTP requests and responses, without the library that carries them.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace daisyrelay {

/// A request with the headers that the project uses.
struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    std::string sessionToken; ///< Daisyrelay-Session
    std::string idempotencyKey; ///< Idempotency-Key
    std::string ifMatch; ///< If-Match
    std::string changeId; ///< Daisyrelay-Change-Id
    std::uint64_t connectionId = 0; ///< Set by HttpServer; never reused.
    std::vector<std::pair<std::string, std::string>> headers; ///< Further ones, sent by HttpConnection.
};

struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string sessionToken;
    std::int64_t retryAfterMs = 0;
};

/// Sends the answer to one request; must be called once, on the server's thread.
using HttpResponseCallback = std::function<void(HttpResponse)>;

using HttpHandler = std::function<void(HttpRequest, HttpResponseCallback)>;

} // namespace daisyrelay
