#include "httpfrontend.h"

#include "protocol.h"

#include <charconv>
#include <sstream>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::size_t MaxPendingCalls = 8192;
static constexpr std::chrono::milliseconds AnnounceInterval(250);
static constexpr std::string_view TransactionsPath = "/v1/transactions";
static constexpr std::string_view BackendsPath = "/v1/backends/";

HttpFrontend::HttpFrontend(EventLoopThread &thread, const Settings &settings, Counters &counters, Hooks hooks)
    : thread_(thread)
    , settings_(settings)
    , counters_(counters)
    , hooks_(std::move(hooks))
    , server_(thread.context(), {}, [this](const HttpRequest &request, HttpResponseCallback respond) {
        handleRequest(request, std::move(respond));
    })
{
}

Expected<void> HttpFrontend::listen()
{
    return server_.listen(settings_.http);
}

void HttpFrontend::handleRequest(const HttpRequest &request, HttpResponseCallback respond)
{
    const std::string &target = request.target;
    if (request.method == "POST" && target == "/v1/statements") {
        handleStatement(request, std::move(respond));
    } else if (request.method == "POST" && target.starts_with(TransactionsPath)) {
        handleTransactions(request, std::move(respond));
    } else if (request.method == "PUT" && target.starts_with(BackendsPath)) {
        handleAnnouncement(request, respond);
    } else if (target == "/v1/config" && (request.method == "GET" || request.method == "PUT")) {
        handleConfig(request, respond);
    } else if (request.method == "GET" && target == "/v1/status") {
        handleStatus(respond);
    } else if (request.method == "POST" && target == "/v1/drain") {
        hooks_.startDrain();
        respond({ 200, "application/json", R"({"draining":true})", "", 0 });
    } else if (settings_.isFaultInjectionEnabled && request.method == "PUT" && target == "/v1/faults") {
        handleFaults(request, respond);
    } else if (request.method == "GET" && target == "/healthz") {
        respond({ 200, "text/plain", "ok\n", "", 0 });
    } else if (request.method == "GET" && target == "/readyz") {
        const bool isServing = isReady_ && !isDraining_;
        respond({ isServing ? 200 : 503, "text/plain", isServing ? "ready\n" : "not ready\n", "", 0 });
    } else if (request.method == "GET" && target == "/metrics") {
        respond({ 200, "text/plain; version=0.0.4", renderMetrics(), "", 0 });
    } else {
        respondWithError({ ErrorKind::UnknownPath, "no such path" }, "", respond);
    }
}

void HttpFrontend::respondWithError(const Error &error, const std::string &token, const HttpResponseCallback &respond)
{
    counters_.add("refused." + std::string(errorResponseFor(error.kind).name));
    HttpResponse response = problemResponse(error);
    response.sessionToken = token;
    respond(std::move(response));
}

void HttpFrontend::handleStatement(const HttpRequest &request, HttpResponseCallback respond)
{
    submitRequest(parseStatementRequest(request.body), request, std::move(respond));
}

void HttpFrontend::handleTransactions(const HttpRequest &request, HttpResponseCallback respond)
{
    const std::string_view path = std::string_view(request.target).substr(TransactionsPath.size());
    if (path.empty()) {
        submitRequest(parseBeginRequest(request.body), request, std::move(respond));
        return;
    }
    const std::size_t slash = path.rfind('/');
    const std::string_view action = path.substr(slash + 1);
    if (path.front() != '/' || slash < 2) {
        respondWithError({ ErrorKind::UnknownPath, "no such path" }, request.sessionToken, respond);
        return;
    }
    Expected<StatementRequest> parsedRequest = StatementRequest {};
    if (action == "statements") {
        parsedRequest = parseTransactionStatement(request.body);
    } else if (action == "commit") {
        parsedRequest->action = StatementAction::Commit;
    } else if (action == "rollback") {
        parsedRequest->action = StatementAction::Rollback;
    } else {
        parsedRequest = tl::unexpected(Error { ErrorKind::UnknownPath, "no such path" });
    }
    if (parsedRequest) {
        parsedRequest->transaction = TransactionId { std::string(path.substr(1, slash - 1)) };
    }
    submitRequest(std::move(parsedRequest), request, std::move(respond));
}

