// One HTTP/1.1 client connection that runs one request at a time.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/io/httptypes.h"

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace daisyrelay {

class HttpConnection
{
public:
    using ConnectCallback = std::function<void(bool connected)>;

    /// Receives the whole answer, or nothing if it did not come; then the connection is closed.
    using ResponseCallback = std::function<void(std::optional<HttpResponse> response)>;

    explicit HttpConnection(boost::asio::io_context &context);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void connect(const Endpoint &address, Duration timeout, ConnectCallback onDone);

    /// Sends \p request; the method, target, body and headers of HttpRequest are used.
    void request(const HttpRequest &request, Duration timeout, ResponseCallback onDone);

    /// Closes the connection; a request under way is answered with nothing.
    void close();

    [[nodiscard]] bool isOpen() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Connects, sends one request and waits for the answer on the calling thread; for command-line tools.
std::optional<HttpResponse> sendRequestAndWait(const Endpoint &address, const HttpRequest &request, Duration timeout);

} // namespace daisyrelay
