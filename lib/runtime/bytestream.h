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
    void retryBytes();

    /// Stops reading, or goes on.
    void pause(bool paused);

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] bool hasUnused() const;

private:
    void prepare();
    void waitForBytes();
    void readBytes();
    void flush();
    void fail(const boost::system::error_code &error);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Hooks hooks_;
    std::string unused_;
    std::string unsent_;
    bool open_ = false;
    bool waiting_ = false;
    bool writing_ = false;
    bool paused_ = false;
    bool closing_ = false;
};

} // namespace daisyrelay
