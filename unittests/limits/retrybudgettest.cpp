#include "daisyrelay/limits.h"

#include <random>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(RetryBudget) {};

TEST(RetryBudget, RetriesNeverExceedInitialTokensPlusEarnedTokens)
{
    CHECK(rc::check([](const std::vector<bool> &steps) {
        const RetryBudgetOptions options { 0.1, 20, 3 };
        RetryBudget budget(options);
        double successes = 0;
        double retries = 0;
        for (const bool succeeded : steps) {
            if (succeeded) {
                budget.recordSuccess();
                ++successes;
            } else if (budget.tryTakeToken()) {
                ++retries;
            }
            RC_ASSERT(retries <= options.initialTokens + successes * options.retriesPerSuccess + 1e-6);
            RC_ASSERT((budget.tokens() >= 0 && budget.tokens() <= options.maxTokens));
        }
    }));
}

TEST(RetryBudget, TenSuccessesEarnOneRetry)
{
    RetryBudget budget({ 0.1, 20, 0 });
    for (int success = 0; success < 10; ++success) {
        CHECK_FALSE(budget.tryTakeToken());
        budget.recordSuccess();
    }
    CHECK(budget.tryTakeToken());
    CHECK_FALSE(budget.tryTakeToken());
}

TEST(RetryBudget, FailingGroupCannotSpendRetriesOfAnotherGroup)
{
    RetryBudgets budgets({ 0.1, 20, 3 });
    const GroupKey failing { ServiceId { "rotable-db" }, GroupId { "g1" } };
    const GroupKey healthy { ServiceId { "rotable-db" }, GroupId { "g2" } };
    const ClassId lookups { "lookups" };
    while (budgets.budgetFor(failing, lookups).tryTakeToken()) { }
    CHECK(budgets.budgetFor(healthy, lookups).tryTakeToken());
    CHECK_FALSE(budgets.budgetFor(failing, lookups).tryTakeToken());
}

TEST(RetryBudget, BackoffDelayDoublesUpToMaxWithHalfRandom)
{
    CHECK(rc::check([](std::uint64_t seed, std::uint8_t attempt) {
        std::mt19937_64 random(seed);
        const BackoffRange range { std::chrono::milliseconds(5), std::chrono::milliseconds(200) };
        const Duration delay = backoffDelay(attempt, std::ref(random), range);
        const Duration fullDelay = attempt < 1
            ? range.initialDelay
            : std::min<Duration>(range.maxDelay, range.initialDelay * (1 << std::min(attempt - 1, 10)));
        RC_ASSERT(delay <= fullDelay);
        RC_ASSERT(delay >= fullDelay / 2);
    }));
}
