// Questions that wait until the database has reached a position.
#pragma once

#include "daisyrelay/base.h"

#include <functional>
#include <list>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

class PositionWaiters
{
public:
    explicit PositionWaiters(boost::asio::io_context &context);

    /// Calls \p answer once the database is at \p position or \p limit has passed.
    void wait(Position current, Position position, Duration limit, std::function<void()> answer);

    /// Tells that the database is at \p current.
    void wake(Position current);

private:
    struct Waiter {
        Position position = 0;
        Instant deadline;
        std::function<void()> answer;
    };

    boost::asio::io_context &context_;
    Position current_ = 0;
    std::list<Waiter> waiters_;
};

} // namespace daisyrelay
