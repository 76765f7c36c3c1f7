// Non-repeatable requests run at most once despite crashes of entries and homes and lost messages.
#include "fakesystem.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(RelayKeys)
{
    FakeSystem system;

    CallId placeOrder(int entry, const std::string &key)
    {
        const CallId call = system.call(entry, "put order " + key, "", key);
        system.advance(std::chrono::milliseconds(60));
        return call;
    }

    int executionsOf(const std::string &key)
    {
        int count = 0;
        for (const auto &[number, database] : system.databases) {
            const auto found = database.executions.find("put order " + key);
            count += found == database.executions.end() ? 0 : found->second;
        }
        return count;
    }
};

TEST(RelayKeys, DuplicateThroughAnotherEntryGetsFirstResponse)
{
    const CallId first = placeOrder(2, "k1");
    const CallId duplicate = placeOrder(3, "k1");
    STRCMP_EQUAL("null", system.resultText(first).c_str());
    STRCMP_EQUAL("null", system.resultText(duplicate).c_str());
    CHECK_EQUAL(1, executionsOf("k1"));
    CHECK_EQUAL(1, system.counters[1]->value("duplicates.answered"));
}

TEST(RelayKeys, KeyReusedForAnotherStatementIsRejected)
{
    placeOrder(2, "k1");
    const CallId other = system.call(2, "put order something-else", "", "k1");
    system.advance(std::chrono::milliseconds(50));
    STRCMP_EQUAL("key-reused", system.resultText(other).c_str());
}

TEST(RelayKeys, NewHomeAfterFailoverReportsThatKeyHasRun)
{
    placeOrder(2, "k1");
    system.failOver(2);
    system.advance(std::chrono::milliseconds(300));
    const CallId duplicate = placeOrder(3, "k1");
    STRCMP_EQUAL("duplicate-ran", system.resultText(duplicate).c_str());
    CHECK_EQUAL(1, executionsOf("k1"));
    const CallId newKeyCall = placeOrder(3, "k2");
    STRCMP_EQUAL("null", system.resultText(newKeyCall).c_str());
}

TEST(RelayKeys, KeySentBeforeHomeCrashIsUnknownAndNotRunAgain)
{
    system.chooseDelivery
        = [](const std::string &kind) { return kind == "response" ? DeliveryMode::Lose : DeliveryMode::Deliver; };
    const CallId first = system.call(2, "put order k1", "", "k1");
    system.deliverPending();
    CHECK_EQUAL(1, executionsOf("k1"));
    system.kill(1);
    system.chooseDelivery = nullptr;
    system.advance(std::chrono::milliseconds(20));
    STRCMP_EQUAL("outcome-unknown", system.resultText(first).c_str());
    system.table.homes.front().entry = FakeSystem::vm(3);
    ++system.table.version;
    system.pushLeases();
    const CallId duplicate = placeOrder(2, "k1");
    STRCMP_EQUAL("duplicate-unknown", system.resultText(duplicate).c_str());
    CHECK_EQUAL(1, executionsOf("k1"));
    const CallId newKeyCall = placeOrder(2, "k2");
    STRCMP_EQUAL("null", system.resultText(newKeyCall).c_str());
}

TEST(RelayKeys, RejectionBeforeExecutionReleasesKey)
{
    system.databases[1].term = 5; // The database rejects the statement because of its older term.
    const CallId rejected = placeOrder(2, "k1");
    STRCMP_EQUAL("no-primary", system.resultText(rejected).c_str());
    system.databases[1].term = 1;
    const CallId duplicate = placeOrder(2, "k1");
    STRCMP_EQUAL("null", system.resultText(duplicate).c_str());
    CHECK_EQUAL(1, executionsOf("k1"));
}

TEST(RelayKeys, RequestIsRefusedWhenMajorityOfKeyStoresLostKeys)
{
    placeOrder(2, "k1");
    system.kill(3);
    system.restart(2);
    system.restart(1);
    system.advance(std::chrono::milliseconds(400));
    const CallId duplicate = placeOrder(2, "k1");
    STRCMP_EQUAL("key-memory-lost", system.resultText(duplicate).c_str());
    CHECK(errorResponseFor(ErrorKind::KeyMemoryLost).executed == Executed::Unknown);
    CHECK(system.response(duplicate).result.error().retryAfterMs > 0);
    CHECK_EQUAL(1, executionsOf("k1"));
}

TEST(RelayKeys, RestartedKeyStoreCopiesKeysFromOtherStores)
{
    placeOrder(2, "k1");
    system.restart(1);
    system.advance(std::chrono::milliseconds(400));
    system.restart(2);
    system.advance(std::chrono::milliseconds(400));
    system.restart(3);
    system.advance(std::chrono::milliseconds(400));
    const CallId duplicate = placeOrder(2, "k1");
    STRCMP_EQUAL("duplicate-ran", system.resultText(duplicate).c_str());
    const CallId newKeyCall = placeOrder(2, "k2");
    STRCMP_EQUAL("null", system.resultText(newKeyCall).c_str());
    CHECK_EQUAL(1, executionsOf("k1"));
}

TEST(RelayKeys, ForwardedRequestAfterDeadlineIsNotRun)
{
    placeOrder(2, "k0");
    ForwardRequest late;
    late.forwardId = 77;
    late.sentAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(system.now.time_since_epoch()).count() - 600;
    late.backend = FakeSystem::database(1);
    late.request.group = FakeSystem::group();
    late.request.classId = ClassId { "reservations" };
    late.request.kind = StatementKind::Write;
    late.request.statement = "put order late";
    late.request.timeLeft = std::chrono::milliseconds(500);
    system.cores[1]->onForwardRequest(system.now, FakeSystem::vm(2), late);
    system.advance(std::chrono::milliseconds(50));
    CHECK_EQUAL(0, executionsOf("late"));
    CHECK_EQUAL(1, system.counters[1]->value("forwards.late"));
    late.sentAtMs += 550;
    system.cores[1]->onForwardRequest(system.now, FakeSystem::vm(2), late);
    CHECK_EQUAL(1, system.counters[1]->value("forwards.duplicate"));
}
