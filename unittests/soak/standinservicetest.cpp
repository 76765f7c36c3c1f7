#include "platform/soak/standinservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(StandinService)
{
    PromiseLedger ledger;
    StandinService service { "s", 3, ledger };
    Instant now = Instant() + 1h;
};

TEST(StandinService, ReplicasFollowAfterAWhile)
{
    service.commit(now, "w", {});
    CHECK_EQUAL(1, service.primary().applied);
    service.advance(now + 1ms);
    CHECK_EQUAL(0, service.servers()[1].received);
    service.advance(now + 10ms);
    CHECK_EQUAL(1, service.servers()[1].received);
    CHECK_EQUAL(0, service.servers()[1].applied);
    service.advance(now + 50ms);
    CHECK_EQUAL(1, service.servers()[1].applied);
}

// Found by seed 15: a replica that had heard of the next term, but lacked a commit of the one before, ran a read for
// it.
TEST(StandinService, APositionOfAnOlderTermIsJudgedByTheLog)
{
    service.extraLag = 10s;
    service.commit(now, "one", {});
    service.commit(now, "two", {});
    service.advance(now + 100ms);
    CHECK(service.promote("s-1"));
    service.advance(now + 200ms);
    const StandinService::Server &behind = service.servers()[2];
    CHECK_EQUAL(2, behind.term);
    CHECK(!service.holds(behind, { 1, 2 }));
    CHECK(service.holds(service.primary(), { 1, 2 }));
}

TEST(StandinService, WhatAPromotionCutOffIsHeldByNobody)
{
    service.commit(now, "one", {});
    service.advance(now + 100ms);
    service.commit(now + 100ms, "lost", {});
    CHECK(service.promote("s-1"));
    CHECK_EQUAL(1, service.primary().applied);
    service.commit(now + 200ms, "next", {});
    CHECK(!service.holds(service.primary(), { 1, 2 }));
    CHECK(service.holds(service.primary(), { 2, 2 }));
    CHECK(service.holds(service.primary(), { 2, 1 }));
}
