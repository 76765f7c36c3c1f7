#include "daisyrelay/limits.h"

#include <random>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(RetryBudget) {};

TEST(RetryBudget, RetriesNeverExceedTheGrantPlusTheShareOfSuccesses)
{
    CHECK(rc::check([](const std::vector<bool> &steps) {
        const RetryBudgetOptions options { 0.1, 20, 3 };
        RetryBudget budget(options);
        double successes = 0;
        double retries = 0;
        for (const bool succeeded : steps) {
            if (succeeded) {
                budget.succeeded();
                ++successes;
            } else if (budget.tryTake()) {
                ++retries;
            }
            RC_ASSERT(retries <= options.atStart + successes * options.perSuccess + 1e-6);
            RC_ASSERT(budget.tokens() >= 0 && budget.tokens() <= options.most);
        }
    }));
}

TEST(RetryBudget, TenSuccessesPayForOneRetry)
{
    RetryBudget budget({ 0.1, 20, 0 });
    for (int success = 0; success < 10; ++success) {
        CHECK_FALSE(budget.tryTake());
        budget.succeeded();
    }
    CHECK(budget.tryTake());
    CHECK_FALSE(budget.tryTake());
}

TEST(RetryBudget, AFailingGroupCanNotSpendTheRetriesOfAnother)
{
    RetryBudgets budgets({ 0.1, 20, 3 });
    const GroupKey failing { ServiceId { "rotable-db" }, GroupId { "g1" } };
    const GroupKey healthy { ServiceId { "rotable-db" }, GroupId { "g2" } };
    const ClassId lookups { "lookups" };
    while (budgets.of(failing, lookups).tryTake()) { }
    CHECK(budgets.of(healthy, lookups).tryTake());
    CHECK_FALSE(budgets.of(failing, lookups).tryTake());
}

TEST(RetryBudget, ADelayDoublesUpToTheLongestWithHalfOfItRandom)
{
    CHECK(rc::check([](std::uint64_t seed, std::uint8_t attempt) {
        std::mt19937_64 random(seed);
        const BackoffRange range { std::chrono::milliseconds(5), std::chrono::milliseconds(200) };
        const Duration delay = backoffDelay(attempt, std::ref(random), range);
        const Duration whole = attempt < 1
            ? range.first
            : std::min<Duration>(range.longest, range.first * (1 << std::min(attempt - 1, 10)));
        RC_ASSERT(delay <= whole);
        RC_ASSERT(delay >= whole / 2);
    }));
}
