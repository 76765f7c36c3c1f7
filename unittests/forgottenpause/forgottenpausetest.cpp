// Servers that forget a pause when they restart, servers that control does not know yet, cut zones and late calls.
#include "replicationsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(ForgottenPause) {};

/// Plays 100 schedules with \p faults for \p duration each, in which no commit may be lost. \returns the number of
/// promotions.
static std::size_t play(ReplicationFaults faults, Duration duration = 8s)
{
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        ReplicationSimulation simulation(3, seed, faults);
        simulation.run(duration);
        CHECK_EQUAL(std::string(), simulation.violation);
        CHECK(simulation.acknowledgedCommits > 0);
        promotions += simulation.promotionCount;
    }
    return promotions;
}

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
    CHECK(play(ReplicationFaults::AnyServerOrZone) > 50);
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

// Guards against commits that are acknowledged on the receipt of a server that has left, where a few homes hold the
// connections to the servers.
TEST(ForgottenPause, PromotedServerHoldsEveryCommitOfHomes)
{
    CHECK(play(ReplicationFaults::HomesAndLeavers, 16s) > 50); // A server drains for seven seconds.
}
