// Opening of listening sockets.
#pragma once

#include "daisyrelay/config.h"

#include <boost/asio/ip/tcp.hpp>

namespace daisyrelay {

/// Binds \p acceptor to \p address and starts listening.
/// \returns an error that names \p address if it cannot be bound.
Expected<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &address);

} // namespace daisyrelay
