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
TEST_GROUP(BackendClient)
{
    const Endpoint address = ownAddress();
    Counters counters;
    EventLoopThread thread { "backend", counters };
    std::vector<ConnectionId> openedConnections;
    std::vector<ConnectionId> closedConnections;
    std::vector<BackendStatementResponse> responses;
    std::function<void(const HttpRequest &, const HttpResponseCallback &)> handleStatement;
    bool isStatusAvailable = true;
    int statementCount = 0;
    HttpServer server { thread.context(), {},
        [this](const HttpRequest &request, const HttpResponseCallback &respond) { serve(request, respond); } };
    FaultInjector faults;
    BackendClient client { thread, counters, faults,
        { [this](ConnectionId id) { openedConnections.push_back(id); },
            [this](ConnectionId id) { closedConnections.push_back(id); },
            [this](BackendStatementResponse response) { responses.push_back(std::move(response)); },
            [](const BackendId &, std::optional<LogPoint>) {} } };

    void setup() override
    {
        CHECK(server.listen(address).has_value());
        client.connect({ BackendId { "db" }, 1, address });
        pollUntil([this]() { return !openedConnections.empty(); });
    }

    void serve(const HttpRequest &request, const HttpResponseCallback &respond)
    {
        if (request.method == "GET") {
            respond({ isStatusAvailable ? 200 : 503, "application/json",
                R"({"role":"primary","term":1,"position":1,"leaving":false})", "", 0 });
            return;
        }
        ++statementCount;
        handleStatement(request, respond);
    }

    void pollUntil(const std::function<bool()> &done)
    {
        while (!done()) {
            thread.context().run_one();
        }
    }

    void send(WorkId work, const std::string &requestId)
    {
        SendStatement action { 1, work, {} };
        action.statement.requestId = requestId;
        action.statement.statement = "get s0";
        client.send(action);
    }

    static std::string result(const std::string &requestId, int value)
    {
        return R"({"request":")" + requestId + R"(","result":)" + std::to_string(value) + R"(,"term":1,"position":1})";
    }
};

/// The answer to a request that timed out earlier arrives in place of the awaited one.
TEST(BackendClient, TrapSixALateAnswerOnAPooledConnectionReachesNobody)
{
    handleStatement = [](const HttpRequest &, const HttpResponseCallback &respond) {
        respond({ 200, "application/json", result("earlier", 42), "", 0 });
    };
    send(7, "awaited");
    pollUntil([this]() { return !responses.empty(); });
    CHECK_EQUAL(7, responses.front().work);
    CHECK(responses.front().outcome == BackendOutcome::Lost);
    CHECK(responses.front().resultJson.empty());
    CHECK_EQUAL(1, closedConnections.front());
    CHECK_EQUAL(1, counters.value("answers.mismatched"));
    CHECK_EQUAL(1, responses.size());
}

TEST(BackendClient, AnAnswerGoesToItsRequest)
{
    handleStatement = [](const HttpRequest &, const HttpResponseCallback &respond) {
        respond({ 200, "application/json", result("awaited", 42), "", 0 });
    };
    send(7, "awaited");
    pollUntil([this]() { return !responses.empty(); });
    CHECK(responses.front().outcome == BackendOutcome::Succeeded);
    STRCMP_EQUAL("42", responses.front().resultJson.c_str());
    CHECK(closedConnections.empty());
}

TEST(BackendClient, AConnectionThatDiedWhileIdleIsClosedBeforeItCarriesAStatement)
{
    client.setMaxUnprobedIdle(Duration::zero());
    isStatusAvailable = false;
    send(7, "awaited");
    pollUntil([this]() { return !responses.empty(); });
    CHECK(responses.front().outcome == BackendOutcome::Busy);
    CHECK_EQUAL(0, statementCount);
    CHECK_EQUAL(1, counters.value("connections.died-idle"));
}

TEST(BackendClient, AClosedConnectionLosesTheAnswerButNotTheReport)
{
    handleStatement
        = [this](const HttpRequest &request, const HttpResponseCallback &) { server.close(request.connectionId); };
    send(7, "awaited");
    pollUntil([this]() { return !responses.empty(); });
    CHECK(responses.front().outcome == BackendOutcome::Lost);
}
