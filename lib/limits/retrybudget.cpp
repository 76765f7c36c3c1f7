#include "daisyrelay/limits/retrybudget.h"

#include <algorithm>

namespace daisyrelay {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), tokens_(std::min(options.initialTokens, options.maxTokens))
{
}

void RetryBudget::recordSuccess()
{
    tokens_ = std::min(options_.maxTokens, tokens_ + options_.retriesPerSuccess);
}

bool RetryBudget::tryTakeToken()
{
    // Sums of the fraction that a success earns are not exact; a whole retry must not be lost to the last bit.
    constexpr double MinTokensForRetry = 1 - 1e-9;
    if (tokens_ < MinTokensForRetry) {
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

RetryBudget &RetryBudgets::budgetFor(const GroupKey &group, const ClassId &classId)
{
    return budgets_.try_emplace({ group, classId }, options_).first->second;
}

} // namespace daisyrelay
