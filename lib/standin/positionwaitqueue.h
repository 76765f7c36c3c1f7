// Requests that wait until the database has reached a log position.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <list>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

/// Delays responses until a minimum position is reached or a timeout has passed.
class PositionWaitQueue
{
public:
    explicit PositionWaitQueue(boost::asio::io_context &context);

    /// Calls \p respond once the database is at \p position or later, or \p timeout has passed.
    /// \param current is the current position of the database.
    void waitFor(Position current, Position position, Duration timeout, std::function<void()> respond);

    /// Records that the database is at \p current and calls the responders that are due.
    void updatePosition(Position current);

private:
    struct Waiter {
        Position position = 0;
        Instant deadline;
        std::function<void()> respond;
    };

    boost::asio::io_context &context_;
    Position current_ = 0;
    std::list<Waiter> waiters_;
};

} // namespace daisyrelay
