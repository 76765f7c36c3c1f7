#include "daisyrelay/io/httpconnection.h"

#include <netinet/tcp.h>

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr unsigned HttpVersion = 11;
static constexpr std::chrono::seconds KeepAliveIdleTime(5);
static constexpr std::chrono::milliseconds UserTimeout(2000);

struct HttpConnection::State {
    explicit State(asio::io_context &context) : stream(context)
    {
    }

    void close()
    {
        isOpen = false;
        ErrorCode ignored;
        stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream.close();
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    bool isOpen = false;
};

HttpConnection::HttpConnection(asio::io_context &context) : state_(std::make_shared<State>(context))
{
}

HttpConnection::~HttpConnection()
{
    close();
}

/// Lets the kernel find a peer that vanished without closing: by probes while idle, by time while data waits.
static void setKeepAliveOptions(tcp::socket &socket)
{
    using KeepIdleOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using UserTimeoutOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdleOption(static_cast<int>(KeepAliveIdleTime.count())), ignored);
    socket.set_option(UserTimeoutOption(static_cast<int>(UserTimeout.count())), ignored);
}

void HttpConnection::connect(const Endpoint &address, Duration timeout, ConnectCallback onDone)
{
    ErrorCode error;
    const asio::ip::address ip = asio::ip::make_address(address.host, error);
    if (error) {
        asio::post(state_->stream.get_executor(), [onDone = std::move(onDone)]() { onDone(false); });
        return;
    }
    state_->stream.expires_after(timeout);
    state_->stream.async_connect(
        tcp::endpoint(ip, address.port), [state = state_, onDone = std::move(onDone)](const ErrorCode &failure) {
            if (!failure) {
                setKeepAliveOptions(state->stream.socket());
                state->isOpen = true;
            }
            onDone(!failure);
        });
}

static http::request<http::string_body> toHttpMessage(const HttpRequest &request)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, HttpVersion);
    message.set(http::field::host, "daisyrelay");
    message.keep_alive(true);
    const auto setHeader = [&message](const char *name, const std::string &value) {
        if (!value.empty()) {
            message.set(name, value);
        }
    };
    setHeader("Daisyrelay-Session", request.sessionToken);
    setHeader("Idempotency-Key", request.idempotencyKey);
    setHeader("If-Match", request.ifMatch);
    setHeader("Daisyrelay-Change-Id", request.changeId);
    for (const auto &[name, value] : request.headers) {
        setHeader(name.c_str(), value);
    }
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
        message.body() = request.body;
    }
    message.prepare_payload();
    return message;
}

void HttpConnection::request(const HttpRequest &request, Duration timeout, ResponseCallback onDone)
{
    state_->request = toHttpMessage(request);
    state_->response = {};
    state_->stream.expires_after(timeout);
    http::async_write(state_->stream, state_->request,
        [state = state_, onDone = std::move(onDone)](const ErrorCode &error, std::size_t) mutable {
            if (error) {
                state->close();
                onDone(std::nullopt);
                return;
            }
            http::async_read(state->stream, state->buffer, state->response,
                [state, onDone = std::move(onDone)](const ErrorCode &failure, std::size_t) {
                    if (failure) {
                        state->close();
                        onDone(std::nullopt);
                        return;
                    }
                    state->stream.expires_never();
                    HttpResponse response;
                    response.status = static_cast<int>(state->response.result_int());
                    response.contentType = std::string(state->response[http::field::content_type]);
                    response.sessionToken = std::string(state->response["Daisyrelay-Session"]);
                    response.body = std::move(state->response.body());
                    if (!state->response.keep_alive()) {
                        state->close();
                    }
                    onDone(std::move(response));
                });
        });
}

void HttpConnection::close()
{
    state_->close();
}

/// Whether the other side has closed a connection on which nothing is awaited, found without waiting.
static bool isClosedByPeer(tcp::socket &socket)
{
    ErrorCode error;
    socket.non_blocking(true, error);
    std::array<char, 1> byte {};
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::try_again;
}

bool HttpConnection::isOpen() const
{
    return state_->isOpen && !isClosedByPeer(state_->stream.socket());
}

std::optional<HttpResponse> sendRequestAndWait(const Endpoint &address, const HttpRequest &request, Duration timeout)
{
    asio::io_context context(1);
    HttpConnection connection(context);
    std::optional<HttpResponse> result;
    connection.connect(address, timeout, [&](bool connected) {
        if (connected) {
            connection.request(
                request, timeout, [&result](std::optional<HttpResponse> response) { result = std::move(response); });
        }
    });
    context.run();
    return result;
}

} // namespace daisyrelay
