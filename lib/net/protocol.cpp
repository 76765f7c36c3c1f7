#include "protocol.h"

#include "jsonfields.h"

#include <algorithm>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::uint64_t MaxDeadlineMs = 3600 * 1000;

static StatementKind readKind(JsonFields &fields)
{
    const std::string kind = fields.requireString("kind");
    if (kind != "read" && kind != "write") {
        fields.fail("kind", "must be read or write");
    }
    return kind == "write" ? StatementKind::Write : StatementKind::Read;
}

static void readTarget(JsonFields &fields, StatementRequest &request)
{
    request.group.service = ServiceId { fields.requireString("service") };
    request.classId = ClassId { fields.requireString("class") };
    request.group.group = GroupId { fields.readString("group") };
    request.routingKey = fields.readString("key");
    if (request.group.group.empty() == request.routingKey.empty()) {
        fields.fail("group", "exactly one of group and key is required");
    }
}

static std::chrono::milliseconds readDeadline(JsonFields &fields)
{
    return std::chrono::milliseconds(fields.readNumber("deadline_ms", 0, MaxDeadlineMs));
}

Expected<StatementRequest> parseStatementRequest(const std::string &body)
{
    JsonFields fields(body, { "service", "class", "group", "key", "kind", "repeatable", "statement", "deadline_ms" });
    StatementRequest request;
    readTarget(fields, request);
    request.kind = readKind(fields);
    request.isRepeatable = fields.readBool("repeatable", true);
    request.statement = fields.requireString("statement");
    request.timeLeft = readDeadline(fields);
    return fields.finish(std::move(request));
}

Expected<StatementRequest> parseBeginRequest(const std::string &body)
{
    JsonFields fields(body, { "service", "class", "group", "key", "deadline_ms" });
    StatementRequest request;
    readTarget(fields, request);
    request.kind = StatementKind::Write;
    request.action = StatementAction::Begin;
    request.timeLeft = readDeadline(fields);
    return fields.finish(std::move(request));
}

Expected<StatementRequest> parseTransactionStatement(const std::string &body)
{
    JsonFields fields(body, { "kind", "statement", "deadline_ms" });
    StatementRequest request;
    request.kind = readKind(fields);
    request.statement = fields.requireString("statement");
    request.timeLeft = readDeadline(fields);
    return fields.finish(std::move(request));
}

Expected<BackendAnnouncement> parseAnnouncement(const std::string &id, const std::string &body)
{
    constexpr std::uint64_t MaxPort = 65535;
    constexpr std::uint64_t MaxConnections = 100000;
    JsonFields fields(body,
        { "service", "group", "zone", "host", "port", "connections", "slots", "role", "term", "position", "leaving" });
    BackendAnnouncement result;
    result.id = BackendId { id };
    result.group = { ServiceId { fields.requireString("service") }, GroupId { fields.requireString("group") } };
    result.zone = ZoneId { fields.requireString("zone") };
    result.host = fields.requireString("host");
    result.port = static_cast<std::uint16_t>(fields.requireNumber("port", MaxPort));
    result.connections = static_cast<std::uint32_t>(fields.requireNumber("connections", MaxConnections));
    result.slots = static_cast<std::uint32_t>(fields.requireNumber("slots", MaxConnections));
    const std::string role = fields.requireString("role");
    if (role != "primary" && role != "replica") {
        fields.fail("role", "must be primary or replica");
    }
    result.role = role == "primary" ? BackendRole::Primary : BackendRole::Replica;
    result.point = { fields.requireNumber("term"), fields.requireNumber("position") };
    result.isLeaving = fields.readBool("leaving", false);
    if (id.empty()) {
        fields.fail("id", "must not be empty");
    }
    return fields.finish(std::move(result));
}

Expected<NetworkFaults> parseNetworkFaults(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    const json::object *object = value.if_object();
    if (error || object == nullptr) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "the body must be a JSON object" });
    }
    NetworkFaults faults;
    for (const auto &field : *object) {
        if (field.key() == "cut_zones" && field.value().is_array()) {
            for (const json::value &zone : field.value().as_array()) {
                faults.blockedZones.insert(ZoneId { zone.is_string() ? std::string(zone.as_string()) : "" });
            }
        } else if (field.key() == "one_way" && field.value().is_string()) {
            faults.shouldBlockIncoming = field.value().as_string() != "out";
            faults.shouldBlockOutgoing = field.value().as_string() != "in";
        } else if (field.key() == "loss_percent" && field.value().is_int64()) {
            faults.lossPercent = static_cast<unsigned>(std::clamp<std::int64_t>(field.value().as_int64(), 0, 100));
        } else {
            return tl::unexpected(Error { ErrorKind::BadRequest, "unknown fault " + std::string(field.key()) });
        }
    }
    return faults;
}

