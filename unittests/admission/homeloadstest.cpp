// What an entry believes about its homes when their reports are lost, late, duplicate or invalid.
#include "daisyrelay/admission.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(HomeLoads)
{
    Instant now { 1h };
    HomeLoads loads;
    const BackendId server { "b" };
    const std::vector<VmId> homes { VmId { "h0" }, VmId { "h1" } };

    static HomeLoad makeLoad(std::uint64_t run, std::uint32_t sequence, std::int32_t waitMs)
    {
        HomeLoad load;
        load.runId = run;
        load.sequence = sequence;
        load.waitMs.fill(waitMs);
        return load;
    }

    LoadReportFault record(std::size_t home, const HomeLoad &load, Duration age = 5ms)
    {
        return loads.recordLoad(now, homes[home], server, now - age, load);
    }

    const VmId &choose(const WorkspaceId &workspace = {}, std::uint64_t tieBreaker = 0)
    {
        return *loads.choose(now, server, homes, workspace, 0, tieBreaker, {});
    }
};

TEST(HomeLoads, ChoosesShorterWaitAndSpreadsTies)
{
    CHECK(choose({}, 0) != choose({}, 1));
    record(0, makeLoad(1, 1, 80));
    record(1, makeLoad(2, 1, 20));
    CHECK(choose() == homes[1]);
    CHECK(choose({}, 1) == homes[1]);
}

TEST(HomeLoads, WorkspaceLeavesItsHomeOnlyForMoreThanTheCostOfAConnection)
{
    const WorkspaceId workspace { "w" };
    const VmId preferred = choose(workspace);
    const std::size_t index = preferred == homes[0] ? 0 : 1;
    record(index, makeLoad(1, 1, 10));
    record(1 - index, makeLoad(2, 1, 0));
    CHECK(choose(workspace) == preferred);
    record(index, makeLoad(1, 2, 40));
    CHECK(choose(workspace) != preferred);
}

TEST(HomeLoads, IsHopelessOnlyIfEveryHomeRecentlyReportedTooLongAWait)
{
    record(0, makeLoad(1, 1, 300));
    CHECK(!loads.waitIfHopeless(now, server, homes, 0, 200ms));
    record(1, makeLoad(2, 1, 250));
    CHECK(loads.waitIfHopeless(now, server, homes, 0, 200ms) == Duration(250ms));
    // Guards against refusals that outlive the overload: the queues have drained by now.
    now += 100ms;
    CHECK(!loads.waitIfHopeless(now, server, homes, 0, 200ms));
}

TEST(HomeLoads, IgnoresDuplicateForeignInvalidAndLateReports)
{
    CHECK(record(0, makeLoad(1, 5, 10)) == LoadReportFault::None);
    CHECK(record(0, makeLoad(1, 5, 900)) == LoadReportFault::Duplicate);
    CHECK(record(0, makeLoad(1, 4, 900)) == LoadReportFault::Duplicate);
    CHECK(record(0, makeLoad(9, 6, 900), 20ms) == LoadReportFault::OtherRun);
    CHECK(record(0, makeLoad(1, 6, -1)) == LoadReportFault::Invalid);
    CHECK(record(0, makeLoad(1, 6, 60001)) == LoadReportFault::Invalid);
    CHECK(record(0, makeLoad(1, 6, std::numeric_limits<std::int32_t>::max())) == LoadReportFault::Invalid);
    now += 600ms;
    CHECK(record(0, makeLoad(1, 7, 900), 500ms) == LoadReportFault::Late);
    CHECK(!loads.expectedWait(now, homes[0], server, 0));
    // A later statement that another run answers shows that the home has restarted.
    CHECK(record(0, makeLoad(9, 1, 30)) == LoadReportFault::None);
    CHECK(record(0, makeLoad(1, 8, 900), 20ms) == LoadReportFault::OtherRun);
    CHECK(loads.expectedWait(now, homes[0], server, 0) == Duration(30ms));
}

TEST(HomeLoads, BusyHomeThatAnswersProbesIsNotSilent)
{
    const Instant sentAt = now;
    CHECK(!loads.takeProbe(now + 50ms, homes[0], sentAt, 60ms));
    CHECK(loads.takeProbe(now + 70ms, homes[0], sentAt, 60ms));
    CHECK(!loads.takeProbe(now + 80ms, homes[0], sentAt, 60ms));
    loads.recordHeard(now + 90ms, homes[0]);
    CHECK(!loads.isSilent(now + 900ms, homes[0], 250ms));
    CHECK(loads.takeProbe(now + 900ms, homes[0], sentAt, 60ms));
    CHECK(!loads.isSilent(now + 1100ms, homes[0], 250ms));
    CHECK(loads.isSilent(now + 1200ms, homes[0], 250ms));
    loads.recordUnreachable(now + 1200ms, homes[0]);
    CHECK(loads.isAvoided(now + 1300ms, homes[0], server));
    CHECK(!loads.isAvoided(now + 1600ms, homes[0], server));
}
