// Tests of statements that arrive during a failover: those that it outlasts are refused at once, the others wait.
#include "leasedentry.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(FailoverWait)
{
    LeasedEntry entry;

    void sendDuringFailover(std::uint32_t remainingMs)
    {
        EntryUpdate update;
        update.configVersion = 1;
        update.withdrawn.push_back({ ServiceId { "s" }, 1 });
        update.failingOver.push_back({ ServiceId { "s" }, remainingMs });
        entry.core.onControlUpdate(entry.now, update);
        entry.core.onSessionOpened(entry.now, 1, "db");
        Statement statement;
        statement.id = "q";
        statement.type = StatementType::Read;
        statement.text = "x";
        entry.core.onStatement(entry.now, 1, statement);
        entry.performActions();
    }
};

// Guards against holding a statement that is known to be rejected later; its caller could retry at another entry.
TEST(FailoverWait, StatementThatTheFailoverOutlastsIsRefusedAtOnce)
{
    sendDuringFailover(2500);
    CHECK(entry.response && entry.response->code == ResponseCode::Busy);
    CHECK(entry.response->detail.find("failing-over, come back in 2") == 0);
}

TEST(FailoverWait, StatementWaitsForAFailoverThatEndsSoon)
{
    sendDuringFailover(100);
    CHECK(!entry.response);
    entry.run(150ms);
    CHECK(!entry.response);
}

// Guards against an outdated estimate: the statement must not wait for the end that was expected at first.
TEST(FailoverWait, StatementThatWaitsIsRefusedWhenTheFailoverIsDelayed)
{
    sendDuringFailover(100);
    entry.run(50ms);
    EntryUpdate update;
    update.configVersion = 1;
    update.withdrawn.push_back({ ServiceId { "s" }, 1 });
    update.failingOver.push_back({ ServiceId { "s" }, 1000 });
    entry.core.onControlUpdate(entry.now, update);
    entry.run(20ms);
    CHECK(entry.response && entry.response->detail.find("failing-over, come back in 1") == 0);
}