void HttpFrontend::submitRequest(
    Expected<StatementRequest> parsedRequest, const HttpRequest &request, HttpResponseCallback respond)
{
    if (!parsedRequest) {
        respondWithError(parsedRequest.error(), request.sessionToken, respond);
        return;
    }
    if (pendingCalls_.size() >= MaxPendingCalls) {
        respondWithError({ ErrorKind::QueueFull, "too many open requests", 1 }, request.sessionToken, respond);
        return;
    }
    parsedRequest->key = IdempotencyKey { request.idempotencyKey };
    CallerRequest caller { nextCallId_++, std::move(*parsedRequest), request.sessionToken };
    const CallId call = caller.call;
    pendingCalls_[call] = { std::move(respond), caller.request.classId.value, Clock::now() };
    if (hooks_.submitCall(std::move(caller))) {
        return;
    }
    const HttpResponseCallback storedRespond = std::move(pendingCalls_.at(call).respond);
    pendingCalls_.erase(call);
    respondWithError({ ErrorKind::QueueFull, "the relay ring is full", 1 }, request.sessionToken, storedRespond);
}

void HttpFrontend::onCallerResponse(const RespondToCaller &action)
{
    const auto found = pendingCalls_.find(action.call);
    if (found == pendingCalls_.end()) {
        return;
    }
    const PendingCall call = std::move(found->second);
    pendingCalls_.erase(found);
    HttpResponse response = action.result ? resultResponse(*action.result) : problemResponse(action.result.error());
    response.sessionToken = action.token;
    latencyByClass_[call.className].add(Clock::now() - call.startedAt);
    call.respond(std::move(response));
}

void HttpFrontend::handleAnnouncement(const HttpRequest &request, const HttpResponseCallback &respond)
{
    Expected<BackendAnnouncement> announcement
        = parseAnnouncement(request.target.substr(BackendsPath.size()), request.body);
    if (!announcement) {
        respondWithError(announcement.error(), "", respond);
        return;
    }
    if (!hooks_.submitAnnouncement(std::move(*announcement))) {
        respondWithError({ ErrorKind::QueueFull, "the relay ring is full" }, "", respond);
        return;
    }
    respond({ 200, "application/json", R"({"next_ms":)" + std::to_string(AnnounceInterval.count()) + "}", "", 0 });
}

void HttpFrontend::handleConfig(const HttpRequest &request, const HttpResponseCallback &respond)
{
    if (request.method == "GET") {
        respond({ 200, "application/json",
            R"({"version":)" + std::to_string(configVersion_) + R"(,"config":)" + configJson_ + "}", "", 0 });
        return;
    }
    ConfigChangeRequest change;
    change.requestId = nextCallId_++;
    change.change.changeId = request.changeId;
    change.change.configJson = request.body;
    const char *end = request.ifMatch.data() + request.ifMatch.size();
    const auto [parsedEnd, status] = std::from_chars(request.ifMatch.data(), end, change.change.expectedVersion);
    if (status != std::errc() || parsedEnd != end || request.changeId.empty()) {
        respondWithError(
            { ErrorKind::BadRequest, "If-Match with a version and Daisyrelay-Change-Id are required" }, "", respond);
        return;
    }
    const Expected<Configuration> configuration = parseConfiguration(request.body);
    if (!configuration) {
        respondWithError(configuration.error(), "", respond);
        return;
    }
    change.change.configJson = toJson(*configuration);
    const std::uint64_t id = change.requestId;
    pendingConfigChanges_[id] = respond;
    if (!hooks_.submitConfigChange(std::move(change))) {
        pendingConfigChanges_.erase(id);
        respondWithError({ ErrorKind::QueueFull, "the relay ring is full" }, "", respond);
    }
}

