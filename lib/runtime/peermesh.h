// Messages between VMs over TCP: a frame is a length and an encoded message.
#pragma once

#include "daisyrelay/wire.h"

#include "bytestream.h"

#include <map>

namespace daisyrelay {

/// Control VMs listen; every VM connects to the control VMs that it talks to. A message to a VM that has connected here
/// goes back over its own connection. What can not be sent is lost; each protocol above repeats itself.
class PeerTransport
{
public:
    using MessageHandler = std::function<void(const VmId &from, ClusterPayload payload)>;

    /// Peers are reached at their address and \p port, but for those in \p addressOverrides.
    PeerTransport(boost::asio::io_context &context, VmId self, std::uint16_t port,
        std::map<VmId, Endpoint> addressOverrides, MessageHandler onMessage);

    /// \returns an error if the address can not be bound.
    Expected<void> listen();

    void send(const VmId &to, ClusterPayload payload);

    /// Drops the connection to \p to, so that the next message opens a new one.
    void reset(const VmId &to);

    void close();

private:
    struct OutgoingConnection {
        std::shared_ptr<ByteStream> stream;
        Instant lastAttemptAt {};
    };

    void accept();
    std::size_t processBytes(std::string_view bytes, const std::shared_ptr<ByteStream> &stream, bool isAccepted);

    boost::asio::io_context &context_;
    VmId self_;
    std::uint16_t port_;
    std::map<VmId, Endpoint> addressOverrides_;
    MessageHandler onMessage_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<VmId, OutgoingConnection> outgoingConnections_;
    std::map<VmId, std::weak_ptr<ByteStream>> acceptedConnections_;
};

} // namespace daisyrelay
