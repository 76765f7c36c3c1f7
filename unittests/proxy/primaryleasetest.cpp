// Tests of the lease on the primaries: how long it lasts, and what a withdrawal ends.
#include "daisyrelay/proxy.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(PrimaryLease)
{
    Instant now { 100s };
    PrimaryLease lease { FencingPolicy::Leases };
    const ServiceId service { "s" };

    void grant(std::uint64_t sequence)
    {
        lease.recordReport(now, sequence);
        CHECK(lease.extend(sequence, 3s));
    }
};

TEST(PrimaryLease, NothingMayBeSentWithoutLease)
{
    CHECK(!lease.canSend(now, service));
    CHECK(!lease.canDeliver(now, service));
}

TEST(PrimaryLease, LeaseCountsFromTheSendingOfTheReport)
{
    lease.recordReport(now, 1);
    now += 1s; // The response was on its way for this time.
    CHECK(lease.extend(1, 3s));
    CHECK(lease.canSend(now + 1900ms, service));
    CHECK(!lease.canSend(now + 2s, service));
}

TEST(PrimaryLease, SuspendedEntryFindsItsLeaseExpired)
{
    grant(1);
    now += 5s;
    CHECK(!lease.canDeliver(now, service));
}

TEST(PrimaryLease, UnknownAndRepeatedResponsesDoNotExtend)
{
    grant(1);
    CHECK(!lease.extend(1, 3s));
    CHECK(!lease.extend(7, 3s));
    CHECK(!lease.canSend(now + 3s, service));
}

TEST(PrimaryLease, WithdrawnServiceSendsNothingButDeliversUntilReleased)
{
    grant(1);
    CHECK_EQUAL(1U, lease.setWithdrawn({ { service, 4 } }).size());
    CHECK(!lease.canSend(now, service));
    CHECK(lease.canDeliver(now, service));
    CHECK(lease.canSend(now, ServiceId { "other" }));
    CHECK(lease.release(service));
    CHECK(!lease.canDeliver(now, service));
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
    CHECK(lease.canSend(now, service));
}

TEST(PrimaryLease, WithdrawalStaysUntilTheNewPrimaryIsKnown)
{
    grant(1);
    lease.setWithdrawn({ { service, 4 } });
    lease.setWithdrawn({}, true);
    CHECK(!lease.canSend(now, service));
    lease.setWithdrawn({});
    CHECK(lease.canSend(now, service));
}

TEST(PrimaryLease, FencingPlatformNeedsNoLease)
{
    const PrimaryLease fenced(FencingPolicy::Platform);
    CHECK(fenced.canSend(now, service));
    CHECK(fenced.canDeliver(now, service));
}
