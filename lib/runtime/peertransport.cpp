#include "peertransport.h"

#include "daisyrelay/io.h"

#include <array>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t LengthBytes = 4;
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
/// Delay after a connection could not be accepted, for example because no descriptor is free.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(20);
/// Messages are dropped beyond this limit, which is reached only if the peer does not read.
static constexpr std::size_t MaxUnsentBytes = std::size_t { 8 } * 1024 * 1024;
/// The same for messages of consensus and configurations, so that no other message takes their room.
static constexpr std::size_t MaxUnsentBytesWithPrecedence = MaxUnsentBytes + 2 * MaxPeerMessageBytes;

static std::size_t maxUnsentBytesBefore(const ClusterPayload &payload)
{
    const auto *update = std::get_if<EntryUpdate>(&payload);
    const bool hasPrecedence
        = std::holds_alternative<RaftMessage>(payload) || (update != nullptr && !update->configuration.empty());
    return hasPrecedence ? MaxUnsentBytesWithPrecedence : MaxUnsentBytes;
}

PeerTransport::PeerTransport(asio::io_context &context, VmId self, std::uint16_t port,
    std::map<VmId, Endpoint> addressOverrides, MessageHandler onMessage, DisconnectHandler onDisconnected)
    : context_(context)
    , self_(std::move(self))
    , port_(port)
    , addressOverrides_(std::move(addressOverrides))
    , onMessage_(std::move(onMessage))
    , onDisconnected_(std::move(onDisconnected))
    , acceptor_(context)
    , acceptTimer_(context)
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
        if (error) {
            acceptTimer_.expires_after(AcceptRetryDelay);
            acceptTimer_.async_wait([this](const ErrorCode &timerError) {
                if (!timerError && acceptor_.is_open()) {
                    accept();
                }
            });
            return;
        }
        auto stream = std::make_shared<ByteStream>(std::move(socket));
        ByteStream::Hooks hooks;
        hooks.onBytes = [this, weak = std::weak_ptr(stream)](std::string_view bytes) {
            const std::shared_ptr<ByteStream> self = weak.lock();
            return self ? processBytes(bytes, self, true) : bytes.size();
        };
        hooks.onClosed = [this, closed = stream.get()](const ErrorCode &) { onAcceptedClosed(closed); };
        stream->setHooks(std::move(hooks));
        stream->start();
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
    const std::size_t maxUnsentBytes = maxUnsentBytesBefore(payload);
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
            if (stream->unsentBytes() < maxUnsentBytes) {
                stream->write(frame);
            }
            return;
        }
        acceptedConnections_.erase(found);
    }
    OutgoingConnection &outgoing = outgoingConnections_[to];
    if (!outgoing.stream) {
        if (!outgoing.schedule.isDue(Clock::now())) {
            return;
        }
        openConnection(to, outgoing);
    }
    if (outgoing.stream->unsentBytes() < maxUnsentBytes) {
        outgoing.stream->write(frame);
    }
}

void PeerTransport::openConnection(const VmId &to, OutgoingConnection &outgoing)
{
    outgoing.stream = std::make_shared<ByteStream>(tcp::socket(context_));
    ByteStream::Hooks hooks;
    hooks.onBytes = [this, weak = std::weak_ptr(outgoing.stream)](std::string_view bytes) {
        const std::shared_ptr<ByteStream> self = weak.lock();
        return self ? processBytes(bytes, self, false) : bytes.size();
    };
    hooks.onConnected = [this, to]() { outgoingConnections_[to].schedule.onConnected(Clock::now()); };
    hooks.onClosed = [this, to, closedStream = outgoing.stream.get()](const ErrorCode &) {
        OutgoingConnection &closed = outgoingConnections_[to];
        if (closed.stream.get() == closedStream) {
            closed.stream.reset();
            closed.schedule.onClosed(Clock::now(), drawRandomNumber);
            notifyIfDisconnected(to);
        }
    };
    outgoing.stream->setHooks(std::move(hooks));
    const auto addressOverride = addressOverrides_.find(to);
    outgoing.stream->connect(
        addressOverride == addressOverrides_.end() ? Endpoint { to.value, port_ } : addressOverride->second,
        ConnectTimeout);
}

void PeerTransport::reset(const VmId &to)
{
    const auto found = outgoingConnections_.find(to);
    if (found != outgoingConnections_.end() && found->second.stream) {
        found->second.stream->close();
        found->second.stream.reset();
        found->second.schedule.onClosed(Clock::now(), drawRandomNumber);
    }
}

void PeerTransport::close()
{
    ErrorCode ignored;
    acceptor_.close(ignored);
    acceptTimer_.cancel();
    for (auto &[vm, outgoing] : outgoingConnections_) {
        if (outgoing.stream) {
            outgoing.stream->close();
        }
    }
}

} // namespace daisyrelay
