// Messages between VMs over TCP: a frame is a length and an encoded message.
#pragma once

#include "daisyrelay/wire.h"

#include "bytestream.h"

#include <map>

namespace daisyrelay {

/// Control VMs listen; every VM connects to the control VMs that it talks to. A message to a VM that has connected here
/// goes back over its own connection. What can not be sent is lost; each protocol above repeats itself.
class PeerMesh
{
public:
    using Receive = std::function<void(const VmId &from, ClusterPayload payload)>;

    /// Peers are reached at their address and \p port, but for those in \p reachedAt.
    PeerMesh(boost::asio::io_context &context, VmId self, std::uint16_t port, std::map<VmId, Endpoint> reachedAt,
        Receive receive);

    /// \returns an error if the address can not be bound.
    Expected<void> listen();

    void send(const VmId &to, ClusterPayload payload);

    /// Drops the connection to \p to, so that the next message opens a new one.
    void reset(const VmId &to);

    void close();

private:
    struct Outgoing {
        std::shared_ptr<ByteStream> stream;
        Instant triedAt {};
    };

    void accept();
    std::size_t take(std::string_view bytes, const std::shared_ptr<ByteStream> &stream, bool accepted);

    boost::asio::io_context &context_;
    VmId self_;
    std::uint16_t port_;
    std::map<VmId, Endpoint> reachedAt_;
    Receive receive_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<VmId, Outgoing> outgoing_;
    std::map<VmId, std::weak_ptr<ByteStream>> accepted_;
};

} // namespace daisyrelay