void HttpFrontend::onConfigChangeResponse(const ConfigChangeResponse &response)
{
    const auto found = pendingConfigChanges_.find(response.requestId);
    if (found == pendingConfigChanges_.end()) {
        return;
    }
    const HttpResponseCallback respond = std::move(found->second);
    pendingConfigChanges_.erase(found);
    if (response.isAccepted) {
        respond({ 200, "application/json", R"({"version":)" + std::to_string(response.version) + "}", "", 0 });
        return;
    }
    std::string detail = response.detail;
    if (response.error == ErrorKind::VersionConflict) {
        detail = "the current version is " + std::to_string(response.version);
    }
    respondWithError({ response.error, std::move(detail) }, "", respond);
}

void HttpFrontend::onConfigActivated(std::uint64_t version, std::string configJson)
{
    configVersion_ = version;
    configJson_ = std::move(configJson);
}

void HttpFrontend::handleFaults(const HttpRequest &request, const HttpResponseCallback &respond)
{
    Expected<NetworkFaults> faults = parseNetworkFaults(request.body);
    if (!faults) {
        respondWithError(faults.error(), "", respond);
        return;
    }
    hooks_.setFaults(std::move(*faults));
    respond({ 200, "application/json", "{}", "", 0 });
}

void HttpFrontend::handleStatus(const HttpResponseCallback &respond)
{
    const bool isPosted = hooks_.collectStatus([this, respond](json::object status) {
        json::object counters;
        for (const auto &[name, value] : counters_.snapshot()) {
            counters[name] = value;
        }
        status["counters"] = std::move(counters);
        status["connections"] = server_.connectionCount();
        respond({ 200, "application/json", json::serialize(status), "", 0 });
    });
    if (!isPosted) {
        respondWithError({ ErrorKind::QueueFull, "the relay ring is full" }, "", respond);
    }
}

void HttpFrontend::setReady(bool ready)
{
    isReady_ = ready;
}

void HttpFrontend::startDraining()
{
    isDraining_ = true;
    server_.closeAfterResponses();
}

void HttpFrontend::stopListening()
{
    server_.stopListening();
}

bool HttpFrontend::isListening() const
{
    return server_.isListening();
}

void HttpFrontend::closeIdle(Duration idleFor)
{
    server_.closeIdle(idleFor);
}

std::size_t HttpFrontend::connectionCount() const
{
    return server_.connectionCount();
}

std::size_t HttpFrontend::pendingCallCount() const
{
    return pendingCalls_.size();
}

std::string HttpFrontend::renderMetrics() const
{
    std::ostringstream out;
    out << "# TYPE daisyrelay_events_total counter\n";
    for (const auto &[name, value] : counters_.snapshot()) {
        out << "daisyrelay_events_total{event=\"" << name << "\"} " << value << "\n";
    }
    out << "# TYPE daisyrelay_latency_seconds summary\n";
    for (const auto &[name, stats] : latencyByClass_) {
        const auto seconds = [](Duration value) { return std::chrono::duration<double>(value).count(); };
        out << "daisyrelay_latency_seconds{class=\"" << name << "\",quantile=\"0.5\"} " << seconds(stats.median())
            << "\n";
        out << "daisyrelay_latency_seconds{class=\"" << name << "\",quantile=\"0.99\"} " << seconds(stats.p99())
            << "\n";
        out << "daisyrelay_latency_seconds_count{class=\"" << name << "\"} " << stats.count() << "\n";
    }
    out << "# TYPE daisyrelay_config_version gauge\ndaisyrelay_config_version " << configVersion_ << "\n";
    out << "# TYPE daisyrelay_caller_connections gauge\ndaisyrelay_caller_connections " << server_.connectionCount()
        << "\n";
    return out.str();
}

} // namespace daisyrelay
