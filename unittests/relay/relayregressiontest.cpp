// Regression tests of known failure modes in request processing.
#include "fakesystem.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(RelayRegressions)
{
    FakeSystem system;

    std::string tokenAfterWrite(int entry, const std::string &statement, const std::string &key)
    {
        const CallId call = system.call(entry, statement, "", key);
        system.advance(std::chrono::milliseconds(50));
        STRCMP_EQUAL("null", system.resultText(call).c_str());
        return system.response(call).token;
    }

    CallId readAt(int entry, const std::string &token = "")
    {
        const CallId call = system.call(entry, "get stock", token);
        system.advance(std::chrono::milliseconds(50));
        return call;
    }

    const StatementResult &resultOf(CallId call)
    {
        CHECK(system.responses.contains(call));
        CHECK(system.response(call).result.has_value());
        return *system.response(call).result;
    }
};

TEST(RelayRegressions, ReadWithFreshnessToleranceGoesToReplicaInSameZone)
{
    const CallId call = readAt(2);
    STRCMP_EQUAL("db2", resultOf(call).backend.value.c_str());
    CHECK_FALSE(resultOf(call).isFromPrimary);
}

TEST(RelayRegressions, ReplicaWithSessionWriteServesRead)
{
    const std::string token = tokenAfterWrite(1, "put stock 7", "k1");
    const CallId call = readAt(3, token);
    STRCMP_EQUAL("7", resultOf(call).resultJson.c_str());
    CHECK_FALSE(resultOf(call).isFromPrimary);
}

// Guards against a response that arrives after its deadline and is taken for the response to the next statement on the
// same pooled connection.
TEST(RelayRegressions, LateResponseOnPooledConnectionIsDiscarded)
{
    bool shouldDropResponses = true;
    system.chooseDelivery = [&](const std::string &kind) {
        return kind == "response" && shouldDropResponses ? DeliveryMode::Lose : DeliveryMode::Deliver;
    };
    const CallId first = system.call(2, "get first", "", "", std::chrono::milliseconds(100));
    system.deliverPending();
    system.advance(std::chrono::milliseconds(120));
    CHECK_EQUAL(1, system.responses[first].size());
    shouldDropResponses = false;
    const CallId second = readAt(2);
    // The response to the first statement arrives now, on a connection that the pool has closed.
    system.cores[2]->onBackendResponse(system.now, { 1, 1, BackendOutcome::Succeeded, "\"not yours\"", { 1, 1 } });
    STRCMP_EQUAL("0", system.resultText(second).c_str());
    CHECK_EQUAL(1, system.responses[first].size());
    CHECK_EQUAL(1, system.responses[second].size());
    CHECK(system.counters[2]->value("answers.discarded") > 0);
}

// Guards against a crashed entry that leaves its transaction open in the database.
TEST(RelayRegressions, CrashedEntryReleasesOpenTransaction)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.sendRequest(2, begin);
    system.advance(std::chrono::milliseconds(50));
    const TransactionId id = resultOf(opened).transaction;
    CHECK_EQUAL(1, system.databases[1].transactions.size());
    system.kill(1); // VM 1 holds the transaction as the home of the primary.
    CHECK_EQUAL(0, system.databases[1].transactions.size());
    StatementRequest statement;
    statement.transaction = id;
    statement.kind = StatementKind::Write;
    statement.statement = "put stock 1";
    const CallId later = system.sendRequest(2, statement);
    system.advance(std::chrono::milliseconds(100));
    STRCMP_EQUAL("transaction-lost", system.resultText(later).c_str());
    CHECK_EQUAL(0, system.databases[1].executions.size());
}

TEST(RelayRegressions, IdleTransactionExpiresAndReleasesConnection)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.sendRequest(1, begin);
    system.advance(std::chrono::milliseconds(50));
    const TransactionId id = resultOf(opened).transaction;
    system.advance(std::chrono::seconds(11));
    CHECK_EQUAL(0, system.databases[1].transactions.size());
    CHECK(system.cores[1]->isIdle());
    StatementRequest commit;
    commit.transaction = id;
    commit.action = StatementAction::Commit;
    const CallId late = system.sendRequest(1, commit);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("transaction-expired", system.resultText(late).c_str());
}

TEST(RelayRegressions, CommitWithLostResponseIsOutcomeUnknown)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.sendRequest(1, begin);
    system.advance(std::chrono::milliseconds(50));
    StatementRequest commit;
    commit.transaction = resultOf(opened).transaction;
    commit.action = StatementAction::Commit;
    commit.timeLeft = std::chrono::milliseconds(100);
    system.chooseDelivery
        = [](const std::string &kind) { return kind == "response" ? DeliveryMode::Lose : DeliveryMode::Deliver; };
    const CallId first = system.sendRequest(1, commit);
    system.advance(std::chrono::milliseconds(150));
    STRCMP_EQUAL("outcome-unknown", system.resultText(first).c_str());
    const CallId again = system.sendRequest(1, commit);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("outcome-unknown", system.resultText(again).c_str());
}

