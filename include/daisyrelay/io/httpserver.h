// An HTTP/1.1 server with keep-alive on one thread.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/io/httptypes.h"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

/// Limits of one server.
struct HttpServerOptions {
    std::size_t maxBodyBytes = 1024 * 1024; ///< In bytes; a larger one is answered with 413.
    std::size_t maxConnections = 100000;
    Duration acceptDelay {}; ///< Delay before a new connection is read; models a slow login.
    std::function<void(std::uint64_t connectionId)> onClosed; ///< Called when a connection is gone.
};

class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \returns an error if the address can not be bound.
    Expected<void> listen(const Endpoint &address);

    /// Closes the listening socket; connections that wait to be accepted are taken first, and open ones go on.
    void stopListening();

    /// Closes each connection after its next answer, and says so in that answer.
    void closeAfterResponses();

    /// Closes the connections on which nothing has happened for \p idleFor, and each other one after its answer.
    void closeIdle(Duration idleFor);

    [[nodiscard]] std::size_t connections() const;

    /// Closes one connection, whatever is under way on it.
    void close(std::uint64_t connectionId);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace daisyrelay
