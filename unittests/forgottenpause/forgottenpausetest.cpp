// Servers that forget a pause when they restart, servers that control does not know yet, cut zones and late calls.
#include "replicationsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(ForgottenPause) {};

// Guards against a promotion that loses a commit which a restarted replica has acknowledged after the survey.
TEST(ForgottenPause, PromotedServerHoldsEveryAcknowledgedCommit)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        ReplicationSimulation simulation(3, seed, ReplicationFaults::AnyServerForgets);
        simulation.run(8s);
        CHECK_EQUAL(std::string(), simulation.violation);
        CHECK(simulation.acknowledgedCommits > 0);
        CHECK(simulation.commitsInLastSeconds > 0);
    }
}

// Guards against a promotion that loses the commits of a cut zone, which a server has received that control does not
// know, and against calls that the platform carries out late.
TEST(ForgottenPause, PromotedServerHoldsEveryCommitOfACutZone)
{
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        ReplicationSimulation simulation(3, seed, ReplicationFaults::AnyServerOrZone);
        simulation.run(8s);
        CHECK_EQUAL(std::string(), simulation.violation);
        CHECK(simulation.acknowledgedCommits > 0);
        promotions += simulation.promotionCount;
    }
    CHECK(promotions > 50);
}

// The schedules lose commits where entries acknowledge what the primary has acknowledged.
TEST(ForgottenPause, EntriesThatRequireNoReceiptLoseCommits)
{
    int lost = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        ReplicationSimulation simulation(3, seed, ReplicationFaults::AnyServerOrZone);
        simulation.requiresReceipts = false;
        simulation.run(8s);
        lost += simulation.violation.empty() ? 0 : 1;
    }
    CHECK(lost > 0);
}
