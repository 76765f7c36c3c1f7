// Admission of requests that wait for a response of another process.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// Refuses requests that could not be answered in time: when more requests wait than were answered recently within the
/// time that a sender waits, or when the event loop is late.
class RequestGate
{
public:
    /// Senders wait for \p maxWait.
    explicit RequestGate(Duration maxWait);

    /// \returns false if the request must be refused. Otherwise finish() follows exactly once.
    [[nodiscard]] bool admit(Instant now);

    void finish(Instant now);

    /// Reports by how much a timer of the event loop has fired too late. Requests have waited for as long unread.
    void setLoopDelay(Duration delay);

    [[nodiscard]] std::size_t waiting() const;

private:
    void advance(Instant now);

    Duration maxWait_;
    Duration loopDelay_ {};
    std::size_t waiting_ = 0;
    Instant windowStart_ {};
    std::size_t finished_ = 0; ///< Requests answered in the current window.
    std::size_t finishedBefore_ = 0; ///< Requests answered in the window before.
};

} // namespace daisyrelay
