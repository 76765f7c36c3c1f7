#include "loadsession.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
static constexpr Duration RetryDelay = std::chrono::milliseconds(20);
static constexpr int Ok = 200;
static constexpr std::uint64_t SeedStride = 1000003;
static constexpr std::size_t VerifyAttempts = 20;
static constexpr std::uint32_t Percent = 100;

bool LoadRun::isOver(Instant now) const
{
    return now >= endsAt || (options.requests > 0 && sent >= options.requests);
}

static std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

static std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    return std::strtoull(textOf(object, key).c_str(), nullptr, 10);
}

static std::optional<json::object> bodyOf(const HttpResponse &response)
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
    , nextAt_(Clock::now())
{
}

std::string LoadSession::putKey() const
{
    return "s" + std::to_string(run_.options.seed) + "." + std::to_string(number_);
}

std::string LoadSession::addKey() const
{
    return "c" + std::to_string(run_.options.seed) + "." + std::to_string(number_);
}

const LoadClass &LoadSession::pickClass()
{
    const std::vector<LoadClass> &classes = run_.options.classes;
    const std::uint32_t total = std::accumulate(classes.begin(), classes.end(), 0U,
        [](std::uint32_t sum, const LoadClass &workClass) { return sum + workClass.weight; });
    std::uint32_t point = std::uniform_int_distribution<std::uint32_t>(0, total - 1)(random_);
    for (const LoadClass &workClass : classes) {
        if (point < workClass.weight) {
            return workClass;
        }
        point -= workClass.weight;
    }
    return classes.back();
}

HttpRequest LoadSession::buildDirect() const
{
    const json::object body { { "request", putKey() + "." + std::to_string(run_.sent) }, { "transaction", nullptr },
        { "action", "execute" }, { "kind", "read" }, { "statement", "get shared" }, { "term", run_.options.directTerm },
        { "min_position", 0 } };
    HttpRequest request;
    request.method = "POST";
    request.target = "/statements";
    request.body = json::serialize(body);
    return request;
}

HttpRequest LoadSession::build(Sent &sent)
{
    if (run_.options.directTerm > 0) {
        return buildDirect();
    }
    const LoadClass &workClass = *sent.workClass;
    json::object body { { "service", run_.options.service }, { "class", workClass.name }, { "group", sent.group },
        { "kind", workClass.write ? "write" : "read" }, { "repeatable", workClass.repeatable },
        { "deadline_ms", run_.options.deadline.count() } };
    HttpRequest request;
    if (!workClass.write) {
        body["statement"] = "get " + (workClass.ownKey ? putKey() : "shared");
    } else if (workClass.repeatable) {
        sent.value = nextValue_++;
        body["statement"] = "put " + putKey() + " " + std::to_string(sent.value);
    } else {
        body["statement"] = "add " + addKey() + " 1";
        request.idempotencyKey = addKey() + "-" + std::to_string(nextKey_++);
    }
    request.method = "POST";
    request.target = "/v1/statements";
    request.body = json::serialize(body);
    return request;
}

void LoadSession::next()
{
    if (run_.isOver(Clock::now())) {
        return;
    }
    Sent sent;
    sent.workClass = &pickClass();
    const std::vector<std::string> &groups = run_.options.groups;
    sent.group = groups[std::uniform_int_distribution<std::size_t>(0, groups.size() - 1)(random_)];
    sent.startedAt = Clock::now();
    sent.request = build(sent);
    send(std::move(sent));
}

void LoadSession::withConnection(std::size_t entry, const std::function<void(HttpConnection *)> &use)
{
    std::unique_ptr<HttpConnection> &connection = connections_[entry];
    if (connection && connection->isOpen()) {
        use(connection.get());
        return;
    }
    connection = std::make_unique<HttpConnection>(run_.context);
    connection->connect(run_.options.entries[entry], ConnectTimeout,
        [use, raw = connection.get()](bool connected) { use(connected ? raw : nullptr); });
}

void LoadSession::send(Sent sent)
{
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, connections_.size() - 1)(random_);
    withConnection(entry, [this, sent = std::move(sent)](HttpConnection *connection) mutable {
        if (connection == nullptr) {
            // The balancer would have picked another entry: nothing was sent yet.
            ++run_.report.refusedConnects;
            if (++sent.connectAttempts < connections_.size() * 2) {
                send(std::move(sent));
                return;
            }
            ++run_.report.transportErrors;
            pause(RetryDelay);
            return;
        }
        ++run_.sent;
        sent.request.sessionToken = token_;
        connection->request(sent.request, run_.options.deadline * 2,
            [this, sent](const std::optional<HttpResponse> &response) { onAnswer(sent, response); });
    });
}

void LoadSession::onAnswer(const Sent &sent, const std::optional<HttpResponse> &response)
{
    const std::optional<json::object> body = response ? bodyOf(*response) : std::nullopt;
    if (!body) {
        lost(sent);
        return;
    }
    if (!response->sessionToken.empty()) {
        token_ = response->sessionToken;
    }
    if (response->status != Ok) {
        onRefusal(sent, *body);
        return;
    }
    onSuccess(sent, *body);
}

