// The outgoing TCP connection to one VM.
#pragma once

#include "daisyrelay/config.h"

#include "framecodec.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisyrelay {

/// Connects when a message is sent. Messages that are queued when the connection breaks are dropped.
class OutgoingPeerConnection : public std::enable_shared_from_this<OutgoingPeerConnection>
{
public:
    OutgoingPeerConnection(boost::asio::io_context &context, const FrameCodec &codec, VmId self, VmId peer,
        Endpoint address, std::function<void()> onBroken, Counters &counters);

    /// Queues one message. It is dropped if the queue is full or the connection broke within the reconnect delay.
    void send(std::string body);

    /// Closes the connection or aborts the attempt to connect.
    void reset();

    [[nodiscard]] const Endpoint &address() const;

private:
    void connect();
    void readChallenge();
    void sendHello();
    void readConfirmation();
    void onConfirmation();
    /// Detects that the peer has closed the connection. The peer sends no data after the handshake, so a read
    /// ends only when the connection is closed or fails.
    void readUntilClosed();
    void writeNext();
    /// Closes the connection, drops the queue and calls onBroken_.
    void closeConnection();
    /// Limits the time of the handshake, so that a peer that does not respond cannot block the queue.
    void startHandshakeTimer();

    /// Wraps a completion handler so that it does nothing after the attempt in which it was created.
    template <typename Handler>
    auto forCurrentAttempt(Handler handler);

    enum class Stage : std::uint8_t {
        Closed,
        Connecting,
        Ready,
    };

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    const FrameCodec &codec_;
    PeerHello hello_;
    Endpoint address_;
    std::function<void()> onBroken_;
    Counters &counters_;
    Stage stage_ = Stage::Closed;
    std::uint64_t attempt_ = 0;
    std::string challenge_;
    std::string confirmation_;
    std::optional<FrameSession> session_;
    std::deque<std::string> queuedBodies_;
    std::shared_ptr<std::string> frameInFlight_; ///< Frame that is being written; null if none is.
    std::array<char, 1> readBuffer_ {};
    Instant nextAttemptAt_ {};
};

} // namespace daisyrelay
