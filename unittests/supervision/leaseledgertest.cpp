// Tests of withdrawals: which leases they wait for, and which reports count as a release.
#include "daisyrelay/supervision.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(LeaseLedger)
{
    static constexpr Duration LeaseDuration = 3s;
    static constexpr Duration OwnZoneDuration = 1s;
    Instant now { 100s };
    LeaseLedger ledger { FencingPolicy::Leases, { 3s, 1s } };
    const ZoneId zone { "z" };
    const ServiceId service { "s" };
    const VmId entry { "e" };

    void setup() override
    {
        ledger.reset(now, {}, false);
        now += LeaseDuration + 1s; // No lease of a former leader is left.
    }

    void becomeLeader(const std::vector<LeaseHolderRecord> &holders)
    {
        LeaseHolderTable table;
        table.restore(holders);
        ledger.reset(now, table, true);
    }

    void withdraw(std::uint64_t id)
    {
        ledger.withdraw(now, service, id, ZoneId { "other" }, [](const VmId &) { return true; });
    }
};

TEST(LeaseLedger, WithdrawalWithoutHoldersIsCompleteImmediately)
{
    withdraw(1);
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, WithdrawalWaitsForRelease)
{
    ledger.grant(now, entry, 1, zone);
    withdraw(1);
    CHECK(!ledger.isReleased(now, service));
    CHECK_EQUAL(0U, ledger.recordReport(entry, 1, { { service, 1 } }));
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, ReleaseOfAnotherWithdrawalIsIgnoredAndCounted)
{
    ledger.grant(now, entry, 1, zone);
    withdraw(2);
    CHECK_EQUAL(1U, ledger.recordReport(entry, 1, { { service, 1 } }));
    CHECK_EQUAL(1U, ledger.recordReport(entry, 1, { { ServiceId { "other" }, 2 } }));
    CHECK(!ledger.isReleased(now, service));
}

TEST(LeaseLedger, WithdrawalEndsWithTheLeaseOfASilentEntry)
{
    ledger.grant(now, entry, 1, zone);
    withdraw(1);
    CHECK(!ledger.isReleased(now + LeaseDuration, service));
    CHECK(ledger.isReleased(now + LeaseDuration + 1s, service));
}

TEST(LeaseLedger, LeaseGrantedAfterTheWithdrawalDoesNotDelayIt)
{
    ledger.grant(now, entry, 1, zone);
    const Instant grantedAt = now;
    now += 1s;
    withdraw(1);
    ledger.grant(now, entry, 1, zone); // Carries the withdrawal, so it does not cover the service.
    CHECK(ledger.isReleased(grantedAt + LeaseDuration + 100ms, service));
}

TEST(LeaseLedger, RestartedEntryHoldsNothing)
{
    ledger.grant(now, entry, 1, zone);
    withdraw(1);
    ledger.recordReport(entry, 2, {});
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, EntryWithoutConnectionsIsNotWaitedFor)
{
    ledger.grant(now, entry, 1, zone);
    ledger.withdraw(now, service, 1, {}, [](const VmId &) { return false; });
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, NewLeaderWaitsForLeasesOfFormerLeaders)
{
    ledger.reset(now, {}, false);
    withdraw(1);
    CHECK(!ledger.isReleased(now + LeaseDuration, service));
    CHECK(ledger.isReleased(now + LeaseDuration + 1s, service));
}

TEST(LeaseLedger, FencingPlatformNeedsNoLeases)
{
    LeaseLedger fenced(FencingPolicy::Platform, { 3s, 1s });
    fenced.reset(now, {}, false);
    CHECK(fenced.grant(now, entry, 1, zone) == LeaseDurations {});
    CHECK(fenced.isReleased(now, service));
}

// A leader that fails at the same time as a primary must not add the duration of a lease to the failover.
TEST(LeaseLedger, NewLeaderWaitsOnlyForRegisteredEntries)
{
    becomeLeader({ { entry, zone, 1 }, { VmId { "f" }, zone, 2 } });
    withdraw(1);
    ledger.recordReport(entry, 7, { { service, 1 } });
    CHECK(!ledger.isReleased(now, service));
    ledger.recordReport(VmId { "f" }, 8, { { service, 1 } });
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, LeaseOfAFormerLeaderBelongsToTheRunThatReportsFirst)
{
    becomeLeader({ { entry, zone, 1 } });
    withdraw(1);
    ledger.recordReport(entry, 7, {});
    CHECK(!ledger.isReleased(now, service));
    ledger.recordReport(entry, 8, {});
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, SilentEntryDelaysThePromotionByTheFormerLeadersLease)
{
    becomeLeader({ { entry, zone, 1 } });
    withdraw(1);
    CHECK(!ledger.isReleased(now + LeaseDuration, service));
    CHECK(ledger.isReleased(now + LeaseDuration + 100ms, service));
}

// An availability zone that is cut off with a primary and entries must not delay its replacement by the longer lease.
TEST(LeaseLedger, LeaseOnAPrimaryOfTheOwnZoneExpiresSooner)
{
    ledger.grant(now, entry, 1, zone);
    ledger.withdraw(now, service, 1, zone, [](const VmId &) { return true; });
    CHECK(!ledger.isReleased(now + OwnZoneDuration, service));
    CHECK(ledger.isReleased(now + OwnZoneDuration + 100ms, service));
}

TEST(LeaseLedger, UnknownZoneCountsAsAnotherZone)
{
    becomeLeader({ { entry, {}, 1 } });
    ledger.withdraw(now, service, 1, {}, [](const VmId &) { return true; });
    CHECK(!ledger.isReleased(now + LeaseDuration, service));
}
