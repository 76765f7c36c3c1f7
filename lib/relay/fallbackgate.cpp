#include "fallbackgate.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t WaitingPerRunning = 4;

void FallbackGate::setLimit(std::size_t limit)
{
    limit_ = std::max<std::size_t>(limit, 1);
}

FallbackGate::Verdict FallbackGate::enter(WorkId work)
{
    if (running_.size() < limit_) {
        running_.insert(work);
        return Verdict::Run;
    }
    if (waiting_.size() >= limit_ * WaitingPerRunning) {
        return Verdict::Refuse;
    }
    waiting_.push_back(work);
    return Verdict::Wait;
}

std::optional<WorkId> FallbackGate::leave(WorkId work)
{
    if (running_.erase(work) == 0) {
        std::erase(waiting_, work);
        return std::nullopt;
    }
    if (waiting_.empty() || running_.size() >= limit_) {
        return std::nullopt;
    }
    const WorkId next = waiting_.front();
    waiting_.pop_front();
    running_.insert(next);
    return next;
}

} // namespace daisyrelay
