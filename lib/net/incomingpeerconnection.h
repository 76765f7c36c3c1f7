// An incoming TCP connection from another VM.
#pragma once

#include "framecodec.h"

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisyrelay {

/// Performs the handshake and reads frames until one is invalid.
class IncomingPeerConnection : public std::enable_shared_from_this<IncomingPeerConnection>
{
public:
    /// Handles one frame from \p from; returns false to close the connection.
    using FrameHandler = std::function<bool(const VmId &from, std::string_view body)>;

    IncomingPeerConnection(boost::asio::ip::tcp::socket socket, const FrameCodec &codec, VmId self,
        FrameHandler onFrame, Counters &counters);

    void start();

private:
    void readHello();
    void onHello();
    void readFrame();
    void handleFrame();

    /// Reads the payload of one frame into payload_; closes the connection if it exceeds \p maxBytes.
    template <typename Handler>
    void readPayload(std::size_t maxBytes, Handler handler);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    const FrameCodec &codec_;
    VmId self_;
    FrameHandler onFrame_;
    Counters &counters_;
    std::string challenge_;
    std::string confirmation_;
    std::optional<FrameSession> session_;
    VmId sender_;
    std::array<unsigned char, FrameCodec::LengthBytes> length_ {};
    std::string payload_;
};

} // namespace daisyrelay
