#include "daisyrelay/limits/requestgate.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration Window = std::chrono::seconds(1);
/// Requests that may wait although none was answered recently, as after a start.
static constexpr std::size_t MinWaiting = 64;

RequestGate::RequestGate(Duration maxWait) : maxWait_(maxWait)
{
}

void RequestGate::advance(Instant now)
{
    if (now - windowStart_ < Window) {
        return;
    }
    finishedBefore_ = now - windowStart_ < 2 * Window ? finished_ : 0;
    finished_ = 0;
    windowStart_ = now;
}

bool RequestGate::admit(Instant now)
{
    advance(now);
    const auto answeredInTime
        = static_cast<std::size_t>(std::max(finished_, finishedBefore_) * maxWait_.count() / Window.count());
    if (loopDelay_ > maxWait_ || waiting_ >= std::max(MinWaiting, answeredInTime)) {
        return false;
    }
    ++waiting_;
    return true;
}

void RequestGate::finish(Instant now)
{
    advance(now);
    ++finished_;
    waiting_ -= waiting_ > 0 ? 1 : 0;
}

void RequestGate::setLoopDelay(Duration delay)
{
    loopDelay_ = delay;
}

std::size_t RequestGate::waiting() const
{
    return waiting_;
}

} // namespace daisyrelay
