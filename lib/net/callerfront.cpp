#include "callerfront.h"

#include "protocol.h"

#include <charconv>
#include <sstream>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::size_t MostOpenCalls = 8192;
static constexpr std::chrono::milliseconds AnnounceInterval(250);
static constexpr std::string_view TransactionsPath = "/v1/transactions";
static constexpr std::string_view BackendsPath = "/v1/backends/";

CallerFront::CallerFront(Duty &duty, const Settings &settings, Counters &counters, Hooks hooks)
    : duty_(duty)
    , settings_(settings)
    , counters_(counters)
    , hooks_(std::move(hooks))
    , server_(duty.context(), {},
          [this](const HttpRequest &request, HttpReply reply) { handle(request, std::move(reply)); })
{
}

Expected<void> CallerFront::listen()
{
    return server_.listen(settings_.http);
}

void CallerFront::handle(const HttpRequest &request, HttpReply reply)
{
    const std::string &target = request.target;
    if (request.method == "POST" && target == "/v1/statements") {
        handleStatement(request, std::move(reply));
    } else if (request.method == "POST" && target.starts_with(TransactionsPath)) {
        handleTransactions(request, std::move(reply));
    } else if (request.method == "PUT" && target.starts_with(BackendsPath)) {
        handleBackend(request, reply);
    } else if (target == "/v1/config" && (request.method == "GET" || request.method == "PUT")) {
        handleConfig(request, reply);
    } else if (request.method == "GET" && target == "/v1/status") {
        handleStatus(reply);
    } else if (request.method == "POST" && target == "/v1/drain") {
        hooks_.drain();
        reply({ 200, "application/json", R"({"draining":true})", "", 0 });
    } else if (settings_.faultInjection && request.method == "PUT" && target == "/v1/faults") {
        handleFaults(request, reply);
    } else if (request.method == "GET" && target == "/healthz") {
        reply({ 200, "text/plain", "ok\n", "", 0 });
    } else if (request.method == "GET" && target == "/readyz") {
        const bool ok = ready_ && !draining_;
        reply({ ok ? 200 : 503, "text/plain", ok ? "ready\n" : "not ready\n", "", 0 });
    } else if (request.method == "GET" && target == "/metrics") {
        reply({ 200, "text/plain; version=0.0.4", metrics(), "", 0 });
    } else {
        refuse({ ErrorKind::UnknownPath, "no such path" }, "", reply);
    }
}

void CallerFront::refuse(const Error &error, const std::string &token, const HttpReply &reply)
{
    counters_.add("refused." + std::string(errorResponseFor(error.kind).name));
    HttpResponse response = problemResponse(error);
    response.sessionToken = token;
    reply(std::move(response));
}

void CallerFront::handleStatement(const HttpRequest &request, HttpReply reply)
{
    submit(parseStatementRequest(request.body), request, std::move(reply));
}

void CallerFront::handleTransactions(const HttpRequest &request, HttpReply reply)
{
    const std::string_view path = std::string_view(request.target).substr(TransactionsPath.size());
    if (path.empty()) {
        submit(parseBeginRequest(request.body), request, std::move(reply));
        return;
    }
    const std::size_t slash = path.rfind('/');
    const std::string_view action = path.substr(slash + 1);
    if (path.front() != '/' || slash < 2) {
        refuse({ ErrorKind::UnknownPath, "no such path" }, request.sessionToken, reply);
        return;
    }
    Expected<StatementRequest> parsed = StatementRequest {};
    if (action == "statements") {
        parsed = parseTransactionStatement(request.body);
    } else if (action == "commit") {
        parsed->action = StatementAction::Commit;
    } else if (action == "rollback") {
        parsed->action = StatementAction::Rollback;
    } else {
        parsed = tl::unexpected(Error { ErrorKind::UnknownPath, "no such path" });
    }
    if (parsed) {
        parsed->transaction = TransactionId { std::string(path.substr(1, slash - 1)) };
    }
    submit(std::move(parsed), request, std::move(reply));
}

void CallerFront::submit(Expected<StatementRequest> parsed, const HttpRequest &request, HttpReply reply)
{
    if (!parsed) {
        refuse(parsed.error(), request.sessionToken, reply);
        return;
    }
    if (calls_.size() >= MostOpenCalls) {
        refuse({ ErrorKind::QueueFull, "too many open requests", 1 }, request.sessionToken, reply);
        return;
    }
    parsed->key = IdempotencyKey { request.idempotencyKey };
    CallerRequest caller { nextCall_++, std::move(*parsed), request.sessionToken };
    const CallId call = caller.call;
    calls_[call] = { std::move(reply), caller.request.classId.value, Clock::now() };
    if (hooks_.caller(std::move(caller))) {
        return;
    }
    const HttpReply back = std::move(calls_.at(call).reply);
    calls_.erase(call);
    refuse({ ErrorKind::QueueFull, "the relay ring is full", 1 }, request.sessionToken, back);
}

void CallerFront::onAnswer(const AnswerCaller &answer)
{
    const auto found = calls_.find(answer.call);
    if (found == calls_.end()) {
        return;
    }
    const OpenCall call = std::move(found->second);
    calls_.erase(found);
    HttpResponse response = answer.answer ? resultResponse(*answer.answer) : problemResponse(answer.answer.error());
    response.sessionToken = answer.token;
    latencies_[call.className].add(Clock::now() - call.startedAt);
    call.reply(std::move(response));
}

