// Calls a task once after a delay.
#pragma once

#include "daisyrelay/base.h"

#include <functional>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

void callAfter(boost::asio::io_context &context, Duration delay, std::function<void()> task);

} // namespace daisyrelay
