#include "gossiptransport.h"

namespace daisyrelay {

namespace asio = boost::asio;
using udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

GossipTransport::GossipTransport(
    EventLoopThread &thread, const std::string &secret, Counters &counters, MessageHandler onMessage)
    : codec_(secret), counters_(counters), onMessage_(std::move(onMessage)), socket_(thread.context())
{
}

Expected<void> GossipTransport::listen(const Endpoint &address)
{
    ErrorCode error;
    const udp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        socket_.open(endpoint.protocol(), error);
    }
    if (!error) {
        socket_.bind(endpoint, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, "peer: " + error.message() });
    }
    receive();
    return {};
}

void GossipTransport::send(const Endpoint &to, const GossipMessage &message)
{
    ErrorCode error;
    const asio::ip::address ip = asio::ip::make_address(to.host, error);
    if (error) {
        counters_.add("gossip.dropped.address");
        return;
    }
    const std::string datagram = codec_.seal(message);
    socket_.send_to(asio::buffer(datagram), udp::endpoint(ip, to.port), 0, error);
    counters_.add(error ? "gossip.dropped.send" : "gossip.sent");
    counters_.add("gossip.sent.bytes", error ? 0 : datagram.size());
}

void GossipTransport::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), senderEndpoint_, [this](const ErrorCode &error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            // Other errors tell of an earlier datagram that did not arrive.
            if (!error) {
                counters_.add("gossip.received");
                counters_.add("gossip.received.bytes", size);
                if (const Expected<GossipMessage> message = codec_.open({ buffer_.data(), size }); message) {
                    onMessage_(*message);
                } else {
                    counters_.add("gossip.dropped.garbage");
                }
            }
            receive();
        });
}

} // namespace daisyrelay
