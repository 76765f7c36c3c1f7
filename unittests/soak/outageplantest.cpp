#include "platform/soak/outageplan.h"

#include <set>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(OutagePlan) {};

// A failed run can be played again only if its seed determines the plan.
TEST(OutagePlan, SameSeedGeneratesSamePlan)
{
    CHECK_EQUAL(describe(generateOutage(7)), describe(generateOutage(7)));
    CHECK(describe(generateOutage(7)) != describe(generateOutage(8)));
}

// A run of nine consecutive seeds must leave out no combination.
TEST(OutagePlan, NineSeedsPlayEachLossWithEachScope)
{
    std::set<std::pair<PrimaryLoss, KillScope>> combinations;
    for (std::uint64_t seed = 0; seed < 9; ++seed) {
        const OutagePlan plan = generateOutage(seed);
        combinations.emplace(plan.loss, plan.scope);
    }
    CHECK_EQUAL(9, combinations.size());
}

// Guards against a plan whose replicas catch up before the processes are killed.
TEST(OutagePlan, LagLastsFromBeforeTheLossOverTheKill)
{
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const OutagePlan plan = generateOutage(seed);
        CHECK(plan.controlReplacedAt < plan.lossAt);
        CHECK(plan.lagFrom < plan.lossAt);
        CHECK(plan.lossAt + 5s <= plan.killAt);
        CHECK(plan.killAt + plan.downFor + 5s <= plan.endsAt);
        CHECK(plan.extraReplicationDelay >= 59 * 20ms && plan.extraReplicationDelay <= 199 * 20ms);
    }
}
