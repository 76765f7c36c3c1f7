#include "bytestream.h"

#include <array>

#include <netinet/tcp.h>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// A peer that acknowledges nothing for longer is gone; bounds of failover and of draining are seconds.
static constexpr int UnacknowledgedLimitMs = 1000;
static constexpr int KeepAliveIdleSeconds = 1; ///< Probes find a peer that went silent while nothing was sent.
static constexpr int KeepAliveIntervalSeconds = 1;
static constexpr int KeepAliveProbes = 2;
static constexpr std::size_t ReadBytes = std::size_t { 64 } * 1024;

ByteStream::ByteStream(tcp::socket socket) : socket_(std::move(socket)), timer_(socket_.get_executor())
{
}

void ByteStream::setHooks(Hooks hooks)
{
    hooks_ = std::move(hooks);
}

void ByteStream::prepare()
{
    ErrorCode ignored;
    const int descriptor = socket_.native_handle();
    const auto set
        = [descriptor](int level, int name, int value) { ::setsockopt(descriptor, level, name, &value, sizeof value); };
    socket_.non_blocking(true, ignored);
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedLimitMs);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void ByteStream::start()
{
    open_ = true;
    prepare();
    waitForBytes();
}

void ByteStream::connect(const Endpoint &address, Duration timeout)
{
    ErrorCode error;
    const asio::ip::address ip = asio::ip::make_address(address.host, error);
    if (!error) {
        socket_.open(tcp::v4(), error);
    }
    if (error) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), error]() { self->fail(error); });
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &ended) {
        if (!ended && !self->open_) {
            self->fail(asio::error::timed_out);
        }
    });
    socket_.async_connect(tcp::endpoint(ip, address.port), [self = shared_from_this()](const ErrorCode &failure) {
        self->timer_.cancel();
        if (failure) {
            self->fail(failure);
            return;
        }
        self->start();
        if (self->hooks_.onConnected) {
            self->hooks_.onConnected();
        }
        self->flush();
    });
}

void ByteStream::waitForBytes()
{
    if (waiting_ || paused_ || !open_) {
        return;
    }
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &error) {
        self->waiting_ = false;
        if (error) {
            self->fail(error);
            return;
        }
        self->readBytes();
    });
}

void ByteStream::readBytes()
{
    static std::array<char, ReadBytes> shared;
    if (paused_ || !open_) {
        return;
    }
    ErrorCode error;
    const std::size_t got = socket_.read_some(asio::buffer(shared), error);
    if (error == asio::error::would_block) {
        waitForBytes();
        return;
    }
    if (error) {
        fail(error);
        return;
    }
    // Copied before anything else can read into the shared buffer.
    unused_.append(shared.data(), got);
    retryBytes();
    waitForBytes();
}

void ByteStream::retryBytes()
{
    if (unused_.empty() || !open_ || !hooks_.onBytes) {
        return;
    }
    const std::shared_ptr<ByteStream> self = shared_from_this();
    const std::size_t used = hooks_.onBytes(unused_);
    unused_.erase(0, used);
}

void ByteStream::pause(bool paused)
{
    paused_ = paused;
    if (!paused) {
        waitForBytes();
    }
}

void ByteStream::write(std::string_view bytes)
{
    unsent_ += bytes;
    if (open_) {
        flush();
    }
}

void ByteStream::flush()
{
    if (writing_ || !open_) {
        return;
    }
    while (!unsent_.empty()) {
        ErrorCode error;
        const std::size_t sent = socket_.write_some(asio::buffer(unsent_), error);
        if (error == asio::error::would_block) {
            writing_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode &failure) {
                self->writing_ = false;
                if (failure) {
                    self->fail(failure);
                    return;
                }
                self->flush();
            });
            return;
        }
        if (error) {
            // The caller of write() may be in the middle of its own work.
            asio::post(socket_.get_executor(), [self = shared_from_this(), error]() { self->fail(error); });
            return;
        }
        unsent_.erase(0, sent);
    }
    if (closing_) {
        close();
    }
}

void ByteStream::close()
{
    hooks_ = {};
    open_ = false;
    timer_.cancel();
    ErrorCode ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void ByteStream::closeAfterWrites()
{
    closing_ = true;
    paused_ = true;
    if (unsent_.empty() || !open_) {
        close();
    }
}

void ByteStream::fail(const ErrorCode &error)
{
    const Hooks hooks = std::exchange(hooks_, {});
    close();
    if (hooks.onClosed) {
        hooks.onClosed(error);
    }
}

bool ByteStream::isOpen() const
{
    return open_;
}

std::size_t ByteStream::unsent() const
{
    return unsent_.size();
}

bool ByteStream::hasUnused() const
{
    return !unused_.empty();
}

} // namespace daisyrelay
