#include "peermesh.h"

#include "daisyrelay/io.h"

#include <array>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t LengthBytes = 4;
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
static constexpr Duration ReconnectDelay = std::chrono::milliseconds(50);
/// More waits for a peer only if it does not read; then it is not worth keeping.
static constexpr std::size_t MostUnsent = std::size_t { 8 } * 1024 * 1024;

PeerMesh::PeerMesh(
    asio::io_context &context, VmId self, std::uint16_t port, std::map<VmId, Endpoint> reachedAt, Receive receive)
    : context_(context)
    , self_(std::move(self))
    , port_(port)
    , reachedAt_(std::move(reachedAt))
    , receive_(std::move(receive))
    , acceptor_(context)
{
}

Expected<void> PeerMesh::listen()
{
    if (Expected<void> listening = listenOn(acceptor_, Endpoint { self_.value, port_ }); !listening) {
        return listening;
    }
    accept();
    return {};
}

void PeerMesh::accept()
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
                return self ? take(bytes, self, true) : bytes.size();
            };
            stream->setHooks(std::move(hooks));
            stream->start();
        }
        accept();
    });
}

std::size_t PeerMesh::take(std::string_view bytes, const std::shared_ptr<ByteStream> &stream, bool accepted)
{
    std::size_t used = 0;
    while (bytes.size() - used >= LengthBytes) {
        std::uint32_t size = 0;
        constexpr unsigned BitsPerByte = 8;
        for (std::size_t at = 0; at < LengthBytes; ++at) {
            size = (size << BitsPerByte) | static_cast<unsigned char>(bytes[used + at]);
        }
        if (size > MaxPeerMessageBytes) {
            stream->close();
            return bytes.size();
        }
        if (bytes.size() - used - LengthBytes < size) {
            break;
        }
        Expected<ClusterMessage> message = decodeClusterMessage(bytes.substr(used + LengthBytes, size));
        used += LengthBytes + size;
        if (!message) {
            stream->close();
            return bytes.size();
        }
        if (accepted) {
            accepted_[message->from] = stream;
        }
        receive_(message->from, std::move(message->payload));
        if (!stream->isOpen()) {
            return bytes.size();
        }
    }
    return used;
}

void PeerMesh::send(const VmId &to, ClusterPayload payload)
{
    const std::string body = encodeClusterMessage({ self_, std::move(payload) });
    std::string frame;
    frame.reserve(LengthBytes + body.size());
    constexpr unsigned BitsPerByte = 8;
    constexpr unsigned LowByte = 0xff;
    for (std::size_t at = LengthBytes; at > 0; --at) {
        frame += static_cast<char>((body.size() >> (BitsPerByte * (at - 1))) & LowByte);
    }
    frame += body;
    if (const auto found = accepted_.find(to); found != accepted_.end()) {
        if (const std::shared_ptr<ByteStream> stream = found->second.lock(); stream && stream->isOpen()) {
            if (stream->unsent() < MostUnsent) {
                stream->write(frame);
            }
            return;
        }
        accepted_.erase(found);
    }
    Outgoing &outgoing = outgoing_[to];
    if (!outgoing.stream) {
        const Instant now = Clock::now();
        if (now - outgoing.triedAt < ReconnectDelay) {
            return;
        }
        outgoing.triedAt = now;
        outgoing.stream = std::make_shared<ByteStream>(tcp::socket(context_));
        ByteStream::Hooks hooks;
        hooks.onBytes = [this, weak = std::weak_ptr(outgoing.stream)](std::string_view bytes) {
            const std::shared_ptr<ByteStream> self = weak.lock();
            return self ? take(bytes, self, false) : bytes.size();
        };
        hooks.onClosed = [this, to, raw = outgoing.stream.get()](const ErrorCode &) {
            Outgoing &closed = outgoing_[to];
            if (closed.stream.get() == raw) {
                closed.stream.reset();
            }
        };
        outgoing.stream->setHooks(std::move(hooks));
        const auto other = reachedAt_.find(to);
        outgoing.stream->connect(
            other == reachedAt_.end() ? Endpoint { to.value, port_ } : other->second, ConnectTimeout);
    }
    if (outgoing.stream->unsent() < MostUnsent) {
        outgoing.stream->write(frame);
    }
}

void PeerMesh::reset(const VmId &to)
{
    const auto found = outgoing_.find(to);
    if (found != outgoing_.end() && found->second.stream) {
        found->second.stream->close();
        found->second.stream.reset();
    }
}

void PeerMesh::close()
{
    ErrorCode ignored;
    acceptor_.close(ignored);
    for (auto &[vm, outgoing] : outgoing_) {
        if (outgoing.stream) {
            outgoing.stream->close();
        }
    }
}

} // namespace daisyrelay
