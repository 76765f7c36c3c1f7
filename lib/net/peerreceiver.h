// An incoming connection from another VM.
#pragma once

#include "framecodec.h"

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisyrelay {

/// Answers the handshake and reads frames until one is wrong.
class IncomingPeerConnection : public std::enable_shared_from_this<IncomingPeerConnection>
{
public:
    /// Receives a frame of the VM that made the connection; returns false to close it.
    using FrameHandler = std::function<bool(const VmId &from, std::string_view body)>;

    IncomingPeerConnection(boost::asio::ip::tcp::socket socket, const FrameCodec &codec, VmId self,
        FrameHandler onFrame, Counters &counters);

    void start();

private:
    void readHello();
    void onHello();
    void readFrame();
    void handleFrame();

    /// Reads a length and that many bytes into payload_.
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
