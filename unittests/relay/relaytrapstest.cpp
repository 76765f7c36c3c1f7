// The traps of the design that belong to the request path, each caused on purpose.
#include "fakesystem.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(RelayTraps)
{
    FakeSystem system;

    std::string tokenAfterWrite(int entry, const std::string &statement, const std::string &key)
    {
        const CallId call = system.call(entry, statement, "", key);
        system.advance(std::chrono::milliseconds(50));
        STRCMP_EQUAL("null", system.text(call).c_str());
        return system.answer(call).token;
    }

    CallId readAt(int entry, const std::string &token = "")
    {
        const CallId call = system.call(entry, "get stock", token);
        system.advance(std::chrono::milliseconds(50));
        return call;
    }

    const StatementResult &resultOf(CallId call)
    {
        CHECK(system.answers.contains(call));
        CHECK(system.answer(call).answer.has_value());
        return *system.answer(call).answer;
    }
};

TEST(RelayTraps, ATolerantReadGoesToTheReplicaOfItsZone)
{
    const CallId call = readAt(2);
    STRCMP_EQUAL("db2", resultOf(call).backend.value.c_str());
    CHECK_FALSE(resultOf(call).isFromPrimary);
}

TEST(RelayTraps, AReplicaThatHasTheSessionsWriteAnswersIt)
{
    const std::string token = tokenAfterWrite(1, "put stock 7", "k1");
    const CallId call = readAt(3, token);
    STRCMP_EQUAL("7", resultOf(call).resultJson.c_str());
    CHECK_FALSE(resultOf(call).isFromPrimary);
}

// Trap 6.
TEST(RelayTraps, ALateAnswerOnAPooledConnectionReachesNobody)
{
    bool holdReplies = true;
    system.fate = [&](const std::string &what) { return what == "reply" && holdReplies ? Fate::Lose : Fate::Deliver; };
    const CallId first = system.call(2, "get first", "", "", std::chrono::milliseconds(100));
    system.settle();
    system.advance(std::chrono::milliseconds(120));
    CHECK_EQUAL(1, system.answers[first].size());
    holdReplies = false;
    const CallId second = readAt(2);
    // The answer to the first statement arrives now, on a connection that the pool has given up.
    system.cores[2]->onBackendReply(system.now, { 1, 1, BackendOutcome::Succeeded, "\"not yours\"", { 1, 1 } });
    STRCMP_EQUAL("0", system.text(second).c_str());
    CHECK_EQUAL(1, system.answers[first].size());
    CHECK_EQUAL(1, system.answers[second].size());
    CHECK(system.counters[2]->value("answers.discarded") > 0);
}

// Trap 9.
TEST(RelayTraps, AnEntryThatDiesWithATransactionOpenFreesTheDatabase)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.callRequest(2, begin);
    system.advance(std::chrono::milliseconds(50));
    const TransactionId id = resultOf(opened).transaction;
    CHECK_EQUAL(1, system.databases[1].transactions.size());
    system.kill(1); // The holder: the home of the primary.
    CHECK_EQUAL(0, system.databases[1].transactions.size());
    StatementRequest statement;
    statement.transaction = id;
    statement.kind = StatementKind::Write;
    statement.statement = "put stock 1";
    const CallId later = system.callRequest(2, statement);
    system.advance(std::chrono::milliseconds(100));
    STRCMP_EQUAL("transaction-lost", system.text(later).c_str());
    CHECK_EQUAL(0, system.databases[1].executions.size());
}

TEST(RelayTraps, AnIdleTransactionExpiresAndFreesItsConnection)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.callRequest(1, begin);
    system.advance(std::chrono::milliseconds(50));
    const TransactionId id = resultOf(opened).transaction;
    system.advance(std::chrono::seconds(11));
    CHECK_EQUAL(0, system.databases[1].transactions.size());
    CHECK(system.cores[1]->idle());
    StatementRequest commit;
    commit.transaction = id;
    commit.action = StatementAction::Commit;
    const CallId late = system.callRequest(1, commit);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("transaction-expired", system.text(late).c_str());
}

TEST(RelayTraps, ACommitWhoseAnswerIsLostIsUnknownAndNeverTransactionUnknown)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.callRequest(1, begin);
    system.advance(std::chrono::milliseconds(50));
    StatementRequest commit;
    commit.transaction = resultOf(opened).transaction;
    commit.action = StatementAction::Commit;
    commit.timeLeft = std::chrono::milliseconds(100);
    system.fate = [](const std::string &what) { return what == "reply" ? Fate::Lose : Fate::Deliver; };
    const CallId first = system.callRequest(1, commit);
    system.advance(std::chrono::milliseconds(150));
    STRCMP_EQUAL("outcome-unknown", system.text(first).c_str());
    const CallId again = system.callRequest(1, commit);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("outcome-unknown", system.text(again).c_str());
}

