#include "daisyrelay/standin/server.h"

#include "daisyrelay/net.h"
#include "daisyrelay/standin/database.h"

#include "announcer.h"
#include "jsonvalues.h"
#include "positionwaiters.h"
#include "replicator.h"
#include "timers.h"

#include <cstdlib>

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

namespace daisyrelay {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr Duration ReplicationWait = std::chrono::milliseconds(200);

class StandinServer::Impl
{
public:
    Impl(asio::io_context &context, StandinOptions options);

    Expected<void> start();

private:
    void handle(const HttpRequest &request, HttpResponseCallback reply);
    void handleStatement(const HttpRequest &request, HttpResponseCallback reply);
    void handleStatus(const HttpRequest &request, HttpResponseCallback reply);
    void handleTerm(const HttpRequest &request, const HttpResponseCallback &reply);
    void handleReplicate(const HttpRequest &request, HttpResponseCallback reply);
    void handleFaults(const HttpRequest &request, const HttpResponseCallback &reply);
    void runStatement(const json::object &body, const HttpResponseCallback &reply);
    [[nodiscard]] std::string refusal(const json::object &body) const;
    void refuse(const json::object &body, const std::string &error, const HttpResponseCallback &reply) const;
    bool countConnection(std::uint64_t connection);
    void closed(std::uint64_t connection);
    void wakeWaiters();
    [[nodiscard]] std::string statusBody() const;
    [[nodiscard]] std::string announcementBody() const;