TEST(RelayRegressions, ConcurrentStatementInTransactionIsRejected)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.sendRequest(1, begin);
    system.advance(std::chrono::milliseconds(50));
    StatementRequest statement;
    statement.transaction = resultOf(opened).transaction;
    statement.kind = StatementKind::Write;
    statement.statement = "put stock 1";
    const CallId first = system.sendRequest(1, statement);
    const CallId second = system.sendRequest(1, statement);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("transaction-busy", system.resultText(second).c_str());
    CHECK(system.response(first).result.has_value());
}

// Guards against an isolated zone that serves stale reads or accepts writes after its lease has expired.
TEST(RelayRegressions, IsolatedZoneServesFreshReadsAndRefusesWrites)
{
    readAt(2);
    system.isolate(2);
    // The lease has expired; the last position of the primary is 1.2 s old.
    system.advance(std::chrono::milliseconds(1200));
    const CallId read = system.call(2, "get stock");
    const CallId write = system.call(2, "put stock 1", "", "alone");
    system.deliverPending();
    system.advance(std::chrono::milliseconds(20));
    STRCMP_EQUAL("db2", resultOf(read).backend.value.c_str());
    STRCMP_EQUAL("no-lease", system.resultText(write).c_str());
    CHECK(errorResponseFor(ErrorKind::NoLease).executed == Executed::No);
    // The last position is now older than the two seconds that the class tolerates.
    system.advance(std::chrono::milliseconds(1500));
    const CallId stale = system.call(2, "get stock");
    system.advance(std::chrono::milliseconds(20));
    CHECK_FALSE(system.response(stale).result.has_value());
}

// Guards against an overload of the primary by the reads of all lagging replicas.
TEST(RelayRegressions, LaggingReplicasDoNotOverloadPrimaryWithReads)
{
    system.lagging[2] = 1;
    system.lagging[3] = 1;
    for (int round = 0; round < 20; ++round) {
        system.databases[1].log.push_back({ 1, "put stock " + std::to_string(round) });
        system.advance(std::chrono::milliseconds(200));
    }
    int primaryReads = 0;
    system.chooseDelivery
        = [&](const std::string &kind) { return kind == "response" ? DeliveryMode::Delay : DeliveryMode::Deliver; };
    constexpr int Reads = 100;
    std::vector<CallId> calls;
    calls.reserve(Reads);
    for (int read = 0; read < Reads; ++read) {
        calls.push_back(system.call(1 + read % 3, "get stock"));
    }
    system.deliverPending();
    std::uint64_t fallbackRuns = system.counters[1]->value("fallback.run");
    CHECK_EQUAL(1, fallbackRuns); // Fallback reads may use half of the two slots.
    system.chooseDelivery = nullptr;
    system.advance(std::chrono::milliseconds(500));
    int refusedReads = 0;
    for (const CallId call : calls) {
        CHECK_EQUAL(1, system.responses[call].size());
        if (system.response(call).result) {
            CHECK(resultOf(call).isFromPrimary);
            STRCMP_EQUAL("19", resultOf(call).resultJson.c_str());
            ++primaryReads;
        } else {
            STRCMP_EQUAL("too-stale", system.resultText(call).c_str());
            CHECK(system.response(call).result.error().retryAfterMs > 0);
            ++refusedReads;
        }
    }
    CHECK(primaryReads > 0);
    CHECK(refusedReads > 80);
    CHECK(system.counters[1]->value("fallback.refused") > 0);
}

// Guards against retries that multiply the load on a failing group.
TEST(RelayRegressions, FailingGroupStaysWithinRetryBudget)
{
    system.databases[1].isReachable = false;
    for (int request = 0; request < 200; ++request) {
        StatementRequest write;
        write.group = FakeSystem::group();
        write.classId = ClassId { "lookups" };
        write.kind = StatementKind::Write;
        write.statement = "put stock 1";
        write.timeLeft = std::chrono::milliseconds(300);
        system.sendRequest(1, write);
        system.advance(std::chrono::milliseconds(20));
    }
    system.advance(std::chrono::seconds(1));
    std::uint64_t retries = 0;
    for (const auto &[name, value] : system.counters[1]->snapshot()) {
        retries += name.starts_with("retried.") ? value : 0;
    }
    CHECK(retries <= 20);
    for (const auto &[call, responses] : system.responses) {
        CHECK_EQUAL(1, responses.size());
    }
}

TEST(RelayRegressions, WriteLostInFailoverIsReportedOnceToSession)
{
    system.lagging[2] = 1;
    system.lagging[3] = 1;
    // A write by another proxy that only the old primary has.
    system.databases[1].log.push_back({ 1, "put stock 9" });
    system.advance(std::chrono::milliseconds(300));
    StatementRequest strict;
    strict.group = FakeSystem::group();
    strict.classId = ClassId { "reservations" };
    strict.kind = StatementKind::Read;
    strict.statement = "get stock";
    const CallId seen = system.sendRequest(1, strict);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("9", system.resultText(seen).c_str());
    system.databases[1].isReachable = false;
    system.failOver(2);
    const CallId lost = readAt(3, system.response(seen).token);
    STRCMP_EQUAL("lost-write", system.resultText(lost).c_str());
    system.lagging.clear();
    system.advance(std::chrono::milliseconds(500));
    const CallId after = readAt(3, system.response(lost).token);
    STRCMP_EQUAL("0", system.resultText(after).c_str());
}
