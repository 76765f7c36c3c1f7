#include "loadsession.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
static constexpr Duration RetryDelay = std::chrono::milliseconds(20);
static constexpr int HttpOk = 200;
static constexpr std::uint64_t SeedStride = 1000003;
static constexpr std::size_t MaxFailedVerifyReadsPerSession = 20;
static constexpr std::uint32_t FullPercent = 100;

bool LoadRun::isOver(Instant now) const
{
    return now >= endsAt || (options.maxRequests > 0 && sentRequests >= options.maxRequests);
}

static std::string stringField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

static std::uint64_t numberField(const json::object &object, std::string_view key)
{
    return std::strtoull(stringField(object, key).c_str(), nullptr, 10);
}

static std::optional<json::object> parseBody(const HttpResponse &response)
{
    boost::system::error_code error;
    json::value value = json::parse(response.body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

LoadSession::LoadSession(LoadRun &run, std::uint32_t number)
    : run_(run)
    , number_(number)
    , random_(run.options.seed * SeedStride + number)
    , connections_(run.options.entries.size())
    , timer_(run.context)
    , nextRequestAt_(Clock::now())
{
}

std::string LoadSession::valueKey() const
{
    return "s" + std::to_string(run_.options.seed) + "." + std::to_string(number_);
}

std::string LoadSession::counterKey() const
{
    return "c" + std::to_string(run_.options.seed) + "." + std::to_string(number_);
}

const LoadClass &LoadSession::pickClass()
{
    const std::vector<LoadClass> &classes = run_.options.classes;
    const std::uint32_t total = std::accumulate(classes.begin(), classes.end(), 0U,
        [](std::uint32_t sum, const LoadClass &workClass) { return sum + workClass.weight; });
    std::uint32_t drawnWeight = std::uniform_int_distribution<std::uint32_t>(0, total - 1)(random_);
    for (const LoadClass &workClass : classes) {
        if (drawnWeight < workClass.weight) {
            return workClass;
        }
        drawnWeight -= workClass.weight;
    }
    return classes.back();
}

HttpRequest LoadSession::buildDirectRead() const
{
    const json::object body { { "request", valueKey() + "." + std::to_string(run_.sentRequests) },
        { "transaction", nullptr }, { "action", "execute" }, { "kind", "read" }, { "statement", "get shared" },
        { "term", run_.options.directTerm }, { "min_position", 0 } };
    HttpRequest request;
    request.method = "POST";
    request.target = "/statements";
    request.body = json::serialize(body);
    return request;
}

HttpRequest LoadSession::buildRequest(RequestInFlight &sent)
{
    if (run_.options.directTerm > 0) {
        return buildDirectRead();
    }
    const LoadClass &workClass = *sent.workClass;
    json::object body { { "service", run_.options.service }, { "class", workClass.name }, { "group", sent.group },
        { "kind", workClass.isWrite ? "write" : "read" }, { "repeatable", workClass.isRepeatable },
        { "deadline_ms", run_.options.timeout.count() } };
    HttpRequest request;
    if (!workClass.isWrite) {
        body["statement"] = "get " + (workClass.readsOwnKey ? valueKey() : "shared");
    } else if (workClass.isRepeatable) {
        sent.value = nextValue_++;
        body["statement"] = "put " + valueKey() + " " + std::to_string(sent.value);
    } else {
        body["statement"] = "add " + counterKey() + " 1";
        request.idempotencyKey = counterKey() + "-" + std::to_string(nextIdempotencyKey_++);
    }
    request.method = "POST";
    request.target = "/v1/statements";
    request.body = json::serialize(body);
    return request;
}

void LoadSession::sendNextRequest()
{
    if (run_.isOver(Clock::now())) {
        return;
    }
    RequestInFlight sent;
    sent.workClass = &pickClass();
    const std::vector<std::string> &groups = run_.options.groups;
    sent.group = groups[std::uniform_int_distribution<std::size_t>(0, groups.size() - 1)(random_)];
    sent.startedAt = Clock::now();
    sent.request = buildRequest(sent);
    sendRequest(std::move(sent));
}

void LoadSession::withConnection(std::size_t entry, const std::function<void(HttpConnection *)> &callback)
{
    std::unique_ptr<HttpConnection> &connection = connections_[entry];
    if (connection && connection->isOpen()) {
        callback(connection.get());
        return;
    }
    connection = std::make_unique<HttpConnection>(run_.context);
    connection->connect(
        run_.options.entries[entry], ConnectTimeout, [callback, newConnection = connection.get()](bool connected) {
            callback(connected ? newConnection : nullptr);
        });
}

void LoadSession::sendRequest(RequestInFlight sent)
{
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, connections_.size() - 1)(random_);
    withConnection(entry, [this, sent = std::move(sent)](HttpConnection *connection) mutable {
        if (connection == nullptr) {
            // Nothing was sent yet, so another entry is tried, as a load balancer would do.
            ++run_.report.failedConnects;
            if (++sent.connectAttempts < connections_.size() * 2) {
                sendRequest(std::move(sent));
                return;
            }
            ++run_.report.transportErrors;
            scheduleNextRequest(RetryDelay);
            return;
        }
        ++run_.sentRequests;
        sent.request.sessionToken = token_;
        connection->request(sent.request, run_.options.timeout * 2,
            [this, sent](const std::optional<HttpResponse> &response) { onResponse(sent, response); });
    });
}

void LoadSession::onResponse(const RequestInFlight &sent, const std::optional<HttpResponse> &response)
{
    const std::optional<json::object> body = response ? parseBody(*response) : std::nullopt;
    if (!body) {
        onResponseLost(sent);
        return;
    }
    if (!response->sessionToken.empty()) {
        token_ = response->sessionToken;
    }
    if (response->status != HttpOk) {
        onErrorResponse(sent, *body);
        return;
    }
    onSuccess(sent, *body);
}

void LoadSession::onResponseLost(const RequestInFlight &sent)
{
    ++run_.report.transportErrors;
    if (sent.workClass->isWrite && !sent.workClass->isRepeatable && !sent.isResend) {
        ++groupRecords_[sent.group].uncertainAdds;
    }
    scheduleNextRequest(RetryDelay);
}

void LoadSession::onErrorResponse(const RequestInFlight &sent, const json::object &problem)
{
    if (!sent.isResend) {
        ++run_.report.classes[sent.workClass->name].rejectedByKind[stringField(problem, "kind")];
        if (sent.workClass->isWrite && !sent.workClass->isRepeatable && stringField(problem, "ran") != "no") {
            ++groupRecords_[sent.group].uncertainAdds;
        }
    }
    const json::value *retryAfter = problem.if_contains("retry_after_ms");
    const std::chrono::milliseconds delay(retryAfter != nullptr && retryAfter->is_int64() ? retryAfter->as_int64() : 0);
    scheduleNextRequest(std::max<Duration>(delay, RetryDelay));
}

void LoadSession::onSuccess(const RequestInFlight &sent, const json::object &body)
{
    if (sent.isResend) {
        scheduleNextRequest(Duration::zero());
        return;
    }
    const Instant now = Clock::now();
    ClassReport &report = run_.report.classes[sent.workClass->name];
    ++report.succeeded;
    report.latenciesMs.push_back(std::chrono::duration<double, std::milli>(now - sent.startedAt).count());
    report.servedByReplica += stringField(body, "role") == "replica" ? 1 : 0;
    GroupRecord &record = groupRecords_[sent.group];
    if (!sent.workClass->isWrite) {
        const bool isStale = sent.workClass->readsOwnKey && numberField(body, "result") < record.acknowledgedValue;
        run_.report.staleOwnReads += isStale ? 1 : 0;
        scheduleNextRequest(Duration::zero());
        return;
    }
    if (sent.workClass->isRepeatable) {
        record.acknowledgedValue = std::max(record.acknowledgedValue, sent.value);
    } else {
        ++record.acknowledgedAdds;
    }
    if (Instant &last = run_.lastWriteAt[sent.group]; last != Instant {}) {
        double &gap = run_.report.maxWriteGapMs[sent.group];
        gap = std::max(gap, std::chrono::duration<double, std::milli>(now - last).count());
    }
    run_.lastWriteAt[sent.group] = now;
    if (!sent.workClass->isRepeatable
        && std::uniform_int_distribution<std::uint32_t>(1, FullPercent)(random_) <= run_.options.resendPercent) {
        resendRequest(sent);
        return;
    }
    scheduleNextRequest(Duration::zero());
}

void LoadSession::resendRequest(RequestInFlight sent)
{
    ++run_.report.resentRequests;
    sent.isResend = true;
    sent.connectAttempts = 0;
    sendRequest(std::move(sent));
}

void LoadSession::scheduleNextRequest(Duration delay)
{
    const Instant now = Clock::now();
    Instant sendAt = now + delay;
    if (run_.options.ratePerSecond > 0) {
        const auto interval = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(run_.options.sessions) / run_.options.ratePerSecond));
        nextRequestAt_ = std::max(nextRequestAt_ + interval, now - interval);
        sendAt = std::max(sendAt, nextRequestAt_);
    }
    if (sendAt <= now) {
        sendNextRequest();
        return;
    }
    timer_.expires_after(sendAt - Clock::now());
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendNextRequest();
        }
    });
}

