// Servers that forget a pause when they restart, as the platform allows.
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
    }
}
