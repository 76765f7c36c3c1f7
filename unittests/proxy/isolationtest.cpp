// Tests of an entry that control cannot reach: when the load balancer must send callers elsewhere.
#include "leasedentry.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Isolation)
{
    LeasedEntry entry;

    bool isReady() const
    {
        return entry.core.isReady(entry.now);
    }
};

// A cut between an entry and control lets its lease expire. Callers that are sent to it until then would be refused.
TEST(Isolation, EntryWithoutControlIsNotReadyBeforeItsLeaseExpires)
{
    CHECK(isReady());
    entry.run(1200ms);
    CHECK(!isReady());
}

TEST(Isolation, EntryIsReadyAgainWithTheNextUpdate)
{
    entry.run(1200ms);
    entry.exchangeReport();
    entry.run(200ms);
    CHECK(isReady());
}

// A new leader is found within a second, so that a change of leader leaves all entries in use.
TEST(Isolation, ChangeOfLeaderLeavesTheEntryReady)
{
    entry.run(700ms);
    CHECK(isReady());
}

// Guards against needless reconnects while all entries have lost control.
TEST(Isolation, IdleSessionsStayWhilePrimariesCanBeUsed)
{
    entry.exchangeReport();
    entry.core.onSessionOpened(entry.now, 1, "db");
    entry.run(2900ms);
    CHECK(!isReady());
    CHECK_EQUAL(0U, entry.closedSessions);
    entry.run(2s);
    CHECK(entry.closedSessions > 0);
}
