#include "outgoingpeerconnection.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t MaxQueuedMessages = 4096;
static constexpr Duration ReconnectDelay = std::chrono::milliseconds(100);
static constexpr Duration HandshakeTimeout = std::chrono::milliseconds(500);

OutgoingPeerConnection::OutgoingPeerConnection(asio::io_context &context, const FrameCodec &codec, VmId self, VmId peer,
    Endpoint address, std::function<void()> onBroken, Counters &counters)
    : socket_(context)
    , timer_(context)
    , codec_(codec)
    , hello_ { std::move(self), std::move(peer), {} }
    , address_(std::move(address))
    , onBroken_(std::move(onBroken))
    , counters_(counters)
{
}

const Endpoint &OutgoingPeerConnection::address() const
{
    return address_;
}

void OutgoingPeerConnection::send(std::string body)
{
    if (stage_ == Stage::Closed && Clock::now() < nextAttemptAt_) {
        counters_.add("peer.dropped.unreachable");
        return;
    }
    if (queuedBodies_.size() >= MaxQueuedMessages) {
        counters_.add("peer.dropped.queue-full");
        return;
    }
    queuedBodies_.push_back(std::move(body));
    if (stage_ == Stage::Closed) {
        connect();
    } else if (stage_ == Stage::Ready) {
        writeNext();
    }
}

void OutgoingPeerConnection::reset()
{
    if (stage_ != Stage::Closed) {
        closeConnection();
    }
}

template <typename Handler>
auto OutgoingPeerConnection::forCurrentAttempt(Handler handler)
{
    return [self = shared_from_this(), attempt = attempt_, handler](const ErrorCode &error, auto... /*bytes*/) {
        if (attempt != self->attempt_) {
            return;
        }
        if (error) {
            self->closeConnection();
            return;
        }
        handler(*self);
    };
}

void OutgoingPeerConnection::connect()
{
    stage_ = Stage::Connecting;
    ++attempt_;
    ErrorCode error;
    const asio::ip::address ip = asio::ip::make_address(address_.host, error);
    socket_ = tcp::socket(socket_.get_executor());
    startHandshakeTimer();
    socket_.async_connect(tcp::endpoint(ip, address_.port),
        forCurrentAttempt([](OutgoingPeerConnection &self) { self.readChallenge(); }));
}

void OutgoingPeerConnection::startHandshakeTimer()
{
    timer_.expires_after(HandshakeTimeout);
    timer_.async_wait([self = shared_from_this(), attempt = attempt_](const ErrorCode &error) {
        if (!error && attempt == self->attempt_ && self->stage_ == Stage::Connecting) {
            self->counters_.add("peer.handshake.timeout");
            self->closeConnection();
        }
    });
}

void OutgoingPeerConnection::readChallenge()
{
    ErrorCode ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    challenge_.assign(FrameCodec::NonceBytes, '\0');
    asio::async_read(
        socket_, asio::buffer(challenge_), forCurrentAttempt([](OutgoingPeerConnection &self) { self.sendHello(); }));
}

void OutgoingPeerConnection::sendHello()
{
    hello_.nonce = FrameCodec::randomNonce();
    session_.emplace(codec_.session(hello_, challenge_));
    frameInFlight_ = std::make_shared<std::string>(codec_.sealHello(hello_, challenge_));
    asio::async_write(socket_, asio::buffer(*frameInFlight_),
        [frame = frameInFlight_, handler = forCurrentAttempt([](OutgoingPeerConnection &self) {
            self.readConfirmation();
        })](const ErrorCode &error, std::size_t) { handler(error); });
}

void OutgoingPeerConnection::readConfirmation()
{
    frameInFlight_.reset();
    confirmation_.assign(FrameCodec::TagBytes, '\0');
    asio::async_read(socket_, asio::buffer(confirmation_),
        forCurrentAttempt([](OutgoingPeerConnection &self) { self.onConfirmation(); }));
}

void OutgoingPeerConnection::onConfirmation()
{
    if (confirmation_ != session_->confirmation()) {
        counters_.add("peer.rejected.confirmation");
        closeConnection();
        return;
    }
    stage_ = Stage::Ready;
    readUntilClosed();
    writeNext();
}

void OutgoingPeerConnection::readUntilClosed()
{
    socket_.async_read_some(
        asio::buffer(readBuffer_), forCurrentAttempt([](OutgoingPeerConnection &self) { self.closeConnection(); }));
}

void OutgoingPeerConnection::writeNext()
{
    if (frameInFlight_ || queuedBodies_.empty()) {
        return;
    }
    frameInFlight_ = std::make_shared<std::string>(session_->seal(queuedBodies_.front()));
    queuedBodies_.pop_front();
    const auto onWritten = forCurrentAttempt([](OutgoingPeerConnection &self) {
        self.frameInFlight_.reset();
        self.writeNext();
    });
    asio::async_write(socket_, asio::buffer(*frameInFlight_),
        [frame = frameInFlight_, onWritten](const ErrorCode &error, std::size_t) { onWritten(error); });
}

void OutgoingPeerConnection::closeConnection()
{
    ++attempt_;
    ErrorCode ignored;
    socket_.close(ignored);
    timer_.cancel();
    stage_ = Stage::Closed;
    session_.reset();
    frameInFlight_.reset();
    queuedBodies_.clear();
    nextAttemptAt_ = Clock::now() + ReconnectDelay;
    onBroken_();
}

} // namespace daisyrelay
