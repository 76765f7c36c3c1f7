// The end of an entry's drain.
#include "fakeservice.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Draining)
{
    FakeService service;

    void start(std::chrono::milliseconds timeout = 800ms)
    {
        service.configure(ReadGuarantee::Primary, timeout);
        service.sendTopology();
    }

    [[nodiscard]] bool hasLogged(std::string_view text) const
    {
        return std::any_of(service.logLines.begin(), service.logLines.end(),
            [text](const std::string &line) { return line.find(text) != std::string::npos; });
    }

    /// Advances the time until the drain has finished.
    void runUntilDrained(Duration grace)
    {
        for (const Instant end = service.now + grace; !service.core.isDrained(service.now) && service.now < end;) {
            service.run(10ms);
        }
        CHECK(service.core.isDrained(service.now));
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }
};

// Guards against a drain that ends without a trace of what it cut.
TEST(Draining, EndIsReportedByReason)
{
    start();
    const SessionId session = service.open("a");
    service.core.drain(service.now, 6s);
    service.servers["b0"].isSilent = true;
    const std::string statement = service.send(session, StatementType::Write, "x");
    service.run(20ms);
    service.core.reportDrainEnd(service.now, { 2, 100, 0, 7 });
    CHECK_EQUAL(1U, service.metrics.value("drain_cut_total{reason=\"pending\"}"));
    CHECK_EQUAL(0U, service.metrics.value("drain_cut_total{reason=\"pending-of-peer\"}"));
    CHECK_EQUAL(1U, service.metrics.value("drain_cut_total{reason=\"unsent\"}"));
    CHECK_EQUAL(0U, service.metrics.value("drain_cut_total{reason=\"unread\"}"));
    CHECK_EQUAL(1U, service.metrics.value("drain_cut_total{reason=\"unsent-to-peer\"}"));
    CHECK(hasLogged("event=request.cut request=" + statement));
    CHECK(hasLogged("event=drain.end"));
}

// Guards against a drain that ends by the clock while a statement waits for a server, which cuts it.
TEST(Draining, StatementHasResponseBeforeTheEnd)
{
    start();
    service.core.drain(service.now, 6s);
    service.servers["b0"].isSilent = true;
    const Instant startedAt = service.now;
    constexpr Duration Step = 100ms;
    std::vector<SessionId> sessions;
    while (!service.core.isDrained(service.now)) {
        sessions.push_back(service.open("c" + std::to_string(sessions.size())));
        if (service.callers[sessions.back()].isAccepted) {
            service.send(sessions.back(), StatementType::Write, "x");
        }
        service.run(Step);
    }
    CHECK(service.now - startedAt < 6s);
    for (const SessionId session : sessions) {
        CHECK_EQUAL(1, service.callers[session].responses.size());
    }
}

// Guards against an open transaction that is cut with its next statement pending.
TEST(Draining, TransactionHasResponseBeforeTheEnd)
{
    start();
    const SessionId session = service.open("a");
    service.send(session, StatementType::Begin);
    service.send(session, StatementType::Write, "x");
    service.run(50ms);
    CHECK_EQUAL(2, service.callers[session].responses.size());
    service.core.drain(service.now, 6s);
    service.run(5s);
    service.servers["b0"].isSilent = true;
    service.send(session, StatementType::Commit);
    runUntilDrained(1s);
    CHECK_EQUAL(3, service.callers[session].responses.size());
}

// Guards against a drain that cuts the statements of other entries' callers.
TEST(Draining, StatementOfOtherEntryHasResponseBeforeTheEnd)
{
    start();
    std::size_t responses = 0;
    service.onMessage = [&responses](const SendToEntry &message) {
        responses += std::holds_alternative<ForwardedStatementResponse>(message.message) ? 1 : 0;
    };
    service.core.drain(service.now, 6s);
    service.servers["b0"].isSilent = true;
    std::uint64_t sent = 0;
    while (!service.core.isDrained(service.now)) {
        ForwardedStatement request;
        request.sessionId = ++sent;
        request.sequence = sent;
        request.route.database = "db";
        request.route.service = ServiceId { "s" };
        request.route.guarantee = ReadGuarantee::Primary;
        request.route.timeout = 800ms;
        request.route.latencyTarget = 200ms;
        request.statement.id = "f" + std::to_string(sent);
        request.statement.type = StatementType::Write;
        request.statement.text = "x";
        request.needsPrimary = true;
        request.remainingTimeout = 770ms;
        request.maxQueueTime = 200ms;
        service.core.onForwardedStatement(service.now, VmId { "entry" }, request);
        service.performActions();
        service.run(100ms);
    }
    CHECK_EQUAL(sent, responses);
}
