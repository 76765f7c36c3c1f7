// Random schedules of crashes, cuts, draining servers, lost responses and changes of leader where commits wait for a
// replica.
#include "replicationsimulation.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(SynchronousReplicationProperty) {};

// A promoted server that lacks an acknowledged commit loses it for all callers.
TEST(SynchronousReplicationProperty, PromotedServerHoldsEveryAcknowledgedCommit)
{
    std::size_t promotions = 0;
    CHECK(rc::check([&promotions]() {
        const auto servers = *rc::gen::inRange<std::size_t>(2, 5);
        ReplicationSimulation simulation(servers, *rc::gen::arbitrary<std::uint64_t>());
        simulation.run(8s);
        promotions += simulation.promotionCount;
        RC_ASSERT(simulation.violation == std::string());
        RC_ASSERT(simulation.acknowledgedCommits > 0U);
    }));
    CHECK(promotions > 50);
}

// Replicas that stay paused, or a survey that never ends, would keep commits waiting for good.
TEST(SynchronousReplicationProperty, CommitsAreAcknowledgedAgainOnceFaultsEnd)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ReplicationSimulation simulation(3, seed);
        simulation.run(8s);
        CHECK_EQUAL(std::string(), simulation.violation);
        CHECK(simulation.commitsInLastSeconds > 0);
    }
}

// Servers that start between the survey and the effect of a promotion, new ones and those that forget their pause, lost
// the commits that the primary acknowledged with their help.
TEST(SynchronousReplicationProperty, ServersThatStartDuringAPromotionLoseNoCommit)
{
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        ReplicationSimulation simulation(3, seed, ReplicationFaults::ReplicasThatForget);
        simulation.run(8s);
        CHECK_EQUAL(std::string(), simulation.violation);
        promotions += simulation.promotionCount;
    }
    CHECK(promotions > 100);
}
