#include "bytestream.h"

#include <array>

#include <netinet/tcp.h>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Keep-alive probes detect a dead peer while the connection is idle.
static constexpr int KeepAliveIdleSeconds = 1;
static constexpr int KeepAliveIntervalSeconds = 1;
static constexpr int KeepAliveProbeCount = 2;
static constexpr std::size_t ReadBufferBytes = std::size_t { 64 } * 1024;
/// Largest message of a caller.
static constexpr std::size_t MaxArrivedBytes = std::size_t { 1024 } * 1024;

ByteStream::ByteStream(tcp::socket socket, Duration userTimeout)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), userTimeout_(userTimeout)
{
}

void ByteStream::setHooks(Hooks hooks)
{
    hooks_ = std::move(hooks);
}

void ByteStream::setSocketOptions()
{
    ErrorCode ignored;
    const int descriptor = socket_.native_handle();
    const auto setOption
        = [descriptor](int level, int name, int value) { ::setsockopt(descriptor, level, name, &value, sizeof value); };
    socket_.non_blocking(true, ignored);
    setOption(IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(userTimeout_).count()));
    setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
}

void ByteStream::start()
{
    isOpen_ = true;
    setSocketOptions();
    waitUntilReadable();
}

void ByteStream::connect(const Endpoint &address, Duration timeout)
{
    ErrorCode error;
    const asio::ip::address ip = asio::ip::make_address(address.host, error);
    if (!error) {
        socket_.open(tcp::v4(), error);
    }
    if (error) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), error]() { self->closeWithError(error); });
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &timerError) {
        if (!timerError && !self->isOpen_) {
            self->closeWithError(asio::error::timed_out);
        }
    });
    socket_.async_connect(tcp::endpoint(ip, address.port), [self = shared_from_this()](const ErrorCode &failure) {
        self->timer_.cancel();
        if (failure) {
            self->closeWithError(failure);
            return;
        }
        self->start();
        if (self->hooks_.onConnected) {
            self->hooks_.onConnected();
        }
        self->flush();
    });
}

void ByteStream::waitUntilReadable()
{
    if (isWaitingToRead_ || isReadingPaused_ || !isOpen_ || unconsumed_.size() >= maxUnconsumedBytes_) {
        return;
    }
    isWaitingToRead_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &error) {
        self->isWaitingToRead_ = false;
        if (error) {
            self->closeWithError(error);
            return;
        }
        self->readBytes();
    });
}

void ByteStream::readBytes()
{
    static std::array<char, ReadBufferBytes> sharedBuffer;
    if (isReadingPaused_ || !isOpen_ || unconsumed_.size() >= maxUnconsumedBytes_) {
        return;
    }
    ErrorCode error;
    const std::size_t receivedBytes
        = socket_.read_some(asio::buffer(sharedBuffer, maxUnconsumedBytes_ - unconsumed_.size()), error);
    if (error == asio::error::would_block) {
        waitUntilReadable();
        return;
    }
    if (error) {
        closeWithError(error);
        return;
    }
    // Copy the bytes before another connection reads into the shared buffer.
    unconsumed_.append(sharedBuffer.data(), receivedBytes);
    processUnconsumedBytes();
    waitUntilReadable();
}

void ByteStream::readArrivedBytes()
{
    const std::shared_ptr<ByteStream> self = shared_from_this();
    processUnconsumedBytes();
    constexpr std::size_t MaxReads = 2 * MaxArrivedBytes / ReadBufferBytes;
    for (std::size_t reads = 0; reads < MaxReads && isOpen_ && unreadBytes() > unconsumed_.size(); ++reads) {
        readBytes();
    }
}

void ByteStream::processUnconsumedBytes()
{
    if (unconsumed_.empty() || !isOpen_ || !hooks_.onBytes) {
        return;
    }
    const std::shared_ptr<ByteStream> self = shared_from_this();
    const std::size_t consumedBytes = hooks_.onBytes(unconsumed_);
    unconsumed_.erase(0, consumedBytes);
    waitUntilReadable();
}

void ByteStream::setMaxUnconsumedBytes(std::size_t count)
{
    maxUnconsumedBytes_ = count;
    waitUntilReadable();
}

void ByteStream::setReadingPaused(bool paused)
{
    isReadingPaused_ = paused;
    if (!paused) {
        waitUntilReadable();
    }
}

void ByteStream::write(std::string_view bytes)
{
    unsent_ += bytes;
    if (isOpen_) {
        flush();
    }
}

void ByteStream::flush()
{
    if (isWaitingToWrite_ || !isOpen_) {
        return;
    }
    while (!unsent_.empty()) {
        ErrorCode error;
        const std::size_t sentBytes = socket_.write_some(asio::buffer(unsent_), error);
        if (error == asio::error::would_block) {
            isWaitingToWrite_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode &failure) {
                self->isWaitingToWrite_ = false;
                if (failure) {
                    self->closeWithError(failure);
                    return;
                }
                self->flush();
            });
            return;
        }
        if (error) {
            // Report the error asynchronously because the caller of write() may not expect its state to change.
            asio::post(socket_.get_executor(), [self = shared_from_this(), error]() { self->closeWithError(error); });
            return;
        }
        unsent_.erase(0, sentBytes);
    }
    if (shouldCloseAfterWrites_) {
        close();
    }
}

void ByteStream::close()
{
    hooks_ = {};
    isOpen_ = false;
    timer_.cancel();
    ErrorCode ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void ByteStream::closeAfterWrites()
{
    shouldCloseAfterWrites_ = true;
    isReadingPaused_ = true;
    if (unsent_.empty() || !isOpen_) {
        close();
    }
}

void ByteStream::closeWithError(const ErrorCode &error)
{
    const Hooks hooks = std::exchange(hooks_, {});
    close();
    if (hooks.onClosed) {
        hooks.onClosed(error);
    }
}

bool ByteStream::isOpen() const
{
    return isOpen_;
}

std::size_t ByteStream::unsentBytes() const
{
    return unsent_.size();
}

bool ByteStream::hasUnconsumedBytes() const
{
    return !unconsumed_.empty();
}

std::string_view ByteStream::unconsumedBytes() const
{
    return unconsumed_;
}

std::size_t ByteStream::unreadBytes() const
{
    ErrorCode ignored;
    return unconsumed_.size() + (isOpen_ ? socket_.available(ignored) : 0);
}

} // namespace daisyrelay
