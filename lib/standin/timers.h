// One-shot timers.
#pragma once

#include "daisyrelay/base.h"

#include <functional>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

/// Calls \p task once on \p context after \p delay.
void callAfter(boost::asio::io_context &context, Duration delay, std::function<void()> task);

} // namespace daisyrelay
