// Properties of rate limits over several entries.
#include "ratelimitmodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <iostream>

using namespace daisyrelay;
using namespace std::chrono_literals;

namespace {

// Ranges are used in full from the first case on; RapidCheck otherwise starts with small values.
template <typename T>
T draw(T min, T max)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max + 1));
}

} // namespace

TEST_GROUP(RateLimitProperty) {};

// Guards against operations beyond the limit after a failure: tokens of an expired or restarted coordinator, stocks
// that outlive a freeze or a lowered limit, and allowances of unreachable entries on top of a new coordinator.
TEST(RateLimitProperty, WindowsStayWithinTheLimitUnderFaults)
{
    double worst = 0;
    std::uint64_t offlineOperations = 0;
    std::uint32_t handovers = 0;
    CHECK(rc::check([&]() {
        RateLimitModelOptions options;
        options.seed = draw<std::uint64_t>(1, 1'000'000'000);
        options.entryCount = draw<std::uint32_t>(2, 8);
        options.rate = draw<std::uint32_t>(5, 300);
        options.burst = draw<std::uint32_t>(0, options.rate * 2);
        options.hasFaults = true;
        RateLimitModel model(options);
        model.run(40s);
        worst = std::max(worst, model.worstWindow());
        offlineOperations += model.offlineOperations();
        handovers += model.handovers();
        RC_ASSERT(model.worstWindow() <= 1);
    }));
    std::cout << "\nworst window " << worst << ", offline operations " << offlineOperations << ", handovers "
              << handovers << '\n';
    // Without them, the model would not test what it names.
    CHECK(offlineOperations > 0);
    CHECK(handovers > 0);
}

// Guards against refusals below the limit: tokens that expire unused in the stocks of many entries, and buckets that
// are too small for operations that coincide.
TEST(RateLimitProperty, OrdinaryLoadIsNotRefused)
{
    double worst = 0;
    CHECK(rc::check([&]() {
        RateLimitModelOptions options;
        options.seed = draw<std::uint64_t>(1, 1'000'000'000);
        options.entryCount = draw<std::uint32_t>(1, 20);
        options.rate = *rc::gen::elementOf(std::vector<std::uint32_t> { 5, 8, 14, 25, 60, 150, 300 });
        options.burst = draw<std::uint32_t>(options.rate / 5, options.rate);
        RateLimitModel model(options);
        // About 2,000 operations, so that a single refusal does not decide.
        model.run(std::chrono::seconds(5 + (3400 / options.rate)));
        worst = std::max(worst, model.refusedShare());
        RC_ASSERT(model.refusedShare() <= 0.01);
    }));
    std::cout << "\nlargest refused share " << worst << '\n';
}
