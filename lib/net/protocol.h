// The JSON bodies of the outside interfaces: callers, backend servers and databases.
#pragma once

#include "daisyrelay/io/httptypes.h"
#include "daisyrelay/net/faultplan.h"
#include "daisyrelay/relay.h"

namespace daisyrelay {

/// Parses the body of POST /v1/statements. Unknown fields and bad types are errors.
Expected<StatementRequest> parseStatementRequest(const std::string &body);

/// Parses the body of POST /v1/transactions as a request to begin.
Expected<StatementRequest> parseBeginRequest(const std::string &body);

/// Parses the body of POST /v1/transactions/<id>/statements.
Expected<StatementRequest> parseTransactionStatement(const std::string &body);

/// Parses the body of PUT /v1/backends/<id>.
/// Parses what PUT /v1/faults asks for.
Expected<NetworkFaults> parseNetworkFaults(const std::string &body);

Expected<BackendAnnouncement> parseAnnouncement(const std::string &id, const std::string &body);

/// Formats a successful answer for the caller.
HttpResponse resultResponse(const StatementResult &result);

/// Formats an error as application/problem+json.
HttpResponse problemResponse(const Error &error);

/// Formats a statement for a database.
std::string backendStatementBody(const BackendStatement &statement);

/// Parses a database's answer; \p requestId is the one awaited.
/// \returns an error if the answer is malformed or belongs to another request.
Expected<BackendStatementResponse> parseBackendResponse(const HttpResponse &response, const std::string &requestId);

/// Parses the answer of GET /status or POST /promote.
Expected<LogPoint> parseStatusPoint(const HttpResponse &response);

} // namespace daisyrelay
