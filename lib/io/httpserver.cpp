#include "daisyrelay/io/httpserver.h"

#include "daisyrelay/io/listen.h"

#include <map>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Delay after a connection could not be accepted.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(20);

namespace {

class HttpSession;

} // namespace

struct HttpServer::State {
    State(asio::io_context &io, HttpServerOptions serverOptions, HttpHandler requestHandler)
        : context(io)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , acceptor(io)
        , acceptTimer(io)
    {
    }

    /// \returns a number that orders the idle connections by the start of their idle time.
    std::uint64_t addIdle(std::uint64_t connectionId)
    {
        idleConnections.emplace(++lastIdleOrder, connectionId);
        return lastIdleOrder;
    }

    asio::io_context &context;
    HttpServerOptions options;
    HttpHandler handler;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    std::unique_ptr<asio::steady_timer> handshakeTimer; ///< Set once the server stops listening.
    bool isClosing = false;
    std::uint64_t nextConnectionId = 1;
    std::map<std::uint64_t, std::weak_ptr<HttpSession>> sessions;
    std::uint64_t lastIdleOrder = 0;
    std::map<std::uint64_t, std::uint64_t> idleConnections; ///< Ids of connections without a request, oldest first.
};

namespace {

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    template <typename ServerState>
    HttpSession(tcp::socket socket, std::uint64_t id, const std::shared_ptr<ServerState> &server)
        : socket_(std::move(socket))
        , id_(id)
        , handler_([server](HttpRequest request, HttpResponseCallback respond) {
            server->handler(std::move(request), std::move(respond));
        })
        , isServerClosing_([server]() { return server->isClosing; })
        , onIdle_([server, id]() { return server->addIdle(id); })
        , onBusy_([server](std::uint64_t idleOrder) { server->idleConnections.erase(idleOrder); })
        , onClosed_([server, id]() {
            server->sessions.erase(id);
            if (server->options.onClosed) {
                server->options.onClosed(id);
            }
        })
        , maxBodyBytes_(server->options.maxBodyBytes)
    {
    }

    void start(Duration delay)
    {
        idleOrder_ = onIdle_();
        if (delay == Duration::zero()) {
            read();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), delay);
        timer->async_wait([self = shared_from_this(), timer](const ErrorCode &) { self->read(); });
    }

    /// \returns whether the connection was idle.
    bool closeIfIdle(Instant idleBefore)
    {
        if (isHandlingRequest_ || hasPartialRequest() || idleSince_ > idleBefore) {
            return false;
        }
        // A request may have arrived unnoticed. The cancelled read fails only if the event loop has received nothing,
        // and onReadCancelled() then looks for bytes that are still in the kernel.
        ErrorCode ignored;
        shouldCloseIfIdle_ = true;
        socket_.cancel(ignored);
        return true;
    }

    void close()
    {
        ErrorCode ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    void notifyClosed()
    {
        if (onClosed_) {
            onBusy_(idleOrder_);
            std::exchange(onClosed_, nullptr)();
        }
    }

private:
    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxBodyBytes_);
        continueReading();
    }

    void continueReading()
    {
        http::async_read(socket_, buffer_, *parser_,
            [self = shared_from_this()](const ErrorCode &error, std::size_t) { self->onRead(error); });
    }

    [[nodiscard]] bool hasPartialRequest() const
    {
        return buffer_.size() > 0 || (parser_ && parser_->got_some());
    }

    void onReadCancelled()
    {
        ErrorCode error;
        const std::size_t unreadBytes = socket_.available(error);
        if (!error && (unreadBytes > 0 || hasPartialRequest())) {
            continueReading();
            return;
        }
        close();
        notifyClosed();
    }

    void onRead(const ErrorCode &error)
    {
        if (std::exchange(shouldCloseIfIdle_, false) && error == asio::error::operation_aborted) {
            onReadCancelled();
            return;
        }
        if (error == http::error::body_limit) {
            isHandlingRequest_ = true;
            shouldKeepAlive_ = false;
            write({ errorResponseFor(ErrorKind::BodyTooLarge).httpStatus, "application/problem+json",
                R"({"title":"body-too-large","kind":"body-too-large","status":413,"ran":"no"})", "", 0 });
            return;
        }
        if (error) {
            notifyClosed();
            return;
        }
        isHandlingRequest_ = true;
        onBusy_(idleOrder_);
        http::request<http::string_body> message = parser_->release();
        shouldKeepAlive_ = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.sessionToken = std::string(message["Daisyrelay-Session"]);
        request.idempotencyKey = std::string(message["Idempotency-Key"]);
        request.ifMatch = std::string(message[http::field::if_match]);
        request.changeId = std::string(message["Daisyrelay-Change-Id"]);
        request.body = std::move(message.body());
        request.connectionId = id_;
        handler_(std::move(request),
            [self = shared_from_this()](HttpResponse response) { self->write(std::move(response)); });
    }

    void write(HttpResponse response)
    {
        shouldKeepAlive_ = shouldKeepAlive_ && !isServerClosing_();
        responseMessage_ = std::make_unique<http::response<http::string_body>>(
            static_cast<http::status>(response.status), HttpVersion);
        responseMessage_->keep_alive(shouldKeepAlive_);
        responseMessage_->set(http::field::content_type, response.contentType);
        if (!response.sessionToken.empty()) {
            responseMessage_->set("Daisyrelay-Session", response.sessionToken);
        }
        if (response.retryAfterMs > 0) {
            constexpr std::int64_t MsPerSecond = 1000;
            responseMessage_->set(
                http::field::retry_after, std::to_string((response.retryAfterMs + MsPerSecond - 1) / MsPerSecond));
        }
        responseMessage_->body() = std::move(response.body);
        responseMessage_->prepare_payload();
        http::async_write(socket_, *responseMessage_,
            [self = shared_from_this()](const ErrorCode &error, std::size_t) { self->onWritten(error); });
    }

    void onWritten(const ErrorCode &error)
    {
        responseMessage_.reset();
        isHandlingRequest_ = false;
        idleSince_ = Clock::now();
        // Uses the value that the Connection header of the response carried and not isServerClosing_: after a
        // keep-alive response the caller may already have sent its next request.
        if (error || !shouldKeepAlive_) {
            close();
            notifyClosed();
            return;
        }
        idleOrder_ = onIdle_();
        read();
    }

    static constexpr unsigned HttpVersion = 11;

    tcp::socket socket_;
    std::uint64_t id_;
    HttpHandler handler_;
    std::function<bool()> isServerClosing_;
    std::function<std::uint64_t()> onIdle_;
    std::function<void(std::uint64_t idleOrder)> onBusy_;
    std::function<void()> onClosed_;
    std::uint64_t idleOrder_ = 0;
    std::size_t maxBodyBytes_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::unique_ptr<http::response<http::string_body>> responseMessage_;
    bool shouldKeepAlive_ = true;
    bool isHandlingRequest_ = false;
    bool shouldCloseIfIdle_ = false; ///< Whether the read was cancelled in order to close an idle connection.
    Instant idleSince_ = Clock::now();
};