TEST(RelayTraps, ASecondStatementAtOnceIsRefusedAndTheFirstGoesOn)
{
    StatementRequest begin;
    begin.group = FakeSystem::group();
    begin.classId = ClassId { "reservations" };
    begin.kind = StatementKind::Write;
    begin.action = StatementAction::Begin;
    const CallId opened = system.callRequest(1, begin);
    system.advance(std::chrono::milliseconds(50));
    StatementRequest statement;
    statement.transaction = resultOf(opened).transaction;
    statement.kind = StatementKind::Write;
    statement.statement = "put stock 1";
    const CallId first = system.callRequest(1, statement);
    const CallId second = system.callRequest(1, statement);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("transaction-busy", system.text(second).c_str());
    CHECK(system.answer(first).answer.has_value());
}

// Trap 11.
TEST(RelayTraps, AZoneAloneReadsWithinFreshnessAndRefusesWritesAtOnce)
{
    readAt(2);
    system.isolate(2);
    system.advance(std::chrono::milliseconds(1200)); // The lease has run out, the last measurement is 1.2 s old.
    const CallId read = system.call(2, "get stock");
    const CallId write = system.call(2, "put stock 1", "", "alone");
    system.settle();
    system.advance(std::chrono::milliseconds(20));
    STRCMP_EQUAL("db2", resultOf(read).backend.value.c_str());
    STRCMP_EQUAL("no-lease", system.text(write).c_str());
    CHECK(errorResponseFor(ErrorKind::NoLease).executed == Executed::No);
    system.advance(std::chrono::milliseconds(1500)); // Older than the two seconds that the class tolerates.
    const CallId stale = system.call(2, "get stock");
    system.advance(std::chrono::milliseconds(20));
    CHECK_FALSE(system.answer(stale).answer.has_value());
}

// Trap 12.
TEST(RelayTraps, ReadsDoNotStampedeThePrimaryWhenAllReplicasAreFarBehind)
{
    system.lag[2] = 1;
    system.lag[3] = 1;
    for (int round = 0; round < 20; ++round) {
        system.databases[1].log.push_back({ 1, "put stock " + std::to_string(round) });
        system.advance(std::chrono::milliseconds(200));
    }
    int atPrimary = 0;
    system.fate = [&](const std::string &what) { return what == "reply" ? Fate::Delay : Fate::Deliver; };
    constexpr int Reads = 100;
    std::vector<CallId> calls;
    calls.reserve(Reads);
    for (int read = 0; read < Reads; ++read) {
        calls.push_back(system.call(1 + read % 3, "get stock"));
    }
    system.settle();
    std::uint64_t run = system.counters[1]->value("fallback.run");
    CHECK_EQUAL(1, run); // Half of the two slots.
    system.fate = nullptr;
    system.advance(std::chrono::milliseconds(500));
    int refused = 0;
    for (const CallId call : calls) {
        CHECK_EQUAL(1, system.answers[call].size());
        if (system.answer(call).answer) {
            CHECK(resultOf(call).isFromPrimary);
            STRCMP_EQUAL("19", resultOf(call).resultJson.c_str());
            ++atPrimary;
        } else {
            STRCMP_EQUAL("too-stale", system.text(call).c_str());
            CHECK(system.answer(call).answer.error().retryAfterMs > 0);
            ++refused;
        }
    }
    CHECK(atPrimary > 0);
    CHECK(refused > 80);
    CHECK(system.counters[1]->value("fallback.refused") > 0);
}

// Trap 14.
TEST(RelayTraps, AFailingGroupSpendsNoMoreThanItsRetryBudget)
{
    system.databases[1].reachable = false;
    for (int request = 0; request < 200; ++request) {
        StatementRequest write;
        write.group = FakeSystem::group();
        write.classId = ClassId { "lookups" };
        write.kind = StatementKind::Write;
        write.statement = "put stock 1";
        write.timeLeft = std::chrono::milliseconds(300);
        system.callRequest(1, write);
        system.advance(std::chrono::milliseconds(20));
    }
    system.advance(std::chrono::seconds(1));
    std::uint64_t retries = 0;
    for (const auto &[name, value] : system.counters[1]->snapshot()) {
        retries += name.starts_with("retried.") ? value : 0;
    }
    CHECK(retries <= 20);
    for (const auto &[call, answers] : system.answers) {
        CHECK_EQUAL(1, answers.size());
    }
}

TEST(RelayTraps, ASessionWhoseWriteAFailoverLostIsToldSoOnceAndGoesOn)
{
    system.lag[2] = 1;
    system.lag[3] = 1;
    // Another proxy's view of a write that only the old primary had.
    system.databases[1].log.push_back({ 1, "put stock 9" });
    system.advance(std::chrono::milliseconds(300));
    StatementRequest strict;
    strict.group = FakeSystem::group();
    strict.classId = ClassId { "reservations" };
    strict.kind = StatementKind::Read;
    strict.statement = "get stock";
    const CallId seen = system.callRequest(1, strict);
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("9", system.text(seen).c_str());
    system.databases[1].reachable = false;
    system.failOver(2);
    const CallId lost = readAt(3, system.answer(seen).token);
    STRCMP_EQUAL("lost-write", system.text(lost).c_str());
    system.lag.clear();
    system.advance(std::chrono::milliseconds(500));
    const CallId after = readAt(3, system.answer(lost).token);
    STRCMP_EQUAL("0", system.text(after).c_str());
}