void LoadSession::verifyGroups(std::size_t groupIndex)
{
    if (groupIndex < run_.options.groups.size()) {
        verifyKey(groupIndex, false);
    }
}

void LoadSession::verifyKey(std::size_t groupIndex, bool isCounter)
{
    const std::string &group = run_.options.groups[groupIndex];
    const GroupRecord record = groupRecords_[group];
    const auto verifyNextKey = [this, groupIndex, isCounter]() {
        if (isCounter) {
            verifyGroups(groupIndex + 1);
            return;
        }
        verifyKey(groupIndex, true);
    };
    // A read with a freshness of zero goes to the primary, which has all acknowledged writes.
    const json::object requestBody { { "service", run_.options.service }, { "class", run_.options.verifyClass },
        { "group", group }, { "kind", "read" }, { "statement", "get " + (isCounter ? counterKey() : valueKey()) },
        { "deadline_ms", run_.options.timeout.count() } };
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/statements";
    request.body = json::serialize(requestBody);
    request.sessionToken = token_;
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, connections_.size() - 1)(random_);
    const auto retryRead = [this, groupIndex, isCounter]() {
        if (++run_.report.failedVerifyReads > MaxFailedVerifyReadsPerSession * run_.options.sessions) {
            ++run_.report.unverifiedSessions;
            return;
        }
        timer_.expires_after(RetryDelay);
        timer_.async_wait(
            [this, groupIndex, isCounter](const boost::system::error_code &) { verifyKey(groupIndex, isCounter); });
    };
    withConnection(entry, [this, request, record, isCounter, verifyNextKey, retryRead](HttpConnection *connection) {
        if (connection == nullptr) {
            retryRead();
            return;
        }
        connection->request(request, run_.options.timeout * 2,
            [this, record, isCounter, verifyNextKey, retryRead](const std::optional<HttpResponse> &response) {
                const std::optional<json::object> body = response ? parseBody(*response) : std::nullopt;
                if (!body || response->status != HttpOk) {
                    retryRead();
                    return;
                }
                const std::uint64_t value = numberField(*body, "result");
                if (isCounter) {
                    run_.report.lostWrites += value < record.acknowledgedAdds ? record.acknowledgedAdds - value : 0;
                    const std::uint64_t maxValue = record.acknowledgedAdds + record.uncertainAdds;
                    run_.report.duplicatedWrites += value > maxValue ? value - maxValue : 0;
                } else {
                    run_.report.lostWrites += value < record.acknowledgedValue ? 1 : 0;
                }
                verifyNextKey();
            });
    });
}

} // namespace daisyrelay