/// Closes the connection that has been idle for the longest time. \returns whether there was one.
template <typename ServerState>
bool closeOldestIdle(const std::shared_ptr<ServerState> &server)
{
    // A connection that has received a part of a request is not idle.
    for (const auto &[idleOrder, id] : server->idleConnections) {
        const auto found = server->sessions.find(id);
        const std::shared_ptr<HttpSession> session = found == server->sessions.end() ? nullptr : found->second.lock();
        if (session && session->closeIfIdle(Clock::now())) {
            session->notifyClosed();
            return true;
        }
    }
    return false;
}

template <typename ServerState>
void startSession(const std::shared_ptr<ServerState> &server, tcp::socket socket)
{
    if (server->sessions.size() >= server->options.maxConnections && !closeOldestIdle(server)) {
        return;
    }
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const std::uint64_t id = server->nextConnectionId++;
    auto session = std::make_shared<HttpSession>(std::move(socket), id, server);
    server->sessions.emplace(id, session);
    session->start(server->options.acceptDelay);
}

template <typename ServerState>
void acceptNext(const std::shared_ptr<ServerState> &server)
{
    server->acceptor.async_accept([server](const ErrorCode &error, tcp::socket socket) {
        // The event loop may have accepted the connection just before the listening socket was closed.
        if (!error) {
            startSession(server, std::move(socket));
        }
        if (error == asio::error::operation_aborted || !server->acceptor.is_open()) {
            return;
        }
        if (!error) {
            acceptNext(server);
            return;
        }
        // Without free descriptors, accepting fails again at once for as long as connections wait.
        server->acceptTimer.expires_after(AcceptRetryDelay);
        server->acceptTimer.async_wait([server](const ErrorCode &timerError) {
            if (!timerError && server->acceptor.is_open()) {
                acceptNext(server);
            }
        });
    });
}

template <typename ServerState>
void closeAcceptor(const std::shared_ptr<ServerState> &server)
{
    acceptBacklogAndClose(server->acceptor, [&server](tcp::socket socket) { startSession(server, std::move(socket)); });
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : state_(std::make_shared<State>(context, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    state_->acceptTimer.cancel();
    closeAcceptor(state_);
}

Expected<void> HttpServer::listen(const Endpoint &address)
{
    if (Expected<void> listening = listenOn(state_->acceptor, address); !listening) {
        return listening;
    }
    acceptNext(state_);
    return {};
}

void HttpServer::stopListening()
{
    if (!state_->acceptor.is_open() || state_->handshakeTimer) {
        return;
    }
    dropNewHandshakes(state_->acceptor);
    state_->handshakeTimer = std::make_unique<asio::steady_timer>(state_->context, MaxHandshakeTime);
    state_->handshakeTimer->async_wait([state = state_](const ErrorCode &) { closeAcceptor(state); });
}

bool HttpServer::isListening() const
{
    return state_->acceptor.is_open();
}

void HttpServer::closeAfterResponses()
{
    state_->isClosing = true;
}

void HttpServer::closeIdle(Duration idleFor)
{
    state_->isClosing = true;
    const Instant idleBefore = Clock::now() - idleFor;
    const auto sessions = state_->sessions;
    for (const auto &[id, weak] : sessions) {
        if (const std::shared_ptr<HttpSession> session = weak.lock(); session) {
            session->closeIfIdle(idleBefore);
        }
    }
}

std::size_t HttpServer::connectionCount() const
{
    return state_->sessions.size();
}

void HttpServer::close(std::uint64_t connectionId)
{
    const auto found = state_->sessions.find(connectionId);
    if (found == state_->sessions.end()) {
        return;
    }
    if (const std::shared_ptr<HttpSession> session = found->second.lock(); session) {
        session->close();
    }
}

} // namespace daisyrelay
