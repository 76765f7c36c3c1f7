// Tests of the lease on the primaries: how long it lasts, and what a withdrawal ends.
#include "daisyrelay/proxy.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(PrimaryLease)
{
    Instant now { 100s };
    static constexpr LeaseDurations Durations { 3s, 1s };
    PrimaryLease lease { FencingPolicy::Leases };
    const ServiceId service { "s" };

    void grant(std::uint64_t sequence)
    {
        lease.recordReport(now, sequence);
        CHECK(lease.extend(sequence, Durations));
    }
};

TEST(PrimaryLease, NothingMayBeSentWithoutLease)
{
    CHECK(!lease.canSend(now, service, false));
    CHECK(!lease.canDeliver(now, service, false));
}

TEST(PrimaryLease, LeaseCountsFromTheSendingOfTheReport)
{
    lease.recordReport(now, 1);
    now += 1s; // The response was on its way for this time.
    CHECK(lease.extend(1, Durations));
    CHECK(lease.canSend(now + 1900ms, service, false));
    CHECK(!lease.canSend(now + 2s, service, false));
}

TEST(PrimaryLease, SuspendedEntryFindsItsLeaseExpired)
{
    grant(1);
    now += 5s;
    CHECK(!lease.canDeliver(now, service, false));
}

TEST(PrimaryLease, UnknownAndRepeatedResponsesDoNotExtend)
{
    grant(1);
    CHECK(!lease.extend(1, Durations));
    CHECK(!lease.extend(7, Durations));
    CHECK(!lease.canSend(now + 3s, service, false));
}

TEST(PrimaryLease, WithdrawnServiceSendsNothingButDeliversUntilReleased)
{
    grant(1);
    CHECK_EQUAL(1U, lease.setWithdrawn({ { service, 4 } }).size());
    CHECK(!lease.canSend(now, service, false));
    CHECK(lease.canDeliver(now, service, false));
    CHECK(lease.canSend(now, ServiceId { "other" }, false));
    CHECK(lease.release(service));
    CHECK(!lease.canDeliver(now, service, false));
    CHECK(!lease.release(service));
    CHECK(lease.released() == std::vector<PrimaryWithdrawal>({ { service, 4 } }));
}

TEST(PrimaryLease, RepeatedWithdrawalStaysReleasedAndANewOneDoesNot)
{
    grant(1);
    lease.setWithdrawn({ { service, 4 } });
    lease.release(service);
    CHECK(lease.setWithdrawn({ { service, 4 } }).empty());
    CHECK(lease.unreleased().empty());
    CHECK_EQUAL(1U, lease.setWithdrawn({ { service, 5 } }).size());
    CHECK_EQUAL(1U, lease.unreleased().size());
    lease.setWithdrawn({});
    CHECK(lease.canSend(now, service, false));
}

TEST(PrimaryLease, WithdrawalStaysUntilTheNewPrimaryIsKnown)
{
    grant(1);
    lease.setWithdrawn({ { service, 4 } });
    lease.setWithdrawn({}, true);
    CHECK(!lease.canSend(now, service, false));
    lease.setWithdrawn({});
    CHECK(lease.canSend(now, service, false));
}

TEST(PrimaryLease, FencingPlatformNeedsNoLease)
{
    const PrimaryLease fenced(FencingPolicy::Platform);
    CHECK(fenced.canSend(now, service, false));
    CHECK(fenced.canDeliver(now, service, false));
}

// Control replaces a primary of the entry's own zone after the shorter duration.
TEST(PrimaryLease, LeaseOnPrimariesOfTheOwnZoneIsShorter)
{
    lease.recordReport(now, 1);
    CHECK(lease.extend(1, Durations));
    CHECK(lease.canSend(now + 900ms, service, true));
    CHECK(!lease.canSend(now + 1s, service, true));
    CHECK(!lease.canDeliver(now + 1s, service, true));
    CHECK(lease.canSend(now + 1s, service, false));
}
