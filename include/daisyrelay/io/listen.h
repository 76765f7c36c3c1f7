// Opening and closing of listening sockets.
#pragma once

#include "daisyrelay/config.h"

#include <functional>

#include <boost/asio/ip/tcp.hpp>

namespace daisyrelay {

/// How long a listening socket stays open after dropNewHandshakes(), so that
/// handshakes in progress complete. Longer than a round trip to the callers of
/// a region, and short against the time in which a process must have stopped.
inline constexpr Duration MaxHandshakeTime = std::chrono::milliseconds(50);

/// Binds \p acceptor to \p address and starts listening.
/// \returns an error that names \p address if it cannot be bound.
Expected<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &address);

/// Makes the kernel ignore new connections to \p acceptor, whereas handshakes
/// in progress complete. A caller whose connection request is ignored repeats
/// it and is then refused, before it has sent anything.
void dropNewHandshakes(boost::asio::ip::tcp::acceptor &acceptor);

/// Closes \p acceptor. Passes on the connections in its backlog first, which
/// may already carry requests and would be reset.
void acceptBacklogAndClose(boost::asio::ip::tcp::acceptor &acceptor,
    const std::function<void(boost::asio::ip::tcp::socket socket)> &onAccepted);

} // namespace daisyrelay
