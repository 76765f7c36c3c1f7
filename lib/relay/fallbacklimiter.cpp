#include "fallbacklimiter.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::size_t MaxWaitingPerRunning = 4;

void FallbackLimiter::setLimit(std::size_t limit)
{
    limit_ = std::max<std::size_t>(limit, 1);
}

FallbackLimiter::Decision FallbackLimiter::admit(WorkId work)
{
    if (running_.size() < limit_) {
        running_.insert(work);
        return Decision::Run;
    }
    if (waiting_.size() >= limit_ * MaxWaitingPerRunning) {
        return Decision::Reject;
    }
    waiting_.push_back(work);
    return Decision::Wait;
}

std::optional<WorkId> FallbackLimiter::release(WorkId work)
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
