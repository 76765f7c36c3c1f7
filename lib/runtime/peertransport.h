// Messages between VMs over TCP. A frame consists of a 4-byte big-endian length and an encoded message.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/wire.h"

#include "bytestream.h"
#include "nodecontext.h"

#include <map>

namespace daisyrelay {

/// Messages to a VM that has connected here use that connection; otherwise a connection to the VM is opened. Messages
/// that cannot be sent are dropped, because the protocols above retry. Messages of consensus and configurations are
/// dropped last.
class PeerTransport
{
public:
    /// Hooks without a value are not called.
    struct Hooks {
        std::function<void(const VmId &from, ClusterPayload payload)> onMessage;
        /// Called when the last connection to a peer has broken or could not be opened.
        std::function<void(const VmId &peer)> onDisconnected;
        /// Called for the first message on each connection, before onMessage. \p range has no value if the peer runs a
        /// build that announces no format versions.
        std::function<void(const VmId &peer, const std::optional<FormatRange> &range)> onPeerFormat;
        /// Called when a connection is closed because of a message that cannot be decoded.
        std::function<void(const std::string &detail)> onRefused;
        /// Called for messages and fields that were skipped.
        std::function<void(const PeerFormat::Received &received)> onSkipped;
    };

    /// Connects to peers at their own address and \p port, except for those in \p addressOverrides.
    PeerTransport(boost::asio::io_context &context, VmId self, std::uint16_t port,
        std::map<VmId, Endpoint> addressOverrides, Hooks hooks);

    /// \returns an error if the address cannot be bound.
    Expected<void> listen();

    void send(const VmId &to, ClusterPayload payload);

    /// Closes the connection to \p to, so that the next message opens a new one.
    void reset(const VmId &to);

    void close();

    [[nodiscard]] std::size_t unsentBytes() const;

    /// Reads what has arrived on all connections.
    void readArrivedBytes();

private:
    struct AcceptedConnection {
        std::weak_ptr<ByteStream> stream;
        std::shared_ptr<PeerFormat> format;
    };

    struct OutgoingConnection {
        std::shared_ptr<ByteStream> stream;
        std::shared_ptr<PeerFormat> format;
        ReconnectSchedule schedule;
    };

    void accept();
    void onAcceptedClosed(const ByteStream *stream);
    void notifyIfDisconnected(const VmId &peer);
    void openConnection(const VmId &to, OutgoingConnection &outgoing);
    /// \returns the number of bytes consumed.
    std::size_t processBytes(std::string_view bytes, const std::shared_ptr<ByteStream> &stream,
        const std::shared_ptr<PeerFormat> &format, bool isAccepted);
    /// Handles one message. \returns false if the connection must be closed.
    bool processMessage(std::string_view bytes, const std::shared_ptr<ByteStream> &stream,
        const std::shared_ptr<PeerFormat> &format, bool isAccepted);
    void sendOn(ByteStream &stream, PeerFormat &format, ClusterPayload payload);

    boost::asio::io_context &context_;
    VmId self_;
    std::uint16_t port_;
    std::map<VmId, Endpoint> addressOverrides_;
    Hooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    std::map<VmId, OutgoingConnection> outgoingConnections_;
    std::map<VmId, AcceptedConnection> acceptedConnections_;
};

/// Returns hooks that log and count what was refused or skipped. The other hooks have no value.
PeerTransport::Hooks countingPeerHooks(NodeContext &context);

} // namespace daisyrelay
