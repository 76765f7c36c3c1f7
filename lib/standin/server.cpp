#include "daisyrelay/standin/server.h"

#include "daisyrelay/net.h"
#include "daisyrelay/standin/database.h"

#include <charconv>
#include <cstdlib>
#include <functional>
#include <list>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

namespace daisyrelay {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr Duration AnnounceInterval = std::chrono::milliseconds(250);
static constexpr Duration RequestTimeout = std::chrono::milliseconds(500);
static constexpr Duration ReplicationWait = std::chrono::milliseconds(200);
static constexpr Duration ReplicationRetry = std::chrono::milliseconds(20);
static constexpr std::size_t MostEntries = 256;

namespace {

/// What goes wrong on purpose.
struct Faults {
    std::chrono::milliseconds lag { 0 };
    std::chrono::milliseconds lateAnswers { 0 };
    std::uint32_t silenceNext = 0; ///< This many statements are never answered, nor is anything on their connection.
    bool stalled = false; ///< Statements and questions are never answered.
    bool cut = false; ///< Neither announces nor replicates, and answers nobody.
};

/// A GET /status or /replicate that waits for a position.
struct PositionWaiter {
    Position position = 0;
    Instant deadline;
    std::function<void()> answer;
};

} // namespace

class StandinServer::Impl
{
public:
    Impl(asio::io_context &context, StandinOptions options);

    Expected<void> start();

private:
    void handle(const HttpRequest &request, HttpReply reply);
    void handleStatement(const HttpRequest &request, HttpReply reply);
    void handleStatus(const HttpRequest &request, HttpReply reply);
    void handleTerm(const HttpRequest &request, const HttpReply &reply);
    void handleReplicate(const HttpRequest &request, HttpReply reply);
    void handleFaults(const HttpRequest &request, const HttpReply &reply);
    void runStatement(const json::object &body, const HttpReply &reply);
    [[nodiscard]] std::string refusal(const json::object &body) const;
    void refuse(const json::object &body, const std::string &error, const HttpReply &reply) const;
    bool countConnection(std::uint64_t connection);
    void closed(std::uint64_t connection);
    void waitFor(Position position, Duration limit, std::function<void()> answer);
    void wakeWaiters();
    void announce();
    void replicate();
    void onEntries(const json::object &body);
    void after(Duration delay, std::function<void()> task);
    [[nodiscard]] std::string statusBody() const;

    asio::io_context &context_;
    StandinOptions options_;
    HttpServer server_;
    Database database_;
    Faults faults_;
    Endpoint primary_;
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
    std::list<PositionWaiter> waiters_;
    std::unique_ptr<HttpConnection> announcer_;
    std::size_t nextEntry_ = 0;
    std::unique_ptr<HttpConnection> replication_;
};

StandinServer::Impl::Impl(asio::io_context &context, StandinOptions options)
    : context_(context)
    , options_(std::move(options))
    , server_(context, { .acceptDelay = options_.connectTime, .onClosed = [this](std::uint64_t id) { closed(id); } },
          [this](const HttpRequest &request, HttpReply reply) { handle(request, std::move(reply)); })
{
    faults_.lag = options_.lag;
}

Expected<void> StandinServer::Impl::start()
{
    if (Expected<void> listening = server_.listen(options_.listen); !listening) {
        return listening;
    }
    announce();
    replicate();
    return {};
}

void StandinServer::Impl::after(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error) {
            task();
        }
    });
}

static std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    std::uint64_t value = 0;
    if (at != std::string::npos) {
        std::from_chars(target.data() + at + name.size() + 1, target.data() + target.size(), value);
    }
    return value;
}

void StandinServer::Impl::handle(const HttpRequest &request, HttpReply reply)
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
        { "term", point.term }, { "position", point.position }, { "leaving", false } });
}

void StandinServer::Impl::handleStatus(const HttpRequest &request, HttpReply reply)
{
    const Position position = queryNumber(request.target, "min_position");
    const std::chrono::milliseconds limit(queryNumber(request.target, "wait_ms"));
    waitFor(position, limit, [this, reply = std::move(reply)]() {
        reply({ 200, "application/json", statusBody(), "", 0 });
    });
}

void StandinServer::Impl::waitFor(Position position, Duration limit, std::function<void()> answer)
{
    if (database_.point().position >= position || limit == Duration::zero()) {
        answer();
        return;
    }
    waiters_.push_back({ position, Clock::now() + limit, std::move(answer) });
    after(limit, [this]() { wakeWaiters(); });
}

void StandinServer::Impl::wakeWaiters()
{
    const Instant now = Clock::now();
    std::vector<std::function<void()>> ready;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
        if (database_.point().position >= waiter->position || waiter->deadline <= now) {
            ready.push_back(std::move(waiter->answer));
            waiter = waiters_.erase(waiter);
        } else {
            ++waiter;
        }
    }
    for (const auto &answer : ready) {
        answer();
    }
}

static json::object parsedBody(const std::string &body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    return !error && value.is_object() ? value.as_object() : json::object {};
}

static std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? static_cast<std::uint64_t>(value->as_int64()) : 0;
}

