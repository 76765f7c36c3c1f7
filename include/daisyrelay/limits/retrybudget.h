// Limits the load that retries add: a token bucket that successful requests fill.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>
#include <map>
#include <utility>

namespace daisyrelay {

/// Parameters of a retry budget.
struct RetryBudgetOptions {
    double retriesPerSuccess = 0.1; ///< Retries earned by each successful request.
    double maxTokens = 20; ///< Capacity of the bucket, so that a long quiet period cannot pay for a retry storm.
    double initialTokens = 3; ///< Retries available before the first success.
};

/// A token bucket for retries. Without successes the bucket runs empty, so that a failing group gets only a bounded
/// number of retries.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// Records a successful request, which earns a fraction of a retry.
    void recordSuccess();

    /// Takes one retry from the bucket. Returns false if the bucket is empty; the request must not be retried then.
    [[nodiscard]] bool tryTakeToken();

    [[nodiscard]] double tokens() const;

private:
    RetryBudgetOptions options_;
    double tokens_;
};

/// One retry budget for each pair of group and class, so that a failing group cannot spend the retries of another.
class RetryBudgets
{
public:
    explicit RetryBudgets(RetryBudgetOptions options = {});

    /// Returns the budget of \p classId in \p group; creates the budget on first use.
    RetryBudget &budgetFor(const GroupKey &group, const ClassId &classId);

private:
    RetryBudgetOptions options_;
    std::map<std::pair<GroupKey, ClassId>, RetryBudget> budgets_;
};

} // namespace daisyrelay
