#include "positionwaiters.h"

#include "timers.h"

namespace daisyrelay {

PositionWaiters::PositionWaiters(boost::asio::io_context &context) : context_(context)
{
}

void PositionWaiters::wait(Position current, Position position, Duration limit, std::function<void()> answer)
{
    current_ = current;
    if (current >= position || limit == Duration::zero()) {
        answer();
        return;
    }
    waiters_.push_back({ position, Clock::now() + limit, std::move(answer) });
    callAfter(context_, limit, [this]() { wake(current_); });
}

void PositionWaiters::wake(Position current)
{
    current_ = current;
    const Instant now = Clock::now();
    std::vector<std::function<void()>> ready;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
        if (current >= waiter->position || waiter->deadline <= now) {
            ready.push_back(std::move(waiter->answer));
            waiter = waiters_.erase(waiter);
        } else {
            ++waiter;
        }
    }
    for (const auto &answer : ready) {
        answer();
    }
}

} // namespace daisyrelay
