#include "daisyrelay/load/loadrunner.h"

#include "daisyrelay/net.h"

#include <iostream>
#include <numeric>
#include <random>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
static constexpr Duration RetryDelay = std::chrono::milliseconds(20);
static constexpr int Ok = 200;

namespace {

/// What one request asked for.
struct SentRequest {
    const LoadClass *workClass = nullptr;
    std::string group;
    std::uint64_t value = 0; ///< The number that a write puts.
    Instant startedAt;
};

/// State shared by all sessions of a run.
struct RunState {
    const LoadOptions &options;
    asio::io_context &context;
    LoadReport &report;
    Instant startedAt;
    Instant endsAt;
    std::map<std::string, Instant> lastWriteAt;
    std::uint64_t unanswered = 0;
};

/// One caller session, which moves to another entry with each request.
class LoadSession
{
public:
    LoadSession(RunState &run, std::uint32_t number);

    void next();

    /// Reads back the last acknowledged write of each group.
    void verify(std::size_t groupIndex);

private:
    [[nodiscard]] const LoadClass &pickClass();
    [[nodiscard]] HttpRequest build(SentRequest &sent);
    void send(HttpRequest request, const SentRequest &sent);
    void onAnswer(const SentRequest &sent, const std::optional<HttpResponse> &response);
    void onSuccess(const SentRequest &sent, const json::object &body);
    void pause(Duration delay);
    void withConnection(std::size_t entry, const std::function<void(HttpConnection *)> &use);

    RunState &run_;
    std::uint32_t number_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<HttpConnection>> connections_;
    std::string token_;
    std::uint64_t nextValue_ = 1;
    std::uint64_t nextKey_ = 1;
    std::map<std::string, std::uint64_t> acknowledged_; ///< Highest value acknowledged, by group.
    asio::steady_timer timer_;
    Instant nextAt_;
};

} // namespace

LoadSession::LoadSession(RunState &run, std::uint32_t number)
    : run_(run)
    , number_(number)
    , random_(run.options.seed * 1000003 + number)
    , connections_(run.options.entries.size())
    , timer_(run.context)
    , nextAt_(Clock::now())
{
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

HttpRequest LoadSession::build(SentRequest &sent)
{
    const LoadClass &workClass = *sent.workClass;
    const std::string ownKey = "s" + std::to_string(number_);
    json::object body { { "service", run_.options.service }, { "class", workClass.name }, { "group", sent.group },
        { "kind", workClass.write ? "write" : "read" }, { "repeatable", workClass.repeatable },
        { "deadline_ms", run_.options.deadline.count() } };
    if (workClass.write) {
        sent.value = nextValue_++;
        body["statement"] = "put " + ownKey + " " + std::to_string(sent.value);
    } else {
        body["statement"] = "get " + (workClass.ownKey ? ownKey : "s0");
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/statements";
    request.body = json::serialize(body);
    request.sessionToken = token_;
    if (!workClass.repeatable) {
        request.idempotencyKey = std::to_string(run_.options.seed) + "-" + ownKey + "-" + std::to_string(nextKey_++);
    }
    return request;
}

void LoadSession::next()
{
    if (Clock::now() >= run_.endsAt) {
        return;
    }
    SentRequest sent;
    sent.workClass = &pickClass();
    const std::vector<std::string> &groups = run_.options.groups;
    sent.group = groups[std::uniform_int_distribution<std::size_t>(0, groups.size() - 1)(random_)];
    sent.startedAt = Clock::now();
    HttpRequest request = build(sent);
    send(std::move(request), sent);
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

void LoadSession::send(HttpRequest request, const SentRequest &sent)
{
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, connections_.size() - 1)(random_);
    withConnection(entry, [this, request = std::move(request), sent](HttpConnection *connection) {
        if (connection == nullptr) {
            ++run_.report.transportErrors;
            pause(RetryDelay);
            return;
        }
        connection->request(request, run_.options.deadline * 2,
            [this, sent](const std::optional<HttpResponse> &response) { onAnswer(sent, response); });
    });
}

void LoadSession::onAnswer(const SentRequest &sent, const std::optional<HttpResponse> &response)
{
    ClassReport &report = run_.report.classes[sent.workClass->name];
    if (!response) {
        ++run_.report.transportErrors;
        pause(RetryDelay);
        return;
    }
    if (!response->sessionToken.empty()) {
        token_ = response->sessionToken;
    }
    boost::system::error_code error;
    const json::value value = json::parse(response->body, error);
    if (error || !value.is_object()) {
        ++run_.report.transportErrors;
        pause(RetryDelay);
        return;
    }
    if (response->status != Ok) {
        const json::value *kind = value.as_object().if_contains("kind");
        ++report.refused[kind != nullptr && kind->is_string() ? std::string(kind->as_string()) : "unknown"];
        const json::value *after = value.as_object().if_contains("retry_after_ms");
        const auto wait = std::chrono::milliseconds(after != nullptr && after->is_int64() ? after->as_int64() : 0);
        pause(std::max<Duration>(wait, RetryDelay));
        return;
    }
    onSuccess(sent, value.as_object());
    pause(Duration::zero());
}

static std::uint64_t numberIn(const json::value *value)
{
    if (value == nullptr || !value->is_string()) {
        return 0;
    }
    return std::strtoull(value->as_string().c_str(), nullptr, 10);
}

void LoadSession::onSuccess(const SentRequest &sent, const json::object &body)
{
    const Instant now = Clock::now();
    ClassReport &report = run_.report.classes[sent.workClass->name];
    ++report.succeeded;
    report.latenciesMs.push_back(std::chrono::duration<double, std::milli>(now - sent.startedAt).count());
    const json::value *role = body.if_contains("role");
    if (role != nullptr && role->is_string() && role->as_string() == "replica") {
        ++report.byReplica;
    }
    if (sent.workClass->write) {
        acknowledged_[sent.group] = std::max(acknowledged_[sent.group], sent.value);
        Instant &last = run_.lastWriteAt[sent.group];
        double &gap = run_.report.longestWriteGapMs[sent.group];
        if (last != Instant {}) {
            gap = std::max(gap, std::chrono::duration<double, std::milli>(now - last).count());
        }
        last = now;
        return;
    }
    if (sent.workClass->ownKey && numberIn(body.if_contains("result")) < acknowledged_[sent.group]) {
        ++run_.report.staleOwnReads;
    }
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
    timer_.expires_at(at);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            next();
        }
    });
}

