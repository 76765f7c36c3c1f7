#include "timers.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace daisyrelay {

void callAfter(boost::asio::io_context &context, Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error) {
            task();
        }
    });
}

} // namespace daisyrelay
