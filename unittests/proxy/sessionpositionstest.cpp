// The log positions of a session's own writes, which hold for one service each.
#include "twoserviceentry.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(SessionPositions)
{
    TwoServiceEntry entry;

    void checkWrite()
    {
        entry.execute(StatementType::Write);
        CHECK(entry.response && entry.response->code == ResponseCode::Ok);
    }

    LogPoint readMinPoint()
    {
        const auto [server, read] = entry.execute(StatementType::Read);
        CHECK(entry.response && entry.response->code == ResponseCode::Ok);
        CHECK(entry.applied.at(server) >= read.minPoint.value_or(LogPoint {}));
        return entry.applied.at(server);
    }
};

// A read that misses the session's own acknowledged write, because a later write to another service replaced its
// position.
TEST(SessionPositions, WriteToAnotherServiceKeepsOwnWriteVisible)
{
    checkWrite();
    entry.moveRoute("short");
    checkWrite();
    entry.moveRoute("long");
    CHECK((LogPoint { 1, 101 } <= readMinPoint()));
}

// A read that every server refuses, because the position of the session's last write belongs to the longer log of
// another service.
TEST(SessionPositions, PositionOfLongerLogOfAnotherServiceIsNotRequired)
{
    entry.moveRoute("short");
    checkWrite();
    entry.moveRoute("long");
    checkWrite();
    entry.moveRoute("short");
    CHECK((LogPoint { 1, 2 } <= readMinPoint()));
}

// A statement that runs at another entry with the position of another service.
TEST(SessionPositions, ForwardedStatementCarriesPositionOfItsService)
{
    checkWrite();
    entry.moveRoute("short");
    checkWrite();
    entry.loseQuotas();
    entry.moveRoute("long");
    entry.execute(StatementType::Read);
    CHECK((entry.forwarded && entry.forwarded->lastWrite == LogPoint { 1, 101 }));
    CHECK_EQUAL(7U, entry.forwarded->lastWriteGeneration);
}

// A service that is dropped from the configuration and comes back under its name still has the session's writes.
TEST(SessionPositions, ServiceThatReturnsKeepsOwnWriteVisible)
{
    checkWrite();
    entry.moveRoute("short");
    entry.execute(StatementType::Read);
    entry.moveRoute("long");
    CHECK((LogPoint { 1, 101 } <= readMinPoint()));
}