static std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

static bool flagOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

void StandinServer::Impl::refuse(const json::object &body, const std::string &error, const HttpReply &reply) const
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

void StandinServer::Impl::handleStatement(const HttpRequest &request, HttpReply reply)
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
    after(options_.serviceTime, [this, body, reply = std::move(reply)]() {
        --running_;
        if (const std::string error = refusal(body); !error.empty() && error != "busy") {
            refuse(body, error, reply);
            return;
        }
        runStatement(body, reply);
    });
}

void StandinServer::Impl::runStatement(const json::object &body, const HttpReply &reply)
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
    after(faults_.lateAnswers, [reply, response = std::move(response)]() { reply(response); });
}

void StandinServer::Impl::handleTerm(const HttpRequest &request, const HttpReply &reply)
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
        primary_ = { primary.substr(0, colon),
            static_cast<std::uint16_t>(std::strtoul(primary.c_str() + colon + 1, nullptr, 10)) };
        transactions_.clear();
        replication_.reset();
    }
    spdlog::info("{} {} in term {}", options_.id.value, promoting ? "is the primary" : "follows", term);
    wakeWaiters();
    reply({ 200, "application/json", statusBody(), "", 0 });
}

void StandinServer::Impl::handleReplicate(const HttpRequest &request, HttpReply reply)
{
    const LogPoint from { queryNumber(request.target, "term"), queryNumber(request.target, "from") };
    const auto answer = [this, from, reply = std::move(reply)]() {
        json::array entries;
        for (const DatabaseEntry &entry : database_.entriesAfter(from, MostEntries)) {
            entries.emplace_back(json::object {
                { "term", entry.term }, { "position", entry.position }, { "statement", entry.statement } });
        }
        reply({ 200, "application/json",
            json::serialize(json::object { { "primary", database_.isPrimary() }, { "term", database_.knownTerm() },
                { "matches", database_.holds(from) }, { "last", database_.point().position },
                { "entries", std::move(entries) } }),
            "", 0 });
    };
    if (!database_.holds(from)) {
        answer();
        return;
    }
    waitFor(from.position + 1, ReplicationWait, answer);
}

void StandinServer::Impl::replicate()
{
    if (database_.isPrimary() || primary_.port == 0 || faults_.cut) {
        after(ReplicationRetry, [this]() { replicate(); });
        return;
    }
    if (!replication_ || !replication_->isOpen()) {
        replication_ = std::make_unique<HttpConnection>(context_);
        replication_->connect(primary_, RequestTimeout, [this](bool connected) {
            after(connected ? Duration::zero() : ReplicationRetry, [this]() { replicate(); });
        });
        return;
    }
    const LogPoint from = database_.point();
    HttpRequest request;
    request.method = "GET";
    request.target = "/replicate?from=" + std::to_string(from.position) + "&term=" + std::to_string(from.term);
    replication_->request(request, RequestTimeout, [this](std::optional<HttpResponse> response) {
        if (!response) {
            after(ReplicationRetry, [this]() { replicate(); });
            return;
        }
        after(faults_.lag, [this, body = response->body]() {
            onEntries(parsedBody(body));
            replicate();
        });
    });
}

void StandinServer::Impl::onEntries(const json::object &body)
{
    const Term term = numberOf(body, "term");
    if (database_.isPrimary() || !flagOf(body, "primary") || term < database_.knownTerm()) {
        return;
    }
    if (!flagOf(body, "matches")) {
        const Position own = database_.point().position;
        database_.truncate(std::min(own == 0 ? 0 : own - 1, numberOf(body, "last")));
        return;
    }
    std::vector<DatabaseEntry> entries;
    for (const json::value &value : body.at("entries").as_array()) {
        const json::object &entry = value.as_object();
        entries.push_back({ numberOf(entry, "term"), numberOf(entry, "position"), textOf(entry, "statement") });
    }
    database_.append(entries);
    database_.joined(term);
    wakeWaiters();
}

void StandinServer::Impl::announce()
{
    after(AnnounceInterval, [this]() { announce(); });
    if (faults_.cut || options_.entries.empty()) {
        return;
    }
    const LogPoint point = database_.point();
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/backends/" + options_.id.value;
    request.body = json::serialize(json::object { { "service", options_.group.service.value },
        { "group", options_.group.group.value }, { "zone", options_.zone.value }, { "host", options_.listen.host },
        { "port", options_.listen.port }, { "connections", options_.connections }, { "slots", options_.slots },
        { "role", database_.isPrimary() ? "primary" : "replica" }, { "term", point.term },
        { "position", point.position }, { "leaving", false } });
    const Endpoint entry = options_.entries[nextEntry_++ % options_.entries.size()];
    announcer_ = std::make_unique<HttpConnection>(context_);
    announcer_->connect(entry, RequestTimeout, [this, request](bool connected) {
        if (connected) {
            announcer_->request(request, RequestTimeout, [](const std::optional<HttpResponse> &) {});
        }
    });
}

void StandinServer::Impl::handleFaults(const HttpRequest &request, const HttpReply &reply)
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
