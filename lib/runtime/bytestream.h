// A TCP connection that reads into a shared buffer and writes what the socket takes.
#pragma once

#include "daisyrelay/config.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisyrelay {

/// Idle connections hold no read buffer.
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    struct Hooks {
        /// \returns how many of the bytes were used; the rest is passed again with what follows.
        std::function<std::size_t(std::string_view bytes)> onBytes;
        std::function<void(const boost::system::error_code &error)> onClosed;
        std::function<void()> onConnected;
    };

    explicit ByteStream(boost::asio::ip::tcp::socket socket);

    /// Must be called once before anything else; the hooks are dropped when the connection is closed.
    void setHooks(Hooks hooks);

    /// Takes an accepted connection into use.
    void start();

    void connect(const Endpoint &address, Duration timeout);
    void write(std::string_view bytes);

    /// Closes at once; onClosed is not called.
    void close();

    /// Closes once everything is written.
    void closeAfterWrites();

    /// Passes bytes that were left unused once more.
    void processUnconsumedBytes();

    /// Stops reading, or goes on.
    void setReadingPaused(bool paused);

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] bool hasUnconsumedBytes() const;

private:
    void setSocketOptions();
    void waitUntilReadable();
    void readBytes();
    void flush();
    void closeWithError(const boost::system::error_code &error);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Hooks hooks_;
    std::string unconsumed_;
    std::string unsent_;
    bool isOpen_ = false;
    bool isWaitingToRead_ = false;
    bool isWaitingToWrite_ = false;
    bool isReadingPaused_ = false;
    bool shouldCloseAfterWrites_ = false;
};

} // namespace daisyrelay
