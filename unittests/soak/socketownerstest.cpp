#include "platform/soak/socketowners.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using tcp = boost::asio::ip::tcp;

TEST_GROUP(SocketOwners) {};

// A cut that mistakes a client for another one separates the wrong processes.
TEST(SocketOwners, FindsTheProcessAtTheOtherEndOfEachConnection)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.9"), 0 });
    tcp::acceptor other(context, { boost::asio::ip::make_address("127.0.0.10"), 0 });
    tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    tcp::socket clientOfOther(context);
    clientOfOther.connect(other.local_endpoint());
    const Endpoint listener { "127.0.0.9", acceptor.local_endpoint().port() };
    const std::map<std::uint16_t, pid_t> clients = soak::findClients({ ::getpid() }, listener);
    CHECK_EQUAL(1, clients.size());
    CHECK_EQUAL(::getpid(), clients.at(client.local_endpoint().port()));
    CHECK(soak::findClients({}, listener).empty());
}