static json::value parseJsonOrNull(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return error ? json::value(nullptr) : value;
}

HttpResponse resultResponse(const StatementResult &result)
{
    if (!result.transaction.empty() && result.resultJson.empty()) {
        return { 201, "application/json", json::serialize(json::object { { "transaction", result.transaction.value } }),
            "", 0 };
    }
    const json::object body { { "result", parseJsonOrNull(result.resultJson) }, { "backend", result.backend.value },
        { "role", result.isFromPrimary ? "primary" : "replica" }, { "term", result.point.term },
        { "position", result.point.position } };
    return { 200, "application/json", json::serialize(body), "", 0 };
}

HttpResponse problemResponse(const Error &error)
{
    const ErrorResponse &problem = errorResponseFor(error.kind);
    const json::object body { { "type", "urn:daisyrelay:" + std::string(problem.name) }, { "title", problem.name },
        { "status", problem.httpStatus }, { "detail", error.detail }, { "kind", problem.name },
        { "ran", executedName(problem.executed) }, { "retry_after_ms", error.retryAfterMs } };
    return { problem.httpStatus, "application/problem+json", json::serialize(body), "", error.retryAfterMs };
}

static std::string_view actionName(StatementAction action)
{
    switch (action) {
    case StatementAction::Begin:
        return "begin";
    case StatementAction::Commit:
        return "commit";
    case StatementAction::Rollback:
        return "rollback";
    case StatementAction::Execute:
        break;
    }
    return "execute";
}

std::string backendStatementBody(const BackendStatement &statement)
{
    json::object body { { "request", statement.requestId }, { "transaction", nullptr },
        { "action", actionName(statement.action) },
        { "kind", statement.kind == StatementKind::Write ? "write" : "read" }, { "statement", statement.statement },
        { "term", statement.term }, { "min_position", statement.minPosition } };
    if (!statement.transaction.empty()) {
        body["transaction"] = statement.transaction;
    }
    return json::serialize(body);
}

static Expected<BackendOutcome> outcomeOfRejection(const std::string &error)
{
    if (error == "stale_term") {
        return BackendOutcome::StaleTerm;
    }
    if (error == "not_primary") {
        return BackendOutcome::NotPrimary;
    }
    if (error == "behind") {
        return BackendOutcome::Behind;
    }
    if (error == "busy") {
        return BackendOutcome::Busy;
    }
    return tl::unexpected(Error { ErrorKind::BadRequest, "unknown refusal '" + error + "'" });
}

Expected<BackendStatementResponse> parseBackendResponse(const HttpResponse &response, const std::string &requestId)
{
    constexpr int Ok = 200;
    constexpr int Conflict = 409;
    JsonFields fields(response.body, { "request", "result", "term", "position", "error" });
    if (fields.requireString("request") != requestId) {
        fields.fail("request", "the answer belongs to another request");
    }
    BackendStatementResponse backendResponse;
    if (response.status == Ok) {
        backendResponse.outcome = BackendOutcome::Succeeded;
        backendResponse.resultJson = fields.rawJson("result");
        backendResponse.point = { fields.requireNumber("term"), fields.requireNumber("position") };
        return fields.finish(std::move(backendResponse));
    }
    const std::string error = fields.requireString("error");
    if (response.status == Conflict) {
        const Expected<BackendOutcome> outcome = outcomeOfRejection(error);
        if (!outcome) {
            return tl::unexpected(outcome.error());
        }
        backendResponse.outcome = *outcome;
        return fields.finish(std::move(backendResponse));
    }
    backendResponse.outcome = BackendOutcome::Failed;
    backendResponse.resultJson = error;
    return fields.finish(std::move(backendResponse));
}

Expected<LogPoint> parseStatusPoint(const HttpResponse &response)
{
    constexpr int Ok = 200;
    if (response.status != Ok) {
        return tl::unexpected(Error { ErrorKind::BackendUnavailable, "status was refused" });
    }
    JsonFields fields(response.body, { "role", "term", "position", "leaving" });
    const LogPoint point { fields.requireNumber("term"), fields.requireNumber("position") };
    return fields.finish(LogPoint(point));
}

} // namespace daisyrelay
