#include "peerlink.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

static constexpr std::size_t LongestQueue = 4096;
static constexpr Duration ReconnectDelay = std::chrono::milliseconds(100);
static constexpr Duration HandshakeTimeout = std::chrono::milliseconds(500);

PeerLink::PeerLink(asio::io_context &context, const FrameCodec &codec, VmId self, VmId peer, Endpoint address,
    std::function<void()> onBroken, Counters &counters)
    : socket_(context)
    , timer_(context)
    , codec_(codec)
    , hello_ { std::move(self), std::move(peer), {} }
    , address_(std::move(address))
    , onBroken_(std::move(onBroken))
    , counters_(counters)
{
}

const Endpoint &PeerLink::address() const
{
    return address_;
}

void PeerLink::send(std::string body)
{
    if (stage_ == Stage::Closed && Clock::now() < retryAt_) {
        counters_.add("peer.dropped.unreachable");
        return;
    }
    if (bodies_.size() >= LongestQueue) {
        counters_.add("peer.dropped.queue-full");
        return;
    }
    bodies_.push_back(std::move(body));
    if (stage_ == Stage::Closed) {
        connect();
    } else if (stage_ == Stage::Ready) {
        writeNext();
    }
}

void PeerLink::reset()
{
    if (stage_ != Stage::Closed) {
        broken();
    }
}

template <typename Next>
auto PeerLink::step(Next next)
{
    return [self = shared_from_this(), attempt = attempt_, next](const ErrorCode &error, auto... /*bytes*/) {
        if (attempt != self->attempt_) {
            return;
        }
        if (error) {
            self->broken();
            return;
        }
        next(*self);
    };
}

void PeerLink::connect()
{
    stage_ = Stage::Connecting;
    ++attempt_;
    ErrorCode error;
    const asio::ip::address ip = asio::ip::make_address(address_.host, error);
    socket_ = tcp::socket(socket_.get_executor());
    startTimer();
    socket_.async_connect(tcp::endpoint(ip, address_.port), step([](PeerLink &self) { self.readChallenge(); }));
}

/// A handshake that stays silent must not hold the queue.
void PeerLink::startTimer()
{
    timer_.expires_after(HandshakeTimeout);
    timer_.async_wait([self = shared_from_this(), attempt = attempt_](const ErrorCode &error) {
        if (!error && attempt == self->attempt_ && self->stage_ == Stage::Connecting) {
            self->counters_.add("peer.handshake.timeout");
            self->broken();
        }
    });
}

void PeerLink::readChallenge()
{
    ErrorCode ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    challenge_.assign(FrameCodec::NonceBytes, '\0');
    asio::async_read(socket_, asio::buffer(challenge_), step([](PeerLink &self) { self.sendHello(); }));
}

void PeerLink::sendHello()
{
    hello_.nonce = FrameCodec::randomNonce();
    session_.emplace(codec_.session(hello_, challenge_));
    frame_ = std::make_shared<std::string>(codec_.sealHello(hello_, challenge_));
    asio::async_write(socket_, asio::buffer(*frame_), [frame = frame_, next = step([](PeerLink &self) {
        self.readConfirmation();
    })](const ErrorCode &error, std::size_t) { next(error); });
}

void PeerLink::readConfirmation()
{
    frame_.reset();
    confirmation_.assign(FrameCodec::TagBytes, '\0');
    asio::async_read(socket_, asio::buffer(confirmation_), step([](PeerLink &self) { self.onReady(); }));
}

void PeerLink::onReady()
{
    if (confirmation_ != session_->confirmation()) {
        counters_.add("peer.rejected.confirmation");
        broken();
        return;
    }
    stage_ = Stage::Ready;
    watchForClose();
    writeNext();
}

/// The other side never writes on this connection, so a finished read means that it is gone.
void PeerLink::watchForClose()
{
    socket_.async_read_some(asio::buffer(unused_), step([](PeerLink &self) { self.broken(); }));
}

void PeerLink::writeNext()
{
    if (frame_ || bodies_.empty()) {
        return;
    }
    frame_ = std::make_shared<std::string>(session_->seal(bodies_.front()));
    bodies_.pop_front();
    const auto onWritten = step([](PeerLink &self) {
        self.frame_.reset();
        self.writeNext();
    });
    asio::async_write(socket_, asio::buffer(*frame_),
        [frame = frame_, onWritten](const ErrorCode &error, std::size_t) { onWritten(error); });
}

void PeerLink::broken()
{
    ++attempt_;
    ErrorCode ignored;
    socket_.close(ignored);
    timer_.cancel();
    stage_ = Stage::Closed;
    session_.reset();
    frame_.reset();
    bodies_.clear();
    retryAt_ = Clock::now() + ReconnectDelay;
    onBroken_();
}

} // namespace daisyrelay
