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

    /// Sends a write of another entry's caller; \p beginsTransaction makes it the first one of a transaction.
    void forwardWrite(std::uint64_t id, bool beginsTransaction)
    {
        ForwardedStatement request;
        request.sessionId = id;
        request.sequence = id;
        request.route.database = "db";
        request.route.service = ServiceId { "s" };
        request.route.guarantee = ReadGuarantee::Primary;
        request.route.timeout = 800ms;
        request.route.latencyTarget = 200ms;
        request.statement.id = "f" + std::to_string(id);
        request.statement.type = StatementType::Write;
        request.statement.text = "x";
        request.needsPrimary = true;
        request.inTransaction = beginsTransaction;
        request.beginsTransaction = beginsTransaction;
        request.remainingTimeout = 770ms;
        request.maxQueueTime = 200ms;
        service.core.onForwardedStatement(service.now, VmId { "entry" }, request);
        service.performActions();
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
        forwardWrite(++sent, false);
        service.run(100ms);
    }
    CHECK_EQUAL(sent, responses);
}

// Guards against a running statement that keeps its whole timeout although the drain ends before.
TEST(Draining, RunningStatementHasResponseBeforeTheEnd)
{
    start(10s);
    const SessionId stuck = service.open("a");
    const SessionId other = service.open("b");
    service.core.drain(service.now, 6s);
    service.run(1s);
    service.stuckStatements.insert(service.send(stuck, StatementType::Read, "x"));
    while (!service.core.isDrained(service.now)) {
        if (!service.callers[other].isClosed) {
            service.send(other, StatementType::Read, "x");
        }
        service.run(10ms);
    }
    CHECK_EQUAL(1, service.callers[stuck].responses.size());
}

// Guards against a drain that rejects statements for which there is time.
TEST(Draining, StatementsRunWhileThereIsTime)
{
    start();
    const SessionId session = service.open("a");
    service.core.drain(service.now, 6s);
    service.run(1s);
    service.send(session, StatementType::Write, "x");
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    service.run(3s);
    const SessionId late = service.open("b");
    service.send(late, StatementType::Write, "x");
    CHECK(service.awaitResponse(late).code == ResponseCode::Ok);
}

// Guards against work that is accepted although the drain ends before it can finish.
TEST(Draining, NewWorkIsRejectedWhereNoTimeIsLeft)
{
    start();
    service.core.drain(service.now, 6s);
    service.run(4700ms);
    const SessionId session = service.open("a");
    CHECK(service.callers[session].isAccepted);
    service.send(session, StatementType::Begin);
    const CallerResponse response = service.awaitResponse(session);
    CHECK(response.code == ResponseCode::Busy);
    CHECK(response.state == TransactionState::Idle);
    service.run(300ms);
    CHECK(service.callers[service.open("b")].isRejected);
}

// Guards against a session that waits for a configuration when the process ends.
TEST(Draining, SessionIsRejectedWithoutConfiguration)
{
    service.core.drain(service.now, 6s);
    service.run(5710ms);
    CHECK(service.core.mustEnd(service.now));
    CHECK(service.callers[service.open("a")].isRejected);
}

// Guards against a session that stays at the home of another entry whose transaction never began there.
TEST(Draining, RejectedTransactionOfOtherEntryLeavesNoSession)
{
    start();
    for (const char *server : { "b0", "b1", "b2" }) {
        service.servers[server].isBusy = true;
    }
    forwardWrite(1, true);
    service.run(1s);
    CHECK_EQUAL(0, service.core.sessionCount());
}

// Guards against a transaction of another entry that holds the drain to the end of the grace period.
TEST(Draining, IdleTransactionOfOtherEntryEndsWhenResponsesAreDue)
{
    start();
    forwardWrite(1, true);
    service.run(100ms);
    CHECK_EQUAL(1, service.core.sessionCount());
    service.core.drain(service.now, 6s);
    service.run(5300ms);
    CHECK(service.core.isDrained(service.now));
    CHECK(!service.core.mustEnd(service.now));
}