void LoadSession::lost(const Sent &sent)
{
    ++run_.report.transportErrors;
    if (sent.workClass->write && !sent.workClass->repeatable && !sent.resent) {
        ++records_[sent.group].unknownAdds;
    }
    pause(RetryDelay);
}

void LoadSession::onRefusal(const Sent &sent, const json::object &problem)
{
    if (!sent.resent) {
        ++run_.report.classes[sent.workClass->name].refused[textOf(problem, "kind")];
        if (sent.workClass->write && !sent.workClass->repeatable && textOf(problem, "ran") != "no") {
            ++records_[sent.group].unknownAdds;
        }
    }
    const json::value *after = problem.if_contains("retry_after_ms");
    const std::chrono::milliseconds wait(after != nullptr && after->is_int64() ? after->as_int64() : 0);
    pause(std::max<Duration>(wait, RetryDelay));
}

void LoadSession::onSuccess(const Sent &sent, const json::object &body)
{
    if (sent.resent) {
        pause(Duration::zero());
        return;
    }
    const Instant now = Clock::now();
    ClassReport &report = run_.report.classes[sent.workClass->name];
    ++report.succeeded;
    report.latenciesMs.push_back(std::chrono::duration<double, std::milli>(now - sent.startedAt).count());
    report.byReplica += textOf(body, "role") == "replica" ? 1 : 0;
    GroupRecord &record = records_[sent.group];
    if (!sent.workClass->write) {
        const bool stale = sent.workClass->ownKey && numberOf(body, "result") < record.acknowledgedValue;
        run_.report.staleOwnReads += stale ? 1 : 0;
        pause(Duration::zero());
        return;
    }
    if (sent.workClass->repeatable) {
        record.acknowledgedValue = std::max(record.acknowledgedValue, sent.value);
    } else {
        ++record.acknowledgedAdds;
    }
    if (Instant &last = run_.lastWriteAt[sent.group]; last != Instant {}) {
        double &gap = run_.report.longestWriteGapMs[sent.group];
        gap = std::max(gap, std::chrono::duration<double, std::milli>(now - last).count());
    }
    run_.lastWriteAt[sent.group] = now;
    if (!sent.workClass->repeatable
        && std::uniform_int_distribution<std::uint32_t>(1, Percent)(random_) <= run_.options.resendPercent) {
        resend(sent);
        return;
    }
    pause(Duration::zero());
}

void LoadSession::resend(Sent sent)
{
    ++run_.report.resent;
    sent.resent = true;
    sent.connectAttempts = 0;
    send(std::move(sent));
}

void LoadSession::pause(Duration delay)
{
    const Instant now = Clock::now();
    Instant at = now + delay;
    if (run_.options.ratePerSecond > 0) {
        const auto interval = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(run_.options.sessions) / run_.options.ratePerSecond));
        nextAt_ = std::max(nextAt_ + interval, now - interval);
        at = std::max(at, nextAt_);
    }
    if (at <= now) {
        next();
        return;
    }
    timer_.expires_after(at - Clock::now());
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            next();
        }
    });
}

void LoadSession::verify(std::size_t groupIndex)
{
    if (groupIndex < run_.options.groups.size()) {
        verifyKey(groupIndex, false);
    }
}

void LoadSession::verifyKey(std::size_t groupIndex, bool additions)
{
    const std::string &group = run_.options.groups[groupIndex];
    const GroupRecord record = records_[group];
    const auto proceed = [this, groupIndex, additions]() {
        if (additions) {
            verify(groupIndex + 1);
            return;
        }
        verifyKey(groupIndex, true);
    };
    // A read without freshness goes to the primary, which has what was acknowledged.
    const json::object body { { "service", run_.options.service }, { "class", run_.options.verifyClass },
        { "group", group }, { "kind", "read" }, { "statement", "get " + (additions ? addKey() : putKey()) },
        { "deadline_ms", run_.options.deadline.count() } };
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/statements";
    request.body = json::serialize(body);
    request.sessionToken = token_;
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, connections_.size() - 1)(random_);
    const auto again = [this, groupIndex, additions]() {
        if (++run_.report.verifyAttempts > VerifyAttempts * run_.options.sessions) {
            ++run_.report.unverified;
            return;
        }
        timer_.expires_after(RetryDelay);
        timer_.async_wait(
            [this, groupIndex, additions](const boost::system::error_code &) { verifyKey(groupIndex, additions); });
    };
    withConnection(entry, [this, request, record, additions, proceed, again](HttpConnection *connection) {
        if (connection == nullptr) {
            again();
            return;
        }
        connection->request(request, run_.options.deadline * 2,
            [this, record, additions, proceed, again](const std::optional<HttpResponse> &response) {
                const std::optional<json::object> answer = response ? bodyOf(*response) : std::nullopt;
                if (!answer || response->status != Ok) {
                    again();
                    return;
                }
                const std::uint64_t value = numberOf(*answer, "result");
                if (additions) {
                    run_.report.lostWrites += value < record.acknowledgedAdds ? record.acknowledgedAdds - value : 0;
                    const std::uint64_t most = record.acknowledgedAdds + record.unknownAdds;
                    run_.report.doubledWrites += value > most ? value - most : 0;
                } else {
                    run_.report.lostWrites += value < record.acknowledgedValue ? 1 : 0;
                }
                proceed();
            });
    });
}

} // namespace daisyrelay
