#include "positionwaitqueue.h"

#include "timers.h"

namespace daisyrelay {

PositionWaitQueue::PositionWaitQueue(boost::asio::io_context &context) : context_(context)
{
}

void PositionWaitQueue::waitFor(Position current, Position position, Duration timeout, std::function<void()> respond)
{
    current_ = current;
    if (current >= position || timeout == Duration::zero()) {
        respond();
        return;
    }
    waiters_.push_back({ position, Clock::now() + timeout, std::move(respond) });
    callAfter(context_, timeout, [this]() { updatePosition(current_); });
}

void PositionWaitQueue::updatePosition(Position current)
{
    current_ = current;
    const Instant now = Clock::now();
    std::vector<std::function<void()>> responders;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
        if (current >= waiter->position || waiter->deadline <= now) {
            responders.push_back(std::move(waiter->respond));
            waiter = waiters_.erase(waiter);
        } else {
            ++waiter;
        }
    }
    for (const auto &respond : responders) {
        respond();
    }
}

} // namespace daisyrelay
