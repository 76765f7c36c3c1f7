// Frames of the TCP connections between VMs: length, authentication tag, body. The key of a connection comes from a
// handshake, so that a frame is good on one connection, in one place of its sequence, and nowhere else.
#pragma once

#include "daisyrelay/base.h"

#include "sharedkey.h"

#include <array>

namespace daisyrelay {

/// The first message of the connecting VM.
struct PeerHello {
    VmId from;
    VmId to;
    std::string nonce;
};

/// Signs and checks the frames of one direction of one connection.
class FrameSession
{
public:
    explicit FrameSession(SharedKey key);

    /// Returns the whole frame around \p body.
    std::string seal(std::string_view body);

    /// Checks the tag and the sequence. \returns the body within \p payload.
    Expected<std::string_view> open(std::string_view payload);

    /// Returns what the accepting VM sends to show that it holds the key too.
    [[nodiscard]] std::string confirmation() const;

private:
    [[nodiscard]] std::string nextPrefix();

    SharedKey key_;
    std::uint64_t sequence_ = 0;
};

/// The handshake: the accepting VM sends a challenge, the connecting one a hello, the accepting one a confirmation.
class FrameCodec
{
public:
    static constexpr std::size_t LengthBytes = 4;
    static constexpr std::size_t TagBytes = SharedKey::TagBytes;
    static constexpr std::size_t NonceBytes = 16;
    static constexpr std::size_t MaxHelloBytes = 256;

    explicit FrameCodec(const std::string &secret);

    /// Returns a fresh challenge or nonce.
    [[nodiscard]] static std::string randomNonce();

    /// Returns the frame of a hello that answers \p challenge.
    [[nodiscard]] std::string sealHello(const PeerHello &hello, std::string_view challenge) const;

    [[nodiscard]] Expected<PeerHello> openHello(std::string_view payload, std::string_view challenge) const;

    [[nodiscard]] FrameSession session(const PeerHello &hello, std::string_view challenge) const;

    /// Returns the size of tag and body from the first bytes of a frame, or an error if it is out of bounds.
    [[nodiscard]] static Expected<std::size_t> payloadSize(const std::array<unsigned char, LengthBytes> &length);

private:
    SharedKey key_;
};

} // namespace daisyrelay
