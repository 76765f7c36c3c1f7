// Times of a drain.
#pragma once

#include "daisyrelay/proxy/proxytiming.h"

#include <algorithm>

namespace daisyrelay {

/// Divides a grace period so that every statement has a response, and every response time to be sent, before the
/// process is killed. Parts of the grace period shrink with it.
class DrainSchedule
{
public:
    DrainSchedule(Instant startedAt, Duration grace, const ProxyTiming &timing)
        : startedAt_(startedAt)
        , responsesDueAt_(startedAt + grace - std::min(timing.drainCloseTime, grace / 4))
        , endsAt_(startedAt + grace - std::min(timing.drainEndMargin, grace / 10))
        , idleSessionsEndAt_(std::min(startedAt + timing.drainNoticeTime, responsesDueAt_))
    {
    }

    [[nodiscard]] Instant startedAt() const
    {
        return startedAt_;
    }

    /// From then on, sessions are closed when idle.
    [[nodiscard]] Instant idleSessionsEndAt() const
    {
        return idleSessionsEndAt_;
    }

    /// Every statement has its response by then.
    [[nodiscard]] Instant responsesDueAt() const
    {
        return responsesDueAt_;
    }

    /// The process exits by then, even if responses are not sent.
    [[nodiscard]] Instant endsAt() const
    {
        return endsAt_;
    }

    /// Returns whether a statement that may take \p duration has its response in time.
    [[nodiscard]] bool canFinish(Instant now, Duration duration) const
    {
        return now + duration <= responsesDueAt_;
    }

private:
    Instant startedAt_;
    Instant responsesDueAt_;
    Instant endsAt_;
    Instant idleSessionsEndAt_;
};

} // namespace daisyrelay
