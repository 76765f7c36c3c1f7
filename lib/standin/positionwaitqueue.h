// Questions that wait until the database has reached a position.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <list>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

class PositionWaitQueue
{
public:
    explicit PositionWaitQueue(boost::asio::io_context &context);

    /// Calls \p respond once the database is at \p position or \p timeout has passed.
    void waitFor(Position current, Position position, Duration timeout, std::function<void()> respond);

    /// Tells that the database is at \p current.
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
