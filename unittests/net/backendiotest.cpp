#include "backendio.h"

#include "daisyrelay/net.h"

#include <functional>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static constexpr std::uint16_t FakePort = 20390;

/// Returns a loopback address of this process alone, so that runs at the same time do not meet.
static Endpoint ownAddress()
{
    constexpr int ByteValues = 256;
    const int pid = getpid();
    return { "127." + std::to_string(1 + pid / ByteValues / ByteValues % 200) + "."
            + std::to_string(pid / ByteValues % ByteValues) + "." + std::to_string(pid % ByteValues),
        FakePort };
}

/// A backend server on loopback that answers as the test tells it; everything runs on the test's thread.
TEST_GROUP(BackendIo)
{
    const Endpoint address = ownAddress();
    Counters counters;
    Duty duty { "backend", counters };
    std::vector<ConnectionId> opened;
    std::vector<ConnectionId> closed;
    std::vector<BackendResponse> replies;
    std::function<void(const HttpRequest &, const HttpReply &)> answer;
    bool statusAnswers = true;
    int statements = 0;
    HttpServer server { duty.context(), {},
        [this](const HttpRequest &request, const HttpReply &reply) { serve(request, reply); } };
    FaultPlan faults;
    BackendIo io { duty, counters, faults,
        { [this](ConnectionId id) { opened.push_back(id); }, [this](ConnectionId id) { closed.push_back(id); },
            [this](BackendResponse reply) { replies.push_back(std::move(reply)); },
            [](const BackendId &, std::optional<LogPoint>) {} } };

    void setup() override
    {
        CHECK(server.listen(address).has_value());
        io.connect({ BackendId { "db" }, 1, address });
        pollUntil([this]() { return !opened.empty(); });
    }

    void serve(const HttpRequest &request, const HttpReply &reply)
    {
        if (request.method == "GET") {
            reply({ statusAnswers ? 200 : 503, "application/json",
                R"({"role":"primary","term":1,"position":1,"leaving":false})", "", 0 });
            return;
        }
        ++statements;
        answer(request, reply);
    }

    void pollUntil(const std::function<bool()> &done)
    {
        while (!done()) {
            duty.context().run_one();
        }
    }

    void send(WorkId work, const std::string &requestId)
    {
        SendStatement action { 1, work, {} };
        action.statement.requestId = requestId;
        action.statement.statement = "get s0";
        io.send(action);
    }

    static std::string result(const std::string &requestId, int value)
    {
        return R"({"request":")" + requestId + R"(","result":)" + std::to_string(value) + R"(,"term":1,"position":1})";
    }
};

/// The answer to a request that timed out earlier arrives in place of the awaited one.
TEST(BackendIo, TrapSixALateAnswerOnAPooledConnectionReachesNobody)
{
    answer = [](const HttpRequest &, const HttpReply &reply) {
        reply({ 200, "application/json", result("earlier", 42), "", 0 });
    };
    send(7, "awaited");
    pollUntil([this]() { return !replies.empty(); });
    CHECK_EQUAL(7, replies.front().work);
    CHECK(replies.front().outcome == BackendOutcome::Lost);
    CHECK(replies.front().resultJson.empty());
    CHECK_EQUAL(1, closed.front());
    CHECK_EQUAL(1, counters.value("answers.mismatched"));
    CHECK_EQUAL(1, replies.size());
}

TEST(BackendIo, AnAnswerGoesToItsRequest)
{
    answer = [](const HttpRequest &, const HttpReply &reply) {
        reply({ 200, "application/json", result("awaited", 42), "", 0 });
    };
    send(7, "awaited");
    pollUntil([this]() { return !replies.empty(); });
    CHECK(replies.front().outcome == BackendOutcome::Succeeded);
    STRCMP_EQUAL("42", replies.front().resultJson.c_str());
    CHECK(closed.empty());
}

TEST(BackendIo, AConnectionThatDiedWhileIdleIsClosedBeforeItCarriesAStatement)
{
    io.setTrustedIdle(Duration::zero());
    statusAnswers = false;
    send(7, "awaited");
    pollUntil([this]() { return !replies.empty(); });
    CHECK(replies.front().outcome == BackendOutcome::Busy);
    CHECK_EQUAL(0, statements);
    CHECK_EQUAL(1, counters.value("connections.died-idle"));
}

TEST(BackendIo, AClosedConnectionLosesTheAnswerButNotTheReport)
{
    answer = [this](const HttpRequest &request, const HttpReply &) { server.close(request.connectionId); };
    send(7, "awaited");
    pollUntil([this]() { return !replies.empty(); });
    CHECK(replies.front().outcome == BackendOutcome::Lost);
}
