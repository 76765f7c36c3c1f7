// A single-threaded HTTP/1.1 server with keep-alive.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/io/httptypes.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

/// Limits and hooks of a server.
struct HttpServerOptions {
    std::size_t maxBodyBytes = 1024 * 1024; ///< Larger request bodies get status 413.
    /// A further connection replaces the one that has been idle for the longest time; it is closed immediately if none
    /// is idle.
    std::size_t maxConnections = 100000;
    Duration acceptDelay {}; ///< Delay before the first read from a new connection; simulates a slow login.
    std::function<void(std::uint64_t connectionId)> onClosed; ///< Called after a connection was closed.
};

/// Passes requests to a handler, which may respond later.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \returns an error if the address cannot be bound.
    Expected<void> listen(const Endpoint &address);

    /// Closes the listening socket after MaxHandshakeTime; the connections in its backlog are accepted, and open
    /// connections stay open.
    void stopListening();

    [[nodiscard]] bool isListening() const;

    /// Closes each connection after its next response, which carries "Connection: close".
    void closeAfterResponses();

    /// Closes the connections that have been idle for \p idleFor, and every other one after its next response.
    void closeIdle(Duration idleFor);

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t connectionCount() const;

    /// Closes one connection immediately, even with a request in flight.
    void close(std::uint64_t connectionId);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace daisyrelay
