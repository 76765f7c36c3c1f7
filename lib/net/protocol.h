// The JSON bodies of the HTTP interfaces to callers and backend servers.
#pragma once

#include "daisyrelay/io/httptypes.h"
#include "daisyrelay/net/faultinjector.h"
#include "daisyrelay/relay.h"

namespace daisyrelay {

/// Parses the body of POST /v1/statements. Unknown fields and wrong types are errors.
Expected<StatementRequest> parseStatementRequest(const std::string &body);

/// Parses the body of POST /v1/transactions as a request to begin.
Expected<StatementRequest> parseBeginRequest(const std::string &body);

/// Parses the body of POST /v1/transactions/<id>/statements.
Expected<StatementRequest> parseTransactionStatement(const std::string &body);

/// Parses the body of PUT /v1/faults.
Expected<NetworkFaults> parseNetworkFaults(const std::string &body);

/// Parses the body of PUT /v1/backends/<id>.
Expected<BackendAnnouncement> parseAnnouncement(const std::string &id, const std::string &body);

/// Formats a successful response to a caller.
HttpResponse resultResponse(const StatementResult &result);

/// Formats an error as application/problem+json.
HttpResponse problemResponse(const Error &error);

/// Formats a statement for a backend server.
std::string backendStatementBody(const BackendStatement &statement);

/// Parses the response of a backend server to the request \p requestId.
/// \returns an error if the response is malformed or belongs to another request.
Expected<BackendStatementResponse> parseBackendResponse(const HttpResponse &response, const std::string &requestId);

/// Parses the response to GET /status or POST /promote.
Expected<LogPoint> parseStatusPoint(const HttpResponse &response);

} // namespace daisyrelay
