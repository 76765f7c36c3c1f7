// The outgoing connection to one VM.
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

/// Connects when there is something to send; what is queued when the connection breaks is lost.
class OutgoingPeerConnection : public std::enable_shared_from_this<OutgoingPeerConnection>
{
public:
    OutgoingPeerConnection(boost::asio::io_context &context, const FrameCodec &codec, VmId self, VmId peer,
        Endpoint address, std::function<void()> onBroken, Counters &counters);

    void send(std::string body);

    /// Breaks the connection, or the attempt to make one.
    void reset();

    [[nodiscard]] const Endpoint &address() const;

private:
    void connect();
    void readChallenge();
    void sendHello();
    void readConfirmation();
    void onConfirmation();
    void readUntilClosed();
    void writeNext();
    void closeBroken();
    void startHandshakeTimer();

    /// Wraps a handler of the current attempt; a handler of an earlier one does nothing.
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
    std::shared_ptr<std::string> frameInFlight_; ///< The frame that is being written.
    std::array<char, 1> readBuffer_ {};
    Instant nextAttemptAt_ {};
};

} // namespace daisyrelay
