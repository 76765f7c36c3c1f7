#include "daisyrelay/base/counters.h"

namespace daisyrelay {

void Counters::add(std::string_view name, std::uint64_t amount)
{
    const std::lock_guard lock(mutex_);
    if (const auto found = values_.find(name); found != values_.end()) {
        found->second += amount;
        return;
    }
    values_.emplace(name, amount);
}

std::uint64_t Counters::value(std::string_view name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
}

std::map<std::string, std::uint64_t> Counters::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return { values_.begin(), values_.end() };
}

} // namespace daisyrelay
