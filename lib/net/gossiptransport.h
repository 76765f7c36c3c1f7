// The UDP socket of the membership protocol.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/net/eventloopthread.h"

#include "gossipcodec.h"

#include <array>
#include <functional>
#include <memory>

#include <boost/asio/ip/udp.hpp>

namespace daisyrelay {

/// Sends and receives signed datagrams. Must be used on the peer thread only.
class GossipTransport
{
public:
    using MessageHandler = std::function<void(const GossipMessage &message)>;

    GossipTransport(EventLoopThread &thread, const std::string &secret, Counters &counters, MessageHandler onMessage);

    /// Binds the socket and starts receiving. \returns an error if the address cannot be bound.
    Expected<void> listen(const Endpoint &address);
    /// Sends one datagram; failures are only counted.
    void send(const Endpoint &to, const GossipMessage &message);

private:
    void receive();

    GossipCodec codec_;
    Counters &counters_;
    MessageHandler onMessage_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint senderEndpoint_;
    std::array<char, MaxDatagramBytes + 1> buffer_ {};
};

} // namespace daisyrelay
