#include "daisyrelay/limits/retrybudget.h"

#include <algorithm>

namespace daisyrelay {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), tokens_(std::min(options.atStart, options.most))
{
}

void RetryBudget::succeeded()
{
    tokens_ = std::min(options_.most, tokens_ + options_.perSuccess);
}

bool RetryBudget::tryTake()
{
    // Sums of the fraction that a success earns are not exact; a whole retry must not be lost to the last bit.
    constexpr double WholeRetry = 1 - 1e-9;
    if (tokens_ < WholeRetry) {
        return false;
    }
    tokens_ = std::max(0.0, tokens_ - 1);
    return true;
}

double RetryBudget::tokens() const
{
    return tokens_;
}

RetryBudgets::RetryBudgets(RetryBudgetOptions options) : options_(options)
{
}

RetryBudget &RetryBudgets::of(const GroupKey &group, const ClassId &classId)
{
    return budgets_.try_emplace({ group, classId }, options_).first->second;
}

} // namespace daisyrelay
