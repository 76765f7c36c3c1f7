#include "daisyrelay/standin/server.h"

#include "daisyrelay/net.h"
#include "daisyrelay/standin/database.h"

#include "announcer.h"
#include "jsonvalues.h"
#include "positionwaitqueue.h"
#include "replicator.h"
#include "timers.h"

#include <cstdlib>

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

namespace daisyrelay {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr Duration ReplicationPollTimeout = std::chrono::milliseconds(200);

class StandinServer::Impl
{
public:
    Impl(asio::io_context &context, StandinOptions options);

    Expected<void> start();

private:
    void handleRequest(const HttpRequest &request, HttpResponseCallback respond);
    void handleStatement(const HttpRequest &request, HttpResponseCallback respond);
    void handleStatus(const HttpRequest &request, HttpResponseCallback respond);
    void handleTermChange(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleReplicate(const HttpRequest &request, HttpResponseCallback respond);
    void handleFaults(const HttpRequest &request, const HttpResponseCallback &respond);
    void runStatement(const json::object &body, const HttpResponseCallback &respond);
    [[nodiscard]] std::string rejectionReason(const json::object &body) const;
    void sendRejection(const json::object &body, const std::string &error, const HttpResponseCallback &respond) const;
    bool admitConnection(std::uint64_t connection);
    void onConnectionClosed(std::uint64_t connection);
    void notifyPositionWaits();
    [[nodiscard]] std::string statusBody() const;
    [[nodiscard]] std::string announcementBody() const;

    asio::io_context &context_;
    StandinOptions options_;
    HttpServer server_;
    Database database_;
    Faults faults_;
    std::set<std::uint64_t> connections_;
    std::set<std::uint64_t> ignoredConnections_; ///< Connections that get no further response.
    std::size_t peakConnections_ = 0;
    std::uint64_t rejectedConnections_ = 0;
    std::uint64_t busyRejections_ = 0;
    std::size_t runningStatements_ = 0;
    std::size_t peakRunningStatements_ = 0;
    std::map<std::string, std::uint64_t> executionsByRequest_; ///< Number of executions by request id.
    /// Writes of open transactions, applied on commit.
    std::map<std::string, std::vector<std::string>> bufferedWrites_;
    /// Open transactions by connection; discarded when the connection is closed.
    std::map<std::uint64_t, std::string> transactionByConnection_;
    PositionWaitQueue positionWaits_;
    Replicator replicator_;
    Announcer announcer_;
};

StandinServer::Impl::Impl(asio::io_context &context, StandinOptions options)
    : context_(context)
    , options_(std::move(options))
    , server_(context,
          { .acceptDelay = options_.connectDelay, .onClosed = [this](std::uint64_t id) { onConnectionClosed(id); } },
          [this](
              const HttpRequest &request, HttpResponseCallback respond) { handleRequest(request, std::move(respond)); })
    , positionWaits_(context)
    , replicator_(context, database_, faults_, [this]() { notifyPositionWaits(); })
    , announcer_(context, options_, faults_, [this]() { return announcementBody(); })
{
    faults_.replicationLag = options_.replicationLag;
}

Expected<void> StandinServer::Impl::start()
{
    if (Expected<void> listening = server_.listen(options_.listen); !listening) {
        return listening;
    }
    announcer_.announce();
    replicator_.pullEntries();
    return {};
}

void StandinServer::Impl::handleRequest(const HttpRequest &request, HttpResponseCallback respond)
{
    if (request.target == "/faults") {
        handleFaults(request, respond);
        return;
    }
    if (faults_.isIsolated || ignoredConnections_.contains(request.connectionId)) {
        return;
    }
    if (request.target.starts_with("/replicate")) {
        handleReplicate(request, std::move(respond));
        return;
    }
    if (request.target == "/promote" || request.target == "/follow") {
        handleTermChange(request, respond);
        return;
    }
    if (!admitConnection(request.connectionId)) {
        server_.close(request.connectionId);
        return;
    }
    if (faults_.isStalled) {
        return;
    }
    if (request.target.starts_with("/status")) {
        handleStatus(request, std::move(respond));
    } else if (request.target == "/statements") {
        handleStatement(request, std::move(respond));
    } else {
        respond({ 404, "application/json", R"({"error":"unknown path"})", "", 0 });
    }
}

bool StandinServer::Impl::admitConnection(std::uint64_t connection)
{
    if (connections_.contains(connection)) {
        return true;
    }
    if (connections_.size() >= options_.maxConnections) {
        ++rejectedConnections_;
        return false;
    }
    connections_.insert(connection);
    peakConnections_ = std::max(peakConnections_, connections_.size());
    return true;
}

void StandinServer::Impl::onConnectionClosed(std::uint64_t connection)
{
    connections_.erase(connection);
    ignoredConnections_.erase(connection);
    if (const auto open = transactionByConnection_.find(connection); open != transactionByConnection_.end()) {
        bufferedWrites_.erase(open->second);
        transactionByConnection_.erase(open);
    }
}

std::string StandinServer::Impl::statusBody() const
{
    const LogPoint point = database_.point();
    return json::serialize(json::object { { "role", database_.isPrimary() ? "primary" : "replica" },
        { "term", point.term }, { "position", point.position }, { "leaving", faults_.isLeaving } });
}

void StandinServer::Impl::handleStatus(const HttpRequest &request, HttpResponseCallback respond)
{
    const Position position = queryNumber(request.target, "min_position");
    const std::chrono::milliseconds timeout(queryNumber(request.target, "wait_ms"));
    positionWaits_.waitFor(database_.point().position, position, timeout, [this, respond = std::move(respond)]() {
        respond({ 200, "application/json", statusBody(), "", 0 });
    });
}

void StandinServer::Impl::notifyPositionWaits()
{
    positionWaits_.updatePosition(database_.point().position);
}

void StandinServer::Impl::sendRejection(
    const json::object &body, const std::string &error, const HttpResponseCallback &respond) const
{
    respond({ 409, "application/json",
        json::serialize(json::object { { "request", stringField(body, "request") }, { "error", error } }), "", 0 });
}

std::string StandinServer::Impl::rejectionReason(const json::object &body) const
{
    const Term term = numberField(body, "term");
    const bool needsPrimary = stringField(body, "kind") == "write" || stringField(body, "action") != "execute";
    if (term < database_.highestTerm()) {
        return "stale_term";
    }
    if (needsPrimary && (!database_.isPrimary() || term != database_.highestTerm())) {
        return "not_primary";
    }
    if (term > database_.syncedTerm() || numberField(body, "min_position") > database_.point().position) {
        return "behind";
    }
    return runningStatements_ >= options_.slots ? "busy" : "";
}

void StandinServer::Impl::handleStatement(const HttpRequest &request, HttpResponseCallback respond)
{
    const json::object body = parseObject(request.body);
    if (const std::string error = rejectionReason(body); !error.empty()) {
        busyRejections_ += error == "busy" ? 1 : 0;
        sendRejection(body, error, respond);
        return;
    }
    if (faults_.statementsToIgnore > 0) {
        --faults_.statementsToIgnore;
        ignoredConnections_.insert(request.connectionId);
        return;
    }
    ++runningStatements_;
    peakRunningStatements_ = std::max(peakRunningStatements_, runningStatements_);
    if (stringField(body, "action") == "begin") {
        transactionByConnection_[request.connectionId] = stringField(body, "transaction");
    }
    callAfter(context_, options_.serviceTime, [this, body, respond = std::move(respond)]() {
        --runningStatements_;
        if (const std::string error = rejectionReason(body); !error.empty() && error != "busy") {
            sendRejection(body, error, respond);
            return;
        }
        runStatement(body, respond);
    });
}

void StandinServer::Impl::runStatement(const json::object &body, const HttpResponseCallback &respond)
{
    const std::string action = stringField(body, "action");
    const std::string transaction = stringField(body, "transaction");
    const std::string statement = stringField(body, "statement");
    Expected<std::string> result = std::string("null");
    ++executionsByRequest_[stringField(body, "request")];
    if (action == "begin") {
        bufferedWrites_[transaction].clear();
    } else if (action == "rollback") {
        bufferedWrites_.erase(transaction);
    } else if (action == "commit") {
        for (const std::string &write : bufferedWrites_[transaction]) {
            result = database_.executeStatement(write);
        }
        bufferedWrites_.erase(transaction);
    } else if (!transaction.empty() && stringField(body, "kind") == "write") {
        bufferedWrites_[transaction].push_back(statement);
    } else {
        result = stringField(body, "kind") == "write" ? database_.executeStatement(statement)
                                                      : database_.executeRead(statement);
    }
    const std::string request = stringField(body, "request");
    json::object responseBody { { "request", request } };
    int status = 200;
    if (result) {
        responseBody["result"] = json::parse(*result);
        responseBody["term"] = database_.point().term;
        responseBody["position"] = database_.point().position;
    } else {
        status = 422;
        responseBody["error"] = result.error().detail;
    }
    notifyPositionWaits();
    HttpResponse response { status, "application/json", json::serialize(responseBody), "", 0 };
    if (faults_.responseDelay.count() == 0) {
        respond(std::move(response));
        return;
    }
    callAfter(context_, faults_.responseDelay, [respond, response = std::move(response)]() { respond(response); });
}

void StandinServer::Impl::handleTermChange(const HttpRequest &request, const HttpResponseCallback &respond)
{
    const json::object body = parseObject(request.body);
    const Term term = numberField(body, "term");
    const bool isPromotion = request.target == "/promote";
    const bool isAccepted = isPromotion ? database_.becomePrimary(term) : database_.becomeReplica(term);
    if (!isAccepted) {
        sendRejection(body, "stale_term", respond);
        return;
    }
    if (!isPromotion) {
        const std::string primary = stringField(body, "primary");
        const std::size_t colon = primary.rfind(':');
        replicator_.followPrimary({ primary.substr(0, colon),
            static_cast<std::uint16_t>(std::strtoul(primary.c_str() + colon + 1, nullptr, 10)) });
        bufferedWrites_.clear();
    }
    spdlog::info("{} {} in term {}", options_.id.value, isPromotion ? "became the primary" : "became a replica", term);
    notifyPositionWaits();
    respond({ 200, "application/json", statusBody(), "", 0 });
}

void StandinServer::Impl::handleReplicate(const HttpRequest &request, HttpResponseCallback respond)
{
    const LogPoint from { queryNumber(request.target, "term"), queryNumber(request.target, "from") };
    const Position requiredPosition = database_.contains(from) ? from.position + 1 : 0;
    positionWaits_.waitFor(database_.point().position, requiredPosition, ReplicationPollTimeout,
        [this, from, respond = std::move(respond)]() {
            respond({ 200, "application/json", Replicator::buildPullResponse(database_, from), "", 0 });
        });
}

std::string StandinServer::Impl::announcementBody() const
{
    const LogPoint point = database_.point();
    return json::serialize(json::object { { "service", options_.group.service.value },
        { "group", options_.group.group.value }, { "zone", options_.zone.value }, { "host", options_.listen.host },
        { "port", options_.listen.port }, { "connections", options_.maxConnections }, { "slots", options_.slots },
        { "role", database_.isPrimary() ? "primary" : "replica" }, { "term", point.term },
        { "position", point.position }, { "leaving", faults_.isLeaving } });
}

void StandinServer::Impl::handleFaults(const HttpRequest &request, const HttpResponseCallback &respond)
{
    if (request.method == "PUT") {
        const json::object body = parseObject(request.body);
        if (boolField(body, "crash")) {
            std::_Exit(1);
        }
        faults_.replicationLag = std::chrono::milliseconds(numberField(body, "lag_ms"));
        faults_.responseDelay = std::chrono::milliseconds(numberField(body, "late_ms"));
        faults_.statementsToIgnore = static_cast<std::uint32_t>(numberField(body, "silence_next"));
        faults_.isStalled = boolField(body, "stalled");
        faults_.isIsolated = boolField(body, "cut");
        faults_.unreachableHosts.clear();
        if (const json::value *hosts = body.if_contains("cut_hosts"); hosts != nullptr && hosts->is_array()) {
            for (const json::value &host : hosts->as_array()) {
                faults_.unreachableHosts.insert(host.is_string() ? std::string(host.as_string()) : "");
            }
        }
        faults_.isLeaving = boolField(body, "leaving");
    }
    std::uint64_t repeatedRequests = 0;
    for (const auto &[id, count] : executionsByRequest_) {
        repeatedRequests += count > 1 ? 1 : 0;
    }
    respond({ 200, "application/json",
        json::serialize(json::object { { "connections", connections_.size() }, { "most_connections", peakConnections_ },
            { "refused_connections", rejectedConnections_ }, { "busy_refusals", busyRejections_ },
            { "most_running", peakRunningStatements_ }, { "repeated_requests", repeatedRequests },
            { "executed", executionsByRequest_.size() }, { "open_transactions", bufferedWrites_.size() } }),
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
