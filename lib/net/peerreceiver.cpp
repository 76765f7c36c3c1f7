#include "peerreceiver.h"

#include "daisyrelay/wire.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

static constexpr Duration HandshakeTimeout = std::chrono::seconds(2);

IncomingPeerConnection::IncomingPeerConnection(
    asio::ip::tcp::socket socket, const FrameCodec &codec, VmId self, FrameHandler onFrame, Counters &counters)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , codec_(codec)
    , self_(std::move(self))
    , onFrame_(std::move(onFrame))
    , counters_(counters)
{
}

void IncomingPeerConnection::start()
{
    timer_.expires_after(HandshakeTimeout);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &error) {
        if (!error) {
            ErrorCode ignored;
            self->socket_.close(ignored);
        }
    });
    challenge_ = FrameCodec::randomNonce();
    asio::async_write(
        socket_, asio::buffer(challenge_), [self = shared_from_this()](const ErrorCode &error, std::size_t) {
            if (!error) {
                self->readHello();
            }
        });
}

template <typename Handler>
void IncomingPeerConnection::readPayload(std::size_t maxBytes, Handler handler)
{
    asio::async_read(socket_, asio::buffer(length_),
        [self = shared_from_this(), maxBytes, handler](const ErrorCode &error, std::size_t) {
            const Expected<std::size_t> size = FrameCodec::payloadSize(self->length_);
            if (error || !size || *size > maxBytes) {
                return;
            }
            self->payload_.resize(*size);
            asio::async_read(
                self->socket_, asio::buffer(self->payload_), [self, handler](const ErrorCode &failure, std::size_t) {
                    if (!failure) {
                        handler(*self);
                    }
                });
        });
}

void IncomingPeerConnection::readHello()
{
    readPayload(FrameCodec::MaxHelloBytes, [](IncomingPeerConnection &self) { self.onHello(); });
}

void IncomingPeerConnection::onHello()
{
    const Expected<PeerHello> hello = codec_.openHello(payload_, challenge_);
    if (!hello) {
        counters_.add("peer.rejected.handshake");
        return;
    }
    if (hello->to != self_) {
        counters_.add("peer.rejected.wrong-receiver");
        return;
    }
    timer_.cancel();
    sender_ = hello->from;
    session_.emplace(codec_.session(*hello, challenge_));
    confirmation_ = session_->confirmation();
    asio::async_write(
        socket_, asio::buffer(confirmation_), [self = shared_from_this()](const ErrorCode &error, std::size_t) {
            if (!error) {
                self->readFrame();
            }
        });
}

void IncomingPeerConnection::readFrame()
{
    readPayload(MaxPeerMessageBytes + FrameCodec::TagBytes, [](IncomingPeerConnection &self) { self.handleFrame(); });
}

void IncomingPeerConnection::handleFrame()
{
    const Expected<std::string_view> body = session_->open(payload_);
    if (!body) {
        counters_.add("peer.rejected.signature");
        return;
    }
    if (onFrame_(sender_, *body)) {
        readFrame();
    }
}

} // namespace daisyrelay