    asio::io_context &context_;
    StandinOptions options_;
    HttpServer server_;
    Database database_;
    Faults faults_;
    std::set<std::uint64_t> connections_;
    std::set<std::uint64_t> silenced_;
    std::size_t mostConnections_ = 0;
    std::uint64_t refusedConnections_ = 0;
    std::uint64_t busyRefusals_ = 0;
    std::size_t running_ = 0;
    std::size_t mostRunning_ = 0;
    std::map<std::string, std::uint64_t> executions_; ///< How often each request id was run.
    std::map<std::string, std::vector<std::string>> transactions_; ///< Writes buffered until the commit.
    std::map<std::uint64_t, std::string> transactionOf_; ///< The open transaction of a connection.
    PositionWaiters waiters_;
    Replicator replicator_;
    Announcer announcer_;
};

StandinServer::Impl::Impl(asio::io_context &context, StandinOptions options)
    : context_(context)
    , options_(std::move(options))
    , server_(context, { .acceptDelay = options_.connectTime, .onClosed = [this](std::uint64_t id) { closed(id); } },
          [this](const HttpRequest &request, HttpResponseCallback reply) { handle(request, std::move(reply)); })
    , waiters_(context)
    , replicator_(context, database_, faults_, [this]() { wakeWaiters(); })
    , announcer_(context, options_, faults_, [this]() { return announcementBody(); })
{
    faults_.lag = options_.lag;
}

Expected<void> StandinServer::Impl::start()
{
    if (Expected<void> listening = server_.listen(options_.listen); !listening) {
        return listening;
    }
    announcer_.start();
    replicator_.pull();
    return {};
}

void StandinServer::Impl::handle(const HttpRequest &request, HttpResponseCallback reply)
{
    if (request.target == "/faults") {
        handleFaults(request, reply);
        return;
    }
    if (faults_.cut || silenced_.contains(request.connectionId)) {
        return;
    }
    if (request.target.starts_with("/replicate")) {
        handleReplicate(request, std::move(reply));
        return;
    }
    if (request.target == "/promote" || request.target == "/follow") {
        handleTerm(request, reply);
        return;
    }
    if (!countConnection(request.connectionId)) {
        server_.close(request.connectionId);
        return;
    }
    if (faults_.stalled) {
        return;
    }
    if (request.target.starts_with("/status")) {
        handleStatus(request, std::move(reply));
    } else if (request.target == "/statements") {
        handleStatement(request, std::move(reply));
    } else {
        reply({ 404, "application/json", R"({"error":"unknown path"})", "", 0 });
    }
}

bool StandinServer::Impl::countConnection(std::uint64_t connection)
{
    if (connections_.contains(connection)) {
        return true;
    }
    if (connections_.size() >= options_.connections) {
        ++refusedConnections_;
        return false;
    }
    connections_.insert(connection);
    mostConnections_ = std::max(mostConnections_, connections_.size());
    return true;
}

void StandinServer::Impl::closed(std::uint64_t connection)
{
    connections_.erase(connection);
    silenced_.erase(connection);
    if (const auto open = transactionOf_.find(connection); open != transactionOf_.end()) {
        transactions_.erase(open->second);
        transactionOf_.erase(open);
    }
}

std::string StandinServer::Impl::statusBody() const
{
    const LogPoint point = database_.point();
    return json::serialize(json::object { { "role", database_.isPrimary() ? "primary" : "replica" },
        { "term", point.term }, { "position", point.position }, { "leaving", faults_.leaving } });
}

void StandinServer::Impl::handleStatus(const HttpRequest &request, HttpResponseCallback reply)
{
    const Position position = queryNumber(request.target, "min_position");
    const std::chrono::milliseconds limit(queryNumber(request.target, "wait_ms"));
    waiters_.wait(database_.point().position, position, limit, [this, reply = std::move(reply)]() {
        reply({ 200, "application/json", statusBody(), "", 0 });
    });
}

void StandinServer::Impl::wakeWaiters()
{
    waiters_.wake(database_.point().position);
}

void StandinServer::Impl::refuse(
    const json::object &body, const std::string &error, const HttpResponseCallback &reply) const
{
    reply({ 409, "application/json",
        json::serialize(json::object { { "request", textOf(body, "request") }, { "error", error } }), "", 0 });
}

std::string StandinServer::Impl::refusal(const json::object &body) const
{
    const Term term = numberOf(body, "term");
    const bool needsPrimary = textOf(body, "kind") == "write" || textOf(body, "action") != "execute";
    if (term < database_.knownTerm()) {
        return "stale_term";
    }
    if (needsPrimary && (!database_.isPrimary() || term != database_.knownTerm())) {
        return "not_primary";
    }
    if (term > database_.joinedTerm() || numberOf(body, "min_position") > database_.point().position) {
        return "behind";
    }
    return running_ >= options_.slots ? "busy" : "";
}

void StandinServer::Impl::handleStatement(const HttpRequest &request, HttpResponseCallback reply)
{
    const json::object body = parsedBody(request.body);
    if (const std::string error = refusal(body); !error.empty()) {
        busyRefusals_ += error == "busy" ? 1 : 0;
        refuse(body, error, reply);
        return;
    }
    if (faults_.silenceNext > 0) {
        --faults_.silenceNext;
        silenced_.insert(request.connectionId);
        return;
    }
    ++running_;
    mostRunning_ = std::max(mostRunning_, running_);
    if (textOf(body, "action") == "begin") {
        transactionOf_[request.connectionId] = textOf(body, "transaction");
    }
    callAfter(context_, options_.serviceTime, [this, body, reply = std::move(reply)]() {
        --running_;
        if (const std::string error = refusal(body); !error.empty() && error != "busy") {
            refuse(body, error, reply);
            return;
        }
        runStatement(body, reply);
    });
}

void StandinServer::Impl::runStatement(const json::object &body, const HttpResponseCallback &reply)
{
    const std::string action = textOf(body, "action");
    const std::string transaction = textOf(body, "transaction");
    const std::string statement = textOf(body, "statement");
    Expected<std::string> result = std::string("null");
    ++executions_[textOf(body, "request")];
    if (action == "begin") {
        transactions_[transaction].clear();
    } else if (action == "rollback") {
        transactions_.erase(transaction);
    } else if (action == "commit") {
        for (const std::string &write : transactions_[transaction]) {
            result = database_.execute(write);
        }
        transactions_.erase(transaction);
    } else if (!transaction.empty() && textOf(body, "kind") == "write") {
        transactions_[transaction].push_back(statement);
    } else {
        result = textOf(body, "kind") == "write" ? database_.execute(statement) : database_.read(statement);
    }
    const std::string request = textOf(body, "request");
    json::object answer { { "request", request } };
    int status = 200;
    if (result) {
        answer["result"] = json::parse(*result);
        answer["term"] = database_.point().term;
        answer["position"] = database_.point().position;
    } else {
        status = 422;
        answer["error"] = result.error().detail;
    }
    wakeWaiters();
    HttpResponse response { status, "application/json", json::serialize(answer), "", 0 };
    if (faults_.lateAnswers.count() == 0) {
        reply(std::move(response));
        return;
    }
    callAfter(context_, faults_.lateAnswers, [reply, response = std::move(response)]() { reply(response); });
}

void StandinServer::Impl::handleTerm(const HttpRequest &request, const HttpResponseCallback &reply)
{
    const json::object body = parsedBody(request.body);
    const Term term = numberOf(body, "term");
    const bool promoting = request.target == "/promote";
    const bool done = promoting ? database_.promote(term) : database_.follow(term);
    if (!done) {
        refuse(body, "stale_term", reply);
        return;
    }
    if (!promoting) {
        const std::string primary = textOf(body, "primary");
        const std::size_t colon = primary.rfind(':');
        replicator_.follow({ primary.substr(0, colon),
            static_cast<std::uint16_t>(std::strtoul(primary.c_str() + colon + 1, nullptr, 10)) });
        transactions_.clear();
    }
    spdlog::info("{} {} in term {}", options_.id.value, promoting ? "is the primary" : "follows", term);
    wakeWaiters();
    reply({ 200, "application/json", statusBody(), "", 0 });
}

void StandinServer::Impl::handleReplicate(const HttpRequest &request, HttpResponseCallback reply)
{
    const LogPoint from { queryNumber(request.target, "term"), queryNumber(request.target, "from") };
    const Position wanted = database_.holds(from) ? from.position + 1 : 0;
    waiters_.wait(database_.point().position, wanted, ReplicationWait, [this, from, reply = std::move(reply)]() {
        reply({ 200, "application/json", Replicator::answerFrom(database_, from), "", 0 });
    });
}

std::string StandinServer::Impl::announcementBody() const
{
    const LogPoint point = database_.point();
    return json::serialize(json::object { { "service", options_.group.service.value },
        { "group", options_.group.group.value }, { "zone", options_.zone.value }, { "host", options_.listen.host },
        { "port", options_.listen.port }, { "connections", options_.connections }, { "slots", options_.slots },
        { "role", database_.isPrimary() ? "primary" : "replica" }, { "term", point.term },
        { "position", point.position }, { "leaving", faults_.leaving } });
}

void StandinServer::Impl::handleFaults(const HttpRequest &request, const HttpResponseCallback &reply)
{
    if (request.method == "PUT") {
        const json::object body = parsedBody(request.body);
        if (flagOf(body, "crash")) {
            std::_Exit(1);
        }
        faults_.lag = std::chrono::milliseconds(numberOf(body, "lag_ms"));
        faults_.lateAnswers = std::chrono::milliseconds(numberOf(body, "late_ms"));
        faults_.silenceNext = static_cast<std::uint32_t>(numberOf(body, "silence_next"));
        faults_.stalled = flagOf(body, "stalled");
        faults_.cut = flagOf(body, "cut");
        faults_.cutHosts.clear();
        if (const json::value *hosts = body.if_contains("cut_hosts"); hosts != nullptr && hosts->is_array()) {
            for (const json::value &host : hosts->as_array()) {
                faults_.cutHosts.insert(host.is_string() ? std::string(host.as_string()) : "");
            }
        }
        faults_.leaving = flagOf(body, "leaving");
    }
    std::uint64_t repeated = 0;
    for (const auto &[id, times] : executions_) {
        repeated += times > 1 ? 1 : 0;
    }
    reply({ 200, "application/json",
        json::serialize(json::object { { "connections", connections_.size() }, { "most_connections", mostConnections_ },
            { "refused_connections", refusedConnections_ }, { "busy_refusals", busyRefusals_ },
            { "most_running", mostRunning_ }, { "repeated_requests", repeated }, { "executed", executions_.size() },
            { "open_transactions", transactions_.size() } }),
        "", 0 });
}

StandinServer::StandinServer(asio::io_context &context, StandinOptions options)
    : impl_(std::make_unique<Impl>(context, std::move(options)))
{
}

StandinServer::~StandinServer() = default;

Expected<void> StandinServer::start()
{
    return impl_->start();
}

} // namespace daisyrelay
