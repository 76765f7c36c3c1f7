#include "daisyrelay/io.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

using namespace daisyrelay;

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr const char *Host = "127.0.0.1";
constexpr std::uint16_t Port = 7391;
constexpr std::string_view Request = "GET /readyz HTTP/1.1\r\nHost: test\r\n\r\n";

/// A caller with blocking sockets, so that each test decides what the kernel holds when the server acts.
class Caller
{
public:
    explicit Caller(asio::io_context &context) : socket_(context)
    {
        socket_.connect(tcp::endpoint(asio::ip::make_address(Host), Port));
        socket_.set_option(tcp::no_delay(true)); // Otherwise the second part of a request is delayed.
    }

    void send(std::string_view bytes)
    {
        asio::write(socket_, asio::buffer(bytes));
    }

    /// Returns what the server has sent, and reads until its end of the connection if it was closed.
    std::string receive()
    {
        socket_.non_blocking(true);
        std::string result;
        std::array<char, 4096> buffer {};
        boost::system::error_code error;
        while (!error) {
            result.append(buffer.data(), socket_.read_some(asio::buffer(buffer), error));
        }
        closedBy = error;
        return result;
    }

    boost::system::error_code closedBy; ///< The error that ended the last receive().

private:
    tcp::socket socket_;
};

/// Sends requests on new connections until the server refuses one. \returns the number of connections that the kernel
/// accepted and that ended without a response.
int countLostRequests()
{
    for (int lost = 0;;) {
        asio::io_context context(1);
        tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect(tcp::endpoint(asio::ip::make_address(Host), Port), error);
        if (error) {
            return lost;
        }
        asio::write(socket, asio::buffer(Request), error);
        std::array<char, 4096> buffer {};
        lost += !error && socket.read_some(asio::buffer(buffer), error) > 0 ? 0 : 1;
    }
}

bool isClosingResponse(const std::string &bytes)
{
    return bytes.starts_with("HTTP/1.1 200") && bytes.find("Connection: close") != std::string::npos;
}

} // namespace

TEST_GROUP(HttpServerDrainRegressions)
{
    asio::io_context context { 1 };
    int handledRequests = 0;
    std::optional<HttpServer> server;

    void setup() override
    {
        server.emplace(context, HttpServerOptions {}, [this](const HttpRequest &, const HttpResponseCallback &respond) {
            ++handledRequests;
            respond({ 200, "text/plain", "ok", "", 0 });
        });
        CHECK(server->listen({ Host, Port }).has_value());
    }

    void teardown() override
    {
        server->stopListening();
        context.poll();
    }

    /// Serves one request, after which the connection is idle.
    void exchange(Caller & caller)
    {
        caller.send(Request);
        context.poll();
        CHECK(caller.receive().starts_with("HTTP/1.1 200"));
        CHECK(caller.closedBy == asio::error::would_block);
    }
};

// Guards against closing a connection as idle although the kernel already holds the caller's next request.
TEST(HttpServerDrainRegressions, RequestThatArrivedBeforeIdleCloseIsAnswered)
{
    Caller caller(context);
    exchange(caller);
    caller.send(Request);
    server->closeIdle(Duration::zero());
    context.poll();
    CHECK(isClosingResponse(caller.receive()));
    CHECK_EQUAL(2, handledRequests);
}

// Guards against closing a connection whose request the event loop has received, but not yet passed on: the request
// would run and its response would be lost.
TEST(HttpServerDrainRegressions, RequestReceivedInTheSameTurnAsIdleCloseIsAnswered)
{
    Caller first(context);
    Caller second(context);
    exchange(first);
    exchange(second);
    first.send(Request);
    second.send(Request);
    // One turn of the event loop receives from both sockets and runs one handler.
    context.poll_one();
    server->closeIdle(Duration::zero());
    context.poll();
    CHECK(first.receive().starts_with("HTTP/1.1 200"));
    CHECK(second.receive().starts_with("HTTP/1.1 200"));
    CHECK_EQUAL(4, handledRequests);
}

// Guards against closing a connection that has received a part of a request.
TEST(HttpServerDrainRegressions, PartlyReceivedRequestIsAnsweredAfterIdleClose)
{
    Caller caller(context);
    exchange(caller);
    caller.send(Request.substr(0, 10));
    server->closeIdle(Duration::zero());
    context.poll();
    server->closeIdle(Duration::zero());
    context.poll();
    caller.send(Request.substr(10));
    context.poll();
    STRCMP_CONTAINS("Connection: close", caller.receive().c_str());
}

TEST(HttpServerDrainRegressions, IdleConnectionIsClosed)
{
    Caller caller(context);
    exchange(caller);
    server->closeIdle(Duration::zero());
    context.poll();
    CHECK(caller.receive().empty());
    CHECK(caller.closedBy == asio::error::eof);
    CHECK_EQUAL(0, server->connectionCount());
}

// Guards against a reset of connections whose handshake completes while the listening socket is being closed.
TEST(HttpServerDrainRegressions, ConnectionsOpenedWhileListeningStopsAreAnswered)
{
    constexpr int Rounds = 6;
    constexpr std::size_t Callers = 8;
    constexpr int RequestsBeforeStop = 200;
    std::atomic<int> lost { 0 };
    for (int round = 0; round < Rounds; ++round) {
        context.restart();
        std::vector<std::thread> callers;
        for (std::size_t caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([&lost]() { lost += countLostRequests(); });
        }
        server->closeAfterResponses();
        for (const int end = handledRequests + RequestsBeforeStop; handledRequests < end;) {
            context.run_one();
        }
        server->stopListening();
        while (server->connectionCount() > 0 || server->isListening()) {
            context.run_one();
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        server.emplace(context, HttpServerOptions {}, [this](const HttpRequest &, const HttpResponseCallback &respond) {
            ++handledRequests;
            respond({ 200, "text/plain", "ok", "", 0 });
        });
        CHECK(server->listen({ Host, Port }).has_value());
    }
    CHECK_EQUAL(0, lost.load());
}
