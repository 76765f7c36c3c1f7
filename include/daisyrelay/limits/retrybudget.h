// How many retries the system may add to the load of its callers: a token bucket that successful requests fill.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>
#include <map>
#include <utility>

namespace daisyrelay {

/// The sizes of a retry budget.
struct RetryBudgetOptions {
    double retriesPerSuccess = 0.1; ///< Retries earned by each successful request.
    double maxTokens = 20; ///< The bucket holds no more, so that a long quiet time can not pay for a storm.
    double initialTokens = 3; ///< Granted before the first success.
};

/// A token bucket for retries. Without successes it runs dry, so a failing group gets no more than its first tries.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// A request succeeded; it earns a fraction of a retry.
    void recordSuccess();

    /// Takes one retry from the bucket. \returns false if it is empty; then the request must not be retried.
    [[nodiscard]] bool tryTakeToken();

    [[nodiscard]] double tokens() const;

private:
    RetryBudgetOptions options_;
    double tokens_;
};

/// One retry budget for each pair of group and class, so that a failing group can not spend what another one earns.
class RetryBudgets
{
public:
    explicit RetryBudgets(RetryBudgetOptions options = {});

    /// Returns the budget of \p classId in \p group; it is made at its first use.
    RetryBudget &budgetFor(const GroupKey &group, const ClassId &classId);

private:
    RetryBudgetOptions options_;
    std::map<std::pair<GroupKey, ClassId>, RetryBudget> budgets_;
};

} // namespace daisyrelay
