#include "peertransport.h"

#include "daisyrelay/io.h"

#include <array>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t LengthBytes = 4;
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
static constexpr Duration ReconnectDelay = std::chrono::milliseconds(50);
/// Messages are dropped beyond this limit, which is reached only if the peer does not read.
static constexpr std::size_t MaxUnsentBytes = std::size_t { 8 } * 1024 * 1024;

PeerTransport::PeerTransport(asio::io_context &context, VmId self, std::uint16_t port,
    std::map<VmId, Endpoint> addressOverrides, MessageHandler onMessage, DisconnectHandler onDisconnected)
    : context_(context)
    , self_(std::move(self))
    , port_(port)
    , addressOverrides_(std::move(addressOverrides))
    , onMessage_(std::move(onMessage))
    , onDisconnected_(std::move(onDisconnected))
    , acceptor_(context)
{
}

Expected<void> PeerTransport::listen()
{
    if (Expected<void> listening = listenOn(acceptor_, Endpoint { self_.value, port_ }); !listening) {
        return listening;
    }
    accept();
    return {};
}

void PeerTransport::accept()
{
    acceptor_.async_accept([this](const ErrorCode &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!error) {
            auto stream = std::make_shared<ByteStream>(std::move(socket));
            ByteStream::Hooks hooks;
            hooks.onBytes = [this, weak = std::weak_ptr(stream)](std::string_view bytes) {
                const std::shared_ptr<ByteStream> self = weak.lock();
                return self ? processBytes(bytes, self, true) : bytes.size();
            };
            hooks.onClosed = [this, closed = stream.get()](const ErrorCode &) { onAcceptedClosed(closed); };
            stream->setHooks(std::move(hooks));
            stream->start();
        }
        accept();
    });
}

void PeerTransport::onAcceptedClosed(const ByteStream *stream)
{
    for (auto at = acceptedConnections_.begin(); at != acceptedConnections_.end();) {
        const std::shared_ptr<ByteStream> accepted = at->second.lock();
        if (accepted && accepted.get() != stream) {
            ++at;
            continue;
        }
        const VmId peer = at->first;
        at = acceptedConnections_.erase(at);
        notifyIfDisconnected(peer);
    }
}

void PeerTransport::notifyIfDisconnected(const VmId &peer)
{
    const auto outgoing = outgoingConnections_.find(peer);
    if (!onDisconnected_ || acceptedConnections_.contains(peer)
        || (outgoing != outgoingConnections_.end() && outgoing->second.stream)) {
        return;
    }
    // A connection may break while a message is being sent, when the receiver is not prepared for the call.
    asio::post(context_, [this, peer]() { onDisconnected_(peer); });
}

std::size_t PeerTransport::processBytes(
    std::string_view bytes, const std::shared_ptr<ByteStream> &stream, bool isAccepted)
{
    std::size_t consumedBytes = 0;
    while (bytes.size() - consumedBytes >= LengthBytes) {
        std::uint32_t bodyBytes = 0;
        constexpr unsigned BitsPerByte = 8;
        for (std::size_t index = 0; index < LengthBytes; ++index) {
            bodyBytes = (bodyBytes << BitsPerByte) | static_cast<unsigned char>(bytes[consumedBytes + index]);
        }
        if (bodyBytes > MaxPeerMessageBytes) {
            stream->close();
            return bytes.size();
        }
        if (bytes.size() - consumedBytes - LengthBytes < bodyBytes) {
            break;
        }
        Expected<ClusterMessage> message = decodeClusterMessage(bytes.substr(consumedBytes + LengthBytes, bodyBytes));
        consumedBytes += LengthBytes + bodyBytes;
        if (!message) {
            stream->close();
            return bytes.size();
        }
        if (isAccepted) {
            acceptedConnections_[message->from] = stream;
        }
        onMessage_(message->from, std::move(message->payload));
        if (!stream->isOpen()) {
            return bytes.size();
        }
    }
    return consumedBytes;
}

void PeerTransport::send(const VmId &to, ClusterPayload payload)
{
    const std::string body = encodeClusterMessage({ self_, std::move(payload) });
    std::string frame;
    frame.reserve(LengthBytes + body.size());
    constexpr unsigned BitsPerByte = 8;
    constexpr unsigned LowByte = 0xff;
    for (std::size_t index = LengthBytes; index > 0; --index) {
        frame += static_cast<char>((body.size() >> (BitsPerByte * (index - 1))) & LowByte);
    }
    frame += body;
    if (const auto found = acceptedConnections_.find(to); found != acceptedConnections_.end()) {
        if (const std::shared_ptr<ByteStream> stream = found->second.lock(); stream && stream->isOpen()) {
            if (stream->unsentBytes() < MaxUnsentBytes) {
                stream->write(frame);
            }
            return;
        }
        acceptedConnections_.erase(found);
    }
    OutgoingConnection &outgoing = outgoingConnections_[to];
    if (!outgoing.stream) {
        const Instant now = Clock::now();
        if (now - outgoing.lastAttemptAt < ReconnectDelay) {
            return;
        }
        outgoing.lastAttemptAt = now;
        outgoing.stream = std::make_shared<ByteStream>(tcp::socket(context_));
        ByteStream::Hooks hooks;
        hooks.onBytes = [this, weak = std::weak_ptr(outgoing.stream)](std::string_view bytes) {
            const std::shared_ptr<ByteStream> self = weak.lock();
            return self ? processBytes(bytes, self, false) : bytes.size();
        };
        hooks.onClosed = [this, to, closedStream = outgoing.stream.get()](const ErrorCode &) {
            OutgoingConnection &closed = outgoingConnections_[to];
            if (closed.stream.get() == closedStream) {
                closed.stream.reset();
                notifyIfDisconnected(to);
            }
        };
        outgoing.stream->setHooks(std::move(hooks));
        const auto addressOverride = addressOverrides_.find(to);
        outgoing.stream->connect(
            addressOverride == addressOverrides_.end() ? Endpoint { to.value, port_ } : addressOverride->second,
            ConnectTimeout);
    }
    if (outgoing.stream->unsentBytes() < MaxUnsentBytes) {
        outgoing.stream->write(frame);
    }
}

void PeerTransport::reset(const VmId &to)
{
    const auto found = outgoingConnections_.find(to);
    if (found != outgoingConnections_.end() && found->second.stream) {
        found->second.stream->close();
        found->second.stream.reset();
    }
}

void PeerTransport::close()
{
    ErrorCode ignored;
    acceptor_.close(ignored);
    for (auto &[vm, outgoing] : outgoingConnections_) {
        if (outgoing.stream) {
            outgoing.stream->close();
        }
    }
}

} // namespace daisyrelay
