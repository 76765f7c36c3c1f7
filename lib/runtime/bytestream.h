// A non-blocking TCP connection.
#pragma once

#include "daisyrelay/config.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisyrelay {

/// All connections read into one shared buffer, so that an idle connection holds no memory for reading. Written bytes
/// are buffered until the socket accepts them.
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    struct Hooks {
        /// \returns the number of bytes consumed. The remaining bytes are passed again together with the bytes that
        /// follow.
        std::function<std::size_t(std::string_view bytes)> onBytes;
        /// Called when the peer closes the connection or an operation fails.
        std::function<void(const boost::system::error_code &error)> onClosed;
        std::function<void()> onConnected;
    };

    /// How long sent data may stay unacknowledged, or the peer's window closed, unless another time is given. Failover
    /// and draining must finish within seconds, so a dead VM or server must be detected sooner.
    static constexpr Duration DefaultUserTimeout = std::chrono::seconds(1);

    explicit ByteStream(boost::asio::ip::tcp::socket socket, Duration userTimeout = DefaultUserTimeout);

    /// Must be called before all other functions. The hooks are destroyed when the connection is closed.
    void setHooks(Hooks hooks);

    /// Starts reading from a socket that is connected.
    void start();

    void connect(const Endpoint &address, Duration timeout);
    void write(std::string_view bytes);

    /// Closes the connection immediately; onClosed is not called.
    void close();

    /// Closes the connection once all buffered bytes are written.
    void closeAfterWrites();

    /// Reads what has arrived without waiting for the event loop.
    void readArrivedBytes();

    /// Passes the bytes that were not consumed to onBytes again.
    void processUnconsumedBytes();

    /// Suspends or resumes reading from the socket.
    void setReadingPaused(bool paused);

    /// Stops reading from the socket while at least \p count bytes are not consumed. Without a limit all bytes are read
    /// as they arrive.
    void setMaxUnconsumedBytes(std::size_t count);

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] bool hasUnconsumedBytes() const;
    [[nodiscard]] std::string_view unconsumedBytes() const;
    /// Returns the number of bytes that have arrived and were not consumed, including those still in the socket.
    [[nodiscard]] std::size_t unreadBytes() const;

private:
    void setSocketOptions();
    void waitUntilReadable();
    void readBytes();
    void flush();
    void closeWithError(const boost::system::error_code &error);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Duration userTimeout_;
    Hooks hooks_;
    std::string unconsumed_;
    std::size_t maxUnconsumedBytes_ = std::numeric_limits<std::size_t>::max();
    std::string unsent_;
    bool isOpen_ = false;
    bool isWaitingToRead_ = false;
    bool isWaitingToWrite_ = false;
    bool isReadingPaused_ = false;
    bool shouldCloseAfterWrites_ = false;
};

} // namespace daisyrelay