void LoadSession::verify(std::size_t groupIndex)
{
    if (groupIndex >= run_.options.groups.size()) {
        return;
    }
    const std::string group = run_.options.groups[groupIndex];
    const auto expected = acknowledged_.find(group);
    if (expected == acknowledged_.end()) {
        verify(groupIndex + 1);
        return;
    }
    LoadClass check { run_.options.classes.front().name, false, true, 1, true };
    SentRequest sent { &check, group, 0, Clock::now() };
    const HttpRequest request = build(sent);
    withConnection(0, [this, request, groupIndex, value = expected->second](HttpConnection *connection) {
        if (connection == nullptr) {
            ++run_.unanswered;
            return;
        }
        connection->request(
            request, run_.options.deadline * 2, [this, groupIndex, value](const std::optional<HttpResponse> &response) {
                if (!response || response->status != Ok) {
                    ++run_.unanswered;
                } else if (const json::value body = json::parse(response->body);
                           numberIn(body.as_object().if_contains("result")) < value) {
                    ++run_.report.lostWrites;
                }
                verify(groupIndex + 1);
            });
    });
}

static void printProgress(const RunState &run)
{
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    for (const auto &[name, report] : run.report.classes) {
        succeeded += report.succeeded;
        for (const auto &[kind, count] : report.refused) {
            refused += count;
        }
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - run.startedAt);
    std::cerr << elapsed.count() << "s ok " << succeeded << " refused " << refused << "\n";
}

static void scheduleProgress(asio::steady_timer &timer, const RunState &run)
{
    timer.expires_after(std::chrono::seconds(1));
    timer.async_wait([&timer, &run](const boost::system::error_code &error) {
        if (error || Clock::now() >= run.endsAt) {
            return;
        }
        printProgress(run);
        scheduleProgress(timer, run);
    });
}

LoadReport runLoad(const LoadOptions &options)
{
    LoadReport report;
    asio::io_context context(1);
    RunState run { options, context, report, Clock::now(), Clock::now() + options.duration, {}, 0 };
    std::vector<std::unique_ptr<LoadSession>> sessions;
    for (std::uint32_t number = 0; number < options.sessions; ++number) {
        sessions.push_back(std::make_unique<LoadSession>(run, number));
        sessions.back()->next();
    }
    asio::steady_timer progress(context);
    if (options.progress) {
        scheduleProgress(progress, run);
    }
    context.run();
    report.seconds = std::chrono::duration<double>(Clock::now() - run.startedAt).count();
    for (const auto &[group, last] : run.lastWriteAt) {
        double &gap = report.longestWriteGapMs[group];
        gap = std::max(gap, std::chrono::duration<double, std::milli>(run.endsAt - last).count());
    }
    context.restart();
    for (const std::unique_ptr<LoadSession> &session : sessions) {
        session->verify(0);
    }
    context.run();
    report.transportErrors += run.unanswered;
    return report;
}

} // namespace daisyrelay
