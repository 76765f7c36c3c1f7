// The UDP socket of the membership protocol.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/net/duty.h"

#include "gossipcodec.h"

#include <array>
#include <functional>
#include <memory>

#include <boost/asio/ip/udp.hpp>

namespace daisyrelay {

/// Sends and receives signed datagrams; lives on the peer thread.
class GossipTransport
{
public:
    using MessageHandler = std::function<void(const GossipMessage &message)>;

    GossipTransport(EventLoopThread &thread, const std::string &secret, Counters &counters, MessageHandler onMessage);

    Expected<void> listen(const Endpoint &address);
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
