#include "daisyrelay/membership/replayguard.h"

#include <limits>

namespace daisyrelay {

static constexpr std::uint64_t WindowSize = std::numeric_limits<std::uint64_t>::digits;

ReplayGuard::ReplayGuard(std::size_t maxSenders) : maxSenders_(maxSenders)
{
}

bool ReplayGuard::accept(const VmId &from, std::uint64_t boot, std::uint64_t sequence)
{
    auto found = windows_.find(from);
    if (found == windows_.end()) {
        if (windows_.size() >= maxSenders_) {
            return false;
        }
        found = windows_.emplace(from, Window { boot, sequence, 1 }).first;
        return true;
    }
    Window &window = found->second;
    if (boot != window.boot) {
        if (boot < window.boot) {
            return false;
        }
        window = { boot, sequence, 1 };
        return true;
    }
    if (sequence > window.highest) {
        const std::uint64_t step = sequence - window.highest;
        window.seen = step >= WindowSize ? 1 : (window.seen << step) | 1;
        window.highest = sequence;
        return true;
    }
    const std::uint64_t age = window.highest - sequence;
    if (age >= WindowSize || (window.seen >> age & 1) != 0) {
        return false;
    }
    window.seen |= std::uint64_t { 1 } << age;
    return true;
}

void ReplayGuard::removeSender(const VmId &from)
{
    windows_.erase(from);
}

} // namespace daisyrelay
