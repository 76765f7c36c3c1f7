#include "peertransport.h"

#include "daisyrelay/io.h"

#include <array>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t LengthBytes = 4;
static constexpr unsigned BitsPerByte = 8;
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

static std::string frameOf(const std::string &body)
{
    std::string frame;
    frame.reserve(LengthBytes + body.size());
    constexpr unsigned LowByte = 0xff;
    for (std::size_t index = LengthBytes; index > 0; --index) {
        frame += static_cast<char>((body.size() >> (BitsPerByte * (index - 1))) & LowByte);
    }
    return frame += body;
}

PeerTransport::PeerTransport(
    asio::io_context &context, VmId self, std::uint16_t port, std::map<VmId, Endpoint> addressOverrides, Hooks hooks)
    : context_(context)
    , self_(std::move(self))
    , port_(port)
    , addressOverrides_(std::move(addressOverrides))
    , hooks_(std::move(hooks))
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
        auto format = std::make_shared<PeerFormat>();
        ByteStream::Hooks hooks;
        hooks.onBytes = [this, weak = std::weak_ptr(stream), format](std::string_view bytes) {
            const std::shared_ptr<ByteStream> self = weak.lock();
            return self ? processBytes(bytes, self, format, true) : bytes.size();
        };
        hooks.onClosed = [this, closed = stream.get()](const ErrorCode &) { onAcceptedClosed(closed); };
        stream->setHooks(std::move(hooks));
        stream->start();
        stream->write(frameOf(format->announcement(self_)));
        accept();
    });
}

void PeerTransport::onAcceptedClosed(const ByteStream *stream)
{
    for (auto at = acceptedConnections_.begin(); at != acceptedConnections_.end();) {
        const std::shared_ptr<ByteStream> accepted = at->second.stream.lock();
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
    if (!hooks_.onDisconnected || acceptedConnections_.contains(peer)
        || (outgoing != outgoingConnections_.end() && outgoing->second.stream)) {
        return;
    }
    // A connection may break while a message is being sent, when the receiver is not prepared for the call.
    asio::post(context_, [this, peer]() { hooks_.onDisconnected(peer); });
}

std::size_t PeerTransport::processBytes(std::string_view bytes, const std::shared_ptr<ByteStream> &stream,
    const std::shared_ptr<PeerFormat> &format, bool isAccepted)
{
    std::size_t consumedBytes = 0;
    while (bytes.size() - consumedBytes >= LengthBytes) {
        std::uint32_t bodyBytes = 0;
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
        const std::string_view body = bytes.substr(consumedBytes + LengthBytes, bodyBytes);
        consumedBytes += LengthBytes + bodyBytes;
        if (!processMessage(body, stream, format, isAccepted)) {
            stream->close();
        }
        if (!stream->isOpen()) {
            return bytes.size();
        }
    }
    return consumedBytes;
}

bool PeerTransport::processMessage(std::string_view bytes, const std::shared_ptr<ByteStream> &stream,
    const std::shared_ptr<PeerFormat> &format, bool isAccepted)
{
    const bool isFirst = !format->isPeerKnown();
    Expected<PeerFormat::Received> received = format->receive(bytes);
    if (!received) {
        if (hooks_.onRefused) {
            hooks_.onRefused(received.error().detail);
        }
        return false;
    }
    if (isAccepted) {
        acceptedConnections_[received->from] = { stream, format };
    }
    if (isFirst && hooks_.onPeerFormat) {
        hooks_.onPeerFormat(received->from, format->peerRange());
    }
    for (const std::string &message : format->takeHeldBack(self_)) {
        stream->write(frameOf(message));
    }
    const bool hasSkipped = received->isUnknownKind || received->isAmbiguous || received->skippedFields > 0;
    if (hasSkipped && hooks_.onSkipped) {
        hooks_.onSkipped(*received);
    }
    if (received->payload) {
        hooks_.onMessage(received->from, std::move(*received->payload));
    }
    return true;
}

void PeerTransport::sendOn(ByteStream &stream, PeerFormat &format, ClusterPayload payload)
{
    if (stream.unsentBytes() >= maxUnsentBytesBefore(payload)) {
        return;
    }
    for (const std::string &message : format.send(self_, std::move(payload))) {
        stream.write(frameOf(message));
    }
}

void PeerTransport::send(const VmId &to, ClusterPayload payload)
{
    if (const auto found = acceptedConnections_.find(to); found != acceptedConnections_.end()) {
        if (const std::shared_ptr<ByteStream> stream = found->second.stream.lock(); stream && stream->isOpen()) {
            sendOn(*stream, *found->second.format, std::move(payload));
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
    sendOn(*outgoing.stream, *outgoing.format, std::move(payload));
}

void PeerTransport::openConnection(const VmId &to, OutgoingConnection &outgoing)
{
    outgoing.stream = std::make_shared<ByteStream>(tcp::socket(context_));
    outgoing.format = std::make_shared<PeerFormat>();
    ByteStream::Hooks hooks;
    hooks.onBytes = [this, weak = std::weak_ptr(outgoing.stream), format = outgoing.format](std::string_view bytes) {
        const std::shared_ptr<ByteStream> self = weak.lock();
        return self ? processBytes(bytes, self, format, false) : bytes.size();
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
    outgoing.stream->write(frameOf(outgoing.format->announcement(self_)));
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

std::size_t PeerTransport::unsentBytes() const
{
    std::size_t unsentBytes = 0;
    for (const auto &[vm, outgoing] : outgoingConnections_) {
        unsentBytes += outgoing.stream ? outgoing.stream->unsentBytes() : 0;
    }
    for (const auto &[vm, accepted] : acceptedConnections_) {
        const std::shared_ptr<ByteStream> stream = accepted.stream.lock();
        unsentBytes += stream ? stream->unsentBytes() : 0;
    }
    return unsentBytes;
}

void PeerTransport::readArrivedBytes()
{
    std::vector<std::shared_ptr<ByteStream>> streams;
    for (const auto &[vm, outgoing] : outgoingConnections_) {
        streams.push_back(outgoing.stream);
    }
    for (const auto &[vm, accepted] : acceptedConnections_) {
        streams.push_back(accepted.stream.lock());
    }
    for (const std::shared_ptr<ByteStream> &stream : streams) {
        if (stream) {
            stream->readArrivedBytes();
        }
    }
}

PeerTransport::Hooks countingPeerHooks(NodeContext &context)
{
    PeerTransport::Hooks hooks;
    hooks.onRefused = [&context](const std::string &detail) {
        context.metrics.add(R"(peer_messages_refused_total{reason="malformed"})");
        context.log.log(Clock::now(), "peer.malformed", { { "error", std::string_view(detail) } });
    };
    hooks.onSkipped = [&context](const PeerFormat::Received &received) {
        context.metrics.add("peer_fields_skipped_total", received.skippedFields);
        context.metrics.add("peer_messages_skipped_total", received.isUnknownKind || received.isAmbiguous ? 1 : 0);
    };
    return hooks;
}

} // namespace daisyrelay
