// Messages between VMs over TCP. A frame consists of a 4-byte big-endian length and an encoded message.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include "bytestream.h"

#include <map>

namespace daisyrelay {

/// Messages to a VM that has connected here use that connection; otherwise a connection to the VM is opened. Messages
/// that cannot be sent are dropped, because the protocols above retry. Messages of consensus and configurations are
/// dropped last.
class PeerTransport
{
public:
    using MessageHandler = std::function<void(const VmId &from, ClusterPayload payload)>;
    using DisconnectHandler = std::function<void(const VmId &peer)>;

    /// Connects to peers at their own address and \p port, except for those in \p addressOverrides. \p onDisconnected
    /// is called when the last connection to a peer has broken or could not be opened.
    PeerTransport(boost::asio::io_context &context, VmId self, std::uint16_t port,
        std::map<VmId, Endpoint> addressOverrides, MessageHandler onMessage, DisconnectHandler onDisconnected = {});

    /// \returns an error if the address cannot be bound.
    Expected<void> listen();

    void send(const VmId &to, ClusterPayload payload);

    /// Closes the connection to \p to, so that the next message opens a new one.
    void reset(const VmId &to);

    void close();

private:
    struct OutgoingConnection {
        std::shared_ptr<ByteStream> stream;
        ReconnectSchedule schedule;
    };

    void accept();
    void onAcceptedClosed(const ByteStream *stream);
    void notifyIfDisconnected(const VmId &peer);
    void openConnection(const VmId &to, OutgoingConnection &outgoing);
    /// \returns the number of bytes consumed.
    std::size_t processBytes(std::string_view bytes, const std::shared_ptr<ByteStream> &stream, bool isAccepted);

    boost::asio::io_context &context_;
    VmId self_;
    std::uint16_t port_;
    std::map<VmId, Endpoint> addressOverrides_;
    MessageHandler onMessage_;
    DisconnectHandler onDisconnected_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    std::map<VmId, OutgoingConnection> outgoingConnections_;
    std::map<VmId, std::weak_ptr<ByteStream>> acceptedConnections_;
};

} // namespace daisyrelay
