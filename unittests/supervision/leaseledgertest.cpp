// Tests of withdrawals: which leases they wait for, and which reports count as a release.
#include "daisyrelay/supervision.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(LeaseLedger)
{
    static constexpr Duration LeaseDuration = 3s;
    Instant now { 100s };
    LeaseLedger ledger { FencingPolicy::Leases, LeaseDuration };
    const ServiceId service { "s" };
    const VmId entry { "e" };

    void setup() override
    {
        ledger.reset(now);
        now += LeaseDuration + 1s; // No lease of a former leader is left.
    }

    void withdraw(std::uint64_t id)
    {
        ledger.withdraw(now, service, id, [](const VmId &) { return true; });
    }
};

TEST(LeaseLedger, WithdrawalWithoutHoldersIsCompleteImmediately)
{
    withdraw(1);
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, WithdrawalWaitsForRelease)
{
    ledger.grant(now, entry, 1);
    withdraw(1);
    CHECK(!ledger.isReleased(now, service));
    CHECK_EQUAL(0U, ledger.recordReport(entry, 1, { { service, 1 } }));
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, ReleaseOfAnotherWithdrawalIsIgnoredAndCounted)
{
    ledger.grant(now, entry, 1);
    withdraw(2);
    CHECK_EQUAL(1U, ledger.recordReport(entry, 1, { { service, 1 } }));
    CHECK_EQUAL(1U, ledger.recordReport(entry, 1, { { ServiceId { "other" }, 2 } }));
    CHECK(!ledger.isReleased(now, service));
}

TEST(LeaseLedger, WithdrawalEndsWithTheLeaseOfASilentEntry)
{
    ledger.grant(now, entry, 1);
    withdraw(1);
    CHECK(!ledger.isReleased(now + LeaseDuration, service));
    CHECK(ledger.isReleased(now + LeaseDuration + 1s, service));
}

TEST(LeaseLedger, LeaseGrantedAfterTheWithdrawalDoesNotDelayIt)
{
    ledger.grant(now, entry, 1);
    const Instant grantedAt = now;
    now += 1s;
    withdraw(1);
    ledger.grant(now, entry, 1); // Carries the withdrawal, so it does not cover the service.
    CHECK(ledger.isReleased(grantedAt + LeaseDuration + 100ms, service));
}

TEST(LeaseLedger, RestartedEntryHoldsNothing)
{
    ledger.grant(now, entry, 1);
    withdraw(1);
    ledger.recordReport(entry, 2, {});
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, EntryWithoutConnectionsIsNotWaitedFor)
{
    ledger.grant(now, entry, 1);
    ledger.withdraw(now, service, 1, [](const VmId &) { return false; });
    CHECK(ledger.isReleased(now, service));
}

TEST(LeaseLedger, NewLeaderWaitsForLeasesOfFormerLeaders)
{
    ledger.reset(now);
    withdraw(1);
    CHECK(!ledger.isReleased(now + LeaseDuration, service));
    CHECK(ledger.isReleased(now + LeaseDuration + 1s, service));
}

TEST(LeaseLedger, FencingPlatformNeedsNoLeases)
{
    LeaseLedger fenced(FencingPolicy::Platform, LeaseDuration);
    fenced.reset(now);
    CHECK(fenced.grant(now, entry, 1) == Duration::zero());
    CHECK(fenced.isReleased(now, service));
}
