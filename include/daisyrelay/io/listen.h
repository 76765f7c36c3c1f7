// Opens a listening socket.
#pragma once

#include "daisyrelay/config.h"

#include <boost/asio/ip/tcp.hpp>

namespace daisyrelay {

/// \returns an error that names \p address if it can not be bound.
Expected<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &address);

} // namespace daisyrelay
