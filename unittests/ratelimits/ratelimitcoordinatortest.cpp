// Tests of the coordinator of rate limits: what it grants, and what failures leave of its buckets.
#include "daisyrelay/ratelimits.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RateLimitCoordinator)
{
    const WorkspaceId name { "w" };
    const VmId entry { "entry" };
    const std::uint32_t slot = coordinatorSlotOf(name);
    Instant now { 100s };
    std::uint64_t sequence = 0;
    RateLimitCoordinator coordinator;

    void setup() override
    {
        coordinator.setLimits(now, { Workspace { name, {}, 0, 100, 50 } });
        hold(1h);
    }

    void hold(Duration duration)
    {
        coordinator.setAuthority(now, { slot }, now + duration);
    }

    std::uint32_t take(std::uint32_t wanted, const VmId &from, std::uint64_t runId = 1)
    {
        return coordinator.onRequest(now, from, { name, runId, ++sequence, wanted }).tokens;
    }

    std::uint32_t take(std::uint32_t wanted)
    {
        return take(wanted, entry);
    }
};

// Guards against a window that spans two coordinators and contains two bursts.
TEST(RateLimitCoordinator, NewSlotStartsEmptyAndFillsAtTheRate)
{
    const RateLimitGrant denied = coordinator.onRequest(now, entry, { name, 1, ++sequence, 1 });
    CHECK_EQUAL(0U, denied.tokens);
    CHECK_EQUAL(10, denied.retryAfter.count());
    now += 100ms;
    CHECK_EQUAL(10U, take(100));
    now += 1min;
    CHECK_EQUAL(55U, take(1000)); // The burst and a quarter of the slack.
}

// Guards against grants of a coordinator that lost the leader, was suspended or has drained, beside its successor.
TEST(RateLimitCoordinator, NothingIsGrantedWithoutAuthority)
{
    hold(2s);
    now += 1999ms;
    CHECK_EQUAL(1U, coordinator.heldSlots(now).size());
    CHECK_EQUAL(1U, take(1));
    now += 1ms;
    CHECK(coordinator.heldSlots(now).empty());
    CHECK(!coordinator.onRequest(now, entry, { name, 1, ++sequence, 1 }).isCoordinator);
    hold(2s);
    CHECK_EQUAL(0U, take(1)); // The authority lapsed, so the bucket is empty.
    now += 1s;
    hold(2s);
    CHECK_EQUAL(55U, take(100)); // The authority did not lapse, so the bucket stays.
    coordinator.releaseAll(now);
    hold(2s); // A response of the leader that was underway.
    CHECK(!coordinator.onRequest(now, entry, { name, 1, ++sequence, 1 }).isCoordinator);
}

// Guards against a lowered limit that lets the tokens of the higher one through.
TEST(RateLimitCoordinator, LoweredLimitAppliesAtOnce)
{
    now += 10s;
    coordinator.setLimits(now, { Workspace { name, {}, 0, 10, 0 } });
    CHECK_EQUAL(5U, take(100));
    now += 100ms;
    CHECK_EQUAL(1U, take(100));
}

// Guards against repeated and delayed messages that take tokens again, and against requests that empty a bucket.
TEST(RateLimitCoordinator, RepeatedOutdatedAndAbsurdRequestsGetNothing)
{
    now += 10s;
    CHECK_EQUAL(1U, take(1));
    --sequence;
    CHECK_EQUAL(0U, take(1));
    CHECK_EQUAL(1U, take(1, entry, 2)); // The entry restarted.
    CHECK_EQUAL(0U, take(1, entry, 1));
    CHECK_EQUAL(0U, take(MaxTokensPerRequest + 1));
    CHECK_EQUAL(0U, take(1, VmId {}));
    const Counters &counters = coordinator.counters();
    CHECK_EQUAL(1U, counters.value("ratelimit.refused.repeated"));
    CHECK_EQUAL(1U, counters.value("ratelimit.refused.outdated-run"));
    CHECK_EQUAL(2U, counters.value("ratelimit.refused.invalid"));
    CHECK_EQUAL(53U, take(100, entry, 2));
}

// Guards against allowances of unreachable entries that run on top of the rate, and against reservations for entries
// that are idle, restarted or beyond the time of their allowance.
TEST(RateLimitCoordinator, AllowanceOfASilentEntryIsReserved)
{
    const VmId other { "other" };
    const auto earnAllowance = [&]() {
        for (int i = 0; i < 100; ++i) {
            now += 100ms;
            take(9);
        }
    };
    const auto takenIn = [&](Duration duration, bool isProbing) {
        std::uint32_t taken = 0;
        for (const Instant end = now + duration; now < end; now += 100ms) {
            taken += take(100, other);
            if (isProbing && now.time_since_epoch() % 1s == 0ms) {
                take(0);
            }
        }
        return taken;
    };
    earnAllowance();
    takenIn(100ms, true); // Empties the bucket.
    CHECK_EQUAL(200U, takenIn(2s, true));
    earnAllowance();
    takenIn(100ms, true);
    // The entry was granted 900 tokens, so its allowance is 44 operations within 5 s.
    const std::uint32_t whileSilent = takenIn(4s, false);
    CHECK(whileSilent < 380);
    CHECK(whileSilent > 355);
    takenIn(2s, false); // The time of the allowance ends.
    CHECK_EQUAL(200U, takenIn(2s, false));
    earnAllowance();
    take(0, entry, 2); // Restarted.
    takenIn(100ms, false);
    CHECK_EQUAL(400U, takenIn(4s, false));
}

// Guards against memory that grows with the number of invented entries.
TEST(RateLimitCoordinator, NumberOfRequestersIsBounded)
{
    for (int i = 0; i < 5000; ++i) {
        take(0, VmId { std::to_string(i) });
    }
    CHECK(coordinator.counters().value("ratelimit.refused.too-many-entries") > 0);
    now += 10s;
    CHECK_EQUAL(1U, take(1));
}