void CallerFront::handleBackend(const HttpRequest &request, const HttpReply &reply)
{
    Expected<BackendAnnouncement> announcement
        = parseAnnouncement(request.target.substr(BackendsPath.size()), request.body);
    if (!announcement) {
        refuse(announcement.error(), "", reply);
        return;
    }
    if (!hooks_.announced(std::move(*announcement))) {
        refuse({ ErrorKind::QueueFull, "the relay ring is full" }, "", reply);
        return;
    }
    reply({ 200, "application/json", R"({"next_ms":)" + std::to_string(AnnounceInterval.count()) + "}", "", 0 });
}

void CallerFront::handleConfig(const HttpRequest &request, const HttpReply &reply)
{
    if (request.method == "GET") {
        reply({ 200, "application/json",
            R"({"version":)" + std::to_string(configVersion_) + R"(,"config":)" + configJson_ + "}", "", 0 });
        return;
    }
    ConfigChangeRequest change;
    change.requestId = nextCall_++;
    change.change.changeId = request.changeId;
    change.change.configJson = request.body;
    const char *end = request.ifMatch.data() + request.ifMatch.size();
    const auto [rest, status] = std::from_chars(request.ifMatch.data(), end, change.change.expectedVersion);
    if (status != std::errc() || rest != end || request.changeId.empty()) {
        refuse({ ErrorKind::BadRequest, "If-Match with a version and Daisyrelay-Change-Id are required" }, "", reply);
        return;
    }
    const Expected<Configuration> parsed = parseConfiguration(request.body);
    if (!parsed) {
        refuse(parsed.error(), "", reply);
        return;
    }
    change.change.configJson = toJson(*parsed);
    const std::uint64_t id = change.requestId;
    changes_[id] = reply;
    if (!hooks_.configChange(std::move(change))) {
        changes_.erase(id);
        refuse({ ErrorKind::QueueFull, "the relay ring is full" }, "", reply);
    }
}

void CallerFront::onConfigAnswer(const ConfigChangeAnswer &answer)
{
    const auto found = changes_.find(answer.requestId);
    if (found == changes_.end()) {
        return;
    }
    const HttpReply reply = std::move(found->second);
    changes_.erase(found);
    if (answer.accepted) {
        reply({ 200, "application/json", R"({"version":)" + std::to_string(answer.version) + "}", "", 0 });
        return;
    }
    std::string detail = answer.detail;
    if (answer.error == ErrorKind::VersionConflict) {
        detail = "the current version is " + std::to_string(answer.version);
    }
    refuse({ answer.error, std::move(detail) }, "", reply);
}

void CallerFront::onConfigInForce(std::uint64_t version, std::string configJson)
{
    configVersion_ = version;
    configJson_ = std::move(configJson);
}

void CallerFront::handleFaults(const HttpRequest &request, const HttpReply &reply)
{
    Expected<NetworkFaults> faults = parseNetworkFaults(request.body);
    if (!faults) {
        refuse(faults.error(), "", reply);
        return;
    }
    hooks_.faults(std::move(*faults));
    reply({ 200, "application/json", "{}", "", 0 });
}

void CallerFront::handleStatus(const HttpReply &reply)
{
    const bool posted = hooks_.status([this, reply](json::object status) {
        json::object counters;
        for (const auto &[name, value] : counters_.snapshot()) {
            counters[name] = value;
        }
        status["counters"] = std::move(counters);
        status["connections"] = server_.connections();
        reply({ 200, "application/json", json::serialize(status), "", 0 });
    });
    if (!posted) {
        refuse({ ErrorKind::QueueFull, "the relay ring is full" }, "", reply);
    }
}

void CallerFront::setReady(bool ready)
{
    ready_ = ready;
}

void CallerFront::startDraining()
{
    draining_ = true;
    server_.closeAfterAnswers();
}

void CallerFront::stopListening()
{
    server_.stopListening();
}

void CallerFront::closeIdle(Duration idleFor)
{
    server_.closeIdle(idleFor);
}

std::size_t CallerFront::connections() const
{
    return server_.connections();
}

std::size_t CallerFront::openCalls() const
{
    return calls_.size();
}

std::string CallerFront::metrics() const
{
    std::ostringstream out;
    out << "# TYPE daisyrelay_events_total counter\n";
    for (const auto &[name, value] : counters_.snapshot()) {
        out << "daisyrelay_events_total{event=\"" << name << "\"} " << value << "\n";
    }
    out << "# TYPE daisyrelay_latency_seconds summary\n";
    for (const auto &[name, stats] : latencies_) {
        const auto seconds = [](Duration value) { return std::chrono::duration<double>(value).count(); };
        out << "daisyrelay_latency_seconds{class=\"" << name << "\",quantile=\"0.5\"} " << seconds(stats.median())
            << "\n";
        out << "daisyrelay_latency_seconds{class=\"" << name << "\",quantile=\"0.99\"} " << seconds(stats.p99())
            << "\n";
        out << "daisyrelay_latency_seconds_count{class=\"" << name << "\"} " << stats.count() << "\n";
    }
    out << "# TYPE daisyrelay_config_version gauge\ndaisyrelay_config_version " << configVersion_ << "\n";
    out << "# TYPE daisyrelay_caller_connections gauge\ndaisyrelay_caller_connections " << server_.connections()
        << "\n";
    return out.str();
}

} // namespace daisyrelay
