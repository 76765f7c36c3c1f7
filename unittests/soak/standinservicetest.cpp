#include "platform/soak/standinservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(StandinService)
{
    ConsistencyChecker checker;
    StandinService service { "s", 3, checker };
    Instant now = Instant() + 1h;
};

TEST(StandinService, ReplicasReceiveAndApplyAfterDelay)
{
    service.commit(now, service.primary(), "w", {});
    CHECK_EQUAL(1, service.primary().applied);
    service.replicate(now + 1ms);
    CHECK_EQUAL(0, service.servers()[1].received);
    service.replicate(now + 10ms);
    CHECK_EQUAL(1, service.servers()[1].received);
    CHECK_EQUAL(0, service.servers()[1].applied);
    service.replicate(now + 50ms);
    CHECK_EQUAL(1, service.servers()[1].applied);
}

// A replica that already follows the next term may still lack a commit of the previous term. It must not run a read
// that requires that commit. Found by soak seed 15.
TEST(StandinService, PointOfOlderTermIsCheckedAgainstLog)
{
    service.extraReplicationDelay = 10s;
    service.commit(now, service.primary(), "one", {});
    service.commit(now, service.primary(), "two", {});
    service.replicate(now + 100ms);
    CHECK(service.promote("s-1"));
    service.replicate(now + 200ms);
    const StandinService::Server &laggingReplica = service.servers()[2];
    CHECK_EQUAL(2, laggingReplica.term);
    CHECK(!service.containsPoint(laggingReplica, { 1, 2 }));
    CHECK(service.containsPoint(service.primary(), { 1, 2 }));
}

TEST(StandinService, PointDiscardedByPromotionIsNotContained)
{
    service.commit(now, service.primary(), "one", {});
    service.replicate(now + 100ms);
    service.commit(now + 100ms, service.primary(), "lost", {});
    CHECK(service.promote("s-1"));
    CHECK_EQUAL(1, service.primary().applied);
    service.commit(now + 200ms, service.primary(), "next", {});
    CHECK(!service.containsPoint(service.primary(), { 1, 2 }));
    CHECK(service.containsPoint(service.primary(), { 2, 2 }));
    CHECK(service.containsPoint(service.primary(), { 2, 1 }));
}

TEST(StandinService, FormerPrimaryGoesOnUntilSteppedDownWhereNobodyFences)
{
    StandinService unfenced("u", 2, checker, false);
    CHECK(unfenced.promote("u-1"));
    CHECK(unfenced.isPrimary(unfenced.servers()[0]));
    CHECK(unfenced.isPrimary(unfenced.servers()[1]));
    StandinService::stepDown(unfenced.servers()[0]);
    CHECK(!unfenced.isPrimary(unfenced.servers()[0]));
}

// Both kinds of new primary must be played: one that reports what it had received at once, and one that reports less.
TEST(StandinService, NewPrimaryMayReportOnlyWhatItHasApplied)
{
    service.reportsAppliedPosition = true;
    service.extraReplicationDelay = 1s;
    service.commit(now, service.primary(), "one", {});
    service.replicate(now + 100ms);
    CHECK(service.promote("s-1"));
    CHECK_EQUAL(1, service.primary().applied);
    CHECK_EQUAL(0, StandinService::reportedPosition(service.primary()));
    service.replicate(now + 2s);
    CHECK_EQUAL(1, StandinService::reportedPosition(service.primary()));
}

// Guards against a stand-in that reports less than its own commits, which the log order excludes.
TEST(StandinService, CommitEndsTheLagOfTheReportedPosition)
{
    service.reportsAppliedPosition = true;
    service.extraReplicationDelay = 1h;
    service.commit(now, service.primary(), "one", {});
    service.replicate(now + 100ms);
    CHECK(service.promote("s-1"));
    service.commit(now + 200ms, service.primary(), "two", {});
    CHECK_EQUAL(2, StandinService::reportedPosition(service.primary()));
}

// Guards against a cut that leaves replication running.
TEST(StandinService, ServerThatIsCutOffReceivesNothing)
{
    service.servers()[1].isCutOff = true;
    service.commit(now, service.primary(), "one", {});
    service.replicate(now + 100ms);
    CHECK_EQUAL(0, service.servers()[1].received);
    CHECK_EQUAL(1, service.servers()[2].received);
}
