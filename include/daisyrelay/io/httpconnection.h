// An HTTP/1.1 client connection.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/io/httptypes.h"

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

/// Runs one request at a time and keeps the connection open between requests.
class HttpConnection
{
public:
    using ConnectCallback = std::function<void(bool connected)>;

    /// Receives the response, or nothing if the request failed, in which case the connection is closed.
    using ResponseCallback = std::function<void(std::optional<HttpResponse> response)>;

    explicit HttpConnection(boost::asio::io_context &context);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void connect(const Endpoint &address, Duration timeout, ConnectCallback onDone);

    /// Sends the method, target, headers and body of \p request.
    void request(const HttpRequest &request, Duration timeout, ResponseCallback onDone);

    /// Closes the connection; the callback of a request in flight receives nothing.
    void close();

    /// Whether the connection is open and the peer has not closed it.
    [[nodiscard]] bool isOpen() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Connects, sends one request and blocks until the response arrives; for command-line tools.
/// \returns nothing if the request failed.
std::optional<HttpResponse> sendRequestAndWait(const Endpoint &address, const HttpRequest &request, Duration timeout);

} // namespace daisyrelay
