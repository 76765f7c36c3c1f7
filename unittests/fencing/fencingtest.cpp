// Random schedules of promotions, cuts, suspensions, late calls and lost leaders, for both kinds of databases.
#include "fencingsimulation.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Fencing) {};

static constexpr Duration FaultTime = 8s;

TEST(Fencing, LeasesKeepFormerPrimariesUnusedWhereNobodyFences)
{
    std::size_t promotions = 0;
    const bool holds = rc::check([&promotions]() {
        FencingSimulation simulation(false, FencingPolicy::Leases, *rc::gen::arbitrary<std::uint64_t>());
        simulation.run(FaultTime);
        promotions += simulation.platform().promotionCount;
        RC_ASSERT(simulation.violation() == std::string());
        RC_ASSERT(simulation.acknowledgedWrites > 0U);
        RC_ASSERT(simulation.confirmedReads > 0U);
    });
    CHECK(holds);
    CHECK(promotions > 50); // The schedules do replace primaries.
}

TEST(Fencing, ConfirmedRoleSufficesWhereThePlatformFences)
{
    CHECK(rc::check([]() {
        FencingSimulation simulation(true, FencingPolicy::Platform, *rc::gen::arbitrary<std::uint64_t>());
        simulation.run(FaultTime);
        RC_ASSERT(simulation.violation() == std::string());
        RC_ASSERT(simulation.acknowledgedWrites > 0U);
    }));
}

// The reason for the leases: with the confirmed role alone the same schedules do break the guarantees.
TEST(Fencing, ConfirmedRoleDoesNotSufficeWhereNobodyFences)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        FencingSimulation simulation(false, FencingPolicy::Platform, seed);
        simulation.run(FaultTime);
        violations += simulation.violation().empty() ? 0 : 1;
    }
    CHECK(violations > 0);
}

TEST(Fencing, ServiceRecoversOnceFaultsEnd)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FencingSimulation simulation(false, FencingPolicy::Leases, seed);
        simulation.run(FaultTime);
        CHECK(simulation.writesInLastSeconds > 0);
    }
}

// VMs of an earlier build are replaced one after the other, and some return. Guards against a second primary while
// some leaders grant leases without a registration and others wait for registered entries only.
TEST(Fencing, LeasesHoldWhileBuildsAreReplaced)
{
    std::size_t promotions = 0;
    std::size_t upgraded = 0;
    const bool holds = rc::check([&]() {
        FencingSimulation simulation(false, FencingPolicy::Leases, *rc::gen::arbitrary<std::uint64_t>(), true);
        simulation.run(FaultTime);
        promotions += simulation.platform().promotionCount;
        upgraded += simulation.isUpgraded() ? 1 : 0;
        RC_ASSERT(simulation.violation() == std::string());
        RC_ASSERT(simulation.acknowledgedWrites > 0U);
    });
    CHECK(holds);
    CHECK(promotions > 50);
    CHECK(upgraded > 50);
}
