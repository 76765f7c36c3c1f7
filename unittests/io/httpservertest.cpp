// The HTTP server on the loopback interface.
#include "daisyrelay/io.h"

#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(HttpServer)
{
    boost::asio::io_context io;
    std::vector<HttpResponseCallback> pending; ///< Of requests to "/later".

    static std::uint16_t findFreePort()
    {
        using boost::asio::ip::tcp;
        boost::asio::io_context context;
        const tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        return acceptor.local_endpoint().port();
    }

    /// Runs the event loop until \p isDone. The limit is reached only if the test fails.
    bool runUntil(const std::function<bool()> &isDone)
    {
        for (int handlers = 0; handlers < 1000 && !isDone(); ++handlers) {
            io.restart();
            io.run_one_for(5s);
        }
        return isDone();
    }

    std::unique_ptr<HttpServer> startServer(const Endpoint &address, std::size_t maxConnections)
    {
        HttpServerOptions options;
        options.maxConnections = maxConnections;
        auto server = std::make_unique<HttpServer>(
            io, std::move(options), [this](const HttpRequest &request, const HttpResponseCallback &respond) {
                if (request.target == "/later") {
                    pending.push_back(respond);
                } else {
                    respond({});
                }
            });
        CHECK(server->listen(address).has_value());
        return server;
    }

    std::unique_ptr<HttpConnection> connect(const Endpoint &address)
    {
        auto connection = std::make_unique<HttpConnection>(io);
        bool isConnected = false;
        connection->connect(address, 5s, [&isConnected](bool connected) { isConnected = connected; });
        CHECK(runUntil([&isConnected]() { return isConnected; }));
        return connection;
    }

    static void send(HttpConnection & connection, const std::string &target, std::optional<int> &status)
    {
        HttpRequest request;
        request.method = "GET";
        request.target = target;
        connection.request(request, 5s,
            [&status](const std::optional<HttpResponse> &response) { status = response ? response->status : 0; });
    }
};

// Without a bound, idle connections use all descriptors, and control accepts neither entries nor other control VMs. If
// new connections were closed instead, servers whose control VM failed could not turn to this one.
TEST(HttpServer, FurtherConnectionReplacesTheOldestIdleOne)
{
    const Endpoint address { "127.0.0.1", findFreePort() };
    const std::unique_ptr<HttpServer> server = startServer(address, 3);
    std::optional<int> busyStatus;
    std::optional<int> status;
    const auto busy = connect(address);
    send(*busy, "/later", busyStatus);
    CHECK(runUntil([this]() { return pending.size() == 1; }));
    const auto oldest = connect(address);
    const auto newer = connect(address);
    for (HttpConnection *connection : { oldest.get(), newer.get() }) {
        status.reset();
        send(*connection, "/", status);
        CHECK(runUntil([&status]() { return status.has_value(); }));
    }
    const auto further = connect(address);
    status.reset();
    send(*further, "/", status);
    CHECK(runUntil([&status]() { return status.has_value(); }));
    CHECK_EQUAL(200, *status);
    CHECK_EQUAL(3U, server->connectionCount());
    CHECK(!oldest->isOpen());
    CHECK(newer->isOpen());
    pending.front()({});
    CHECK(runUntil([&busyStatus]() { return busyStatus.has_value(); }));
    CHECK_EQUAL(200, *busyStatus);
}

TEST(HttpServer, ConnectionWithARequestIsNeverReplaced)
{
    const Endpoint address { "127.0.0.1", findFreePort() };
    const std::unique_ptr<HttpServer> server = startServer(address, 1);
    std::optional<int> busyStatus;
    std::optional<int> status;
    const auto busy = connect(address);
    send(*busy, "/later", busyStatus);
    CHECK(runUntil([this]() { return pending.size() == 1; }));
    const auto further = connect(address);
    send(*further, "/", status);
    CHECK(runUntil([&status]() { return status.has_value(); }));
    CHECK_EQUAL(0, *status);
    pending.front()({});
    CHECK(runUntil([&busyStatus]() { return busyStatus.has_value(); }));
    CHECK_EQUAL(200, *busyStatus);
}
