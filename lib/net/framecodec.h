// Frames of the TCP connections between VMs: length, authentication tag, body. The handshake derives a key for each
// connection, so that a frame is only valid on its connection and at its position in the sequence.
#pragma once

#include "daisyrelay/base.h"

#include "sharedkey.h"

#include <array>

namespace daisyrelay {

/// First message of the VM that opens the connection.
struct PeerHello {
    VmId from;
    VmId to;
    std::string nonce;
};

/// Authenticates the frames of one direction of a connection.
class FrameSession
{
public:
    explicit FrameSession(SharedKey key);

    /// Returns a frame with length, tag and \p body.
    std::string seal(std::string_view body);

    /// Verifies the tag of \p payload, which covers the sequence number.
    /// \returns the body within \p payload.
    Expected<std::string_view> open(std::string_view payload);

    /// Returns the tag by which the accepting VM confirms that it has the key.
    [[nodiscard]] std::string confirmation() const;

private:
    [[nodiscard]] std::string nextPrefix();

    SharedKey key_;
    std::uint64_t sequence_ = 0;
};

/// Implements the handshake: the accepting VM sends a challenge, the connecting VM responds with a hello, and the
/// accepting VM responds with a confirmation.
class FrameCodec
{
public:
    static constexpr std::size_t LengthBytes = 4;
    static constexpr std::size_t TagBytes = SharedKey::TagBytes;
    static constexpr std::size_t NonceBytes = 16;
    static constexpr std::size_t MaxHelloBytes = 256;

    explicit FrameCodec(const std::string &secret);

    /// Returns a random challenge or nonce.
    [[nodiscard]] static std::string randomNonce();

    /// Returns the frame of \p hello, signed together with \p challenge.
    [[nodiscard]] std::string sealHello(const PeerHello &hello, std::string_view challenge) const;

    /// Verifies and parses a hello that was signed together with \p challenge.
    [[nodiscard]] Expected<PeerHello> openHello(std::string_view payload, std::string_view challenge) const;

    /// Returns the session with the key of the connection.
    [[nodiscard]] FrameSession session(const PeerHello &hello, std::string_view challenge) const;

    /// Decodes the length of a frame. \returns the size of tag and body, or an error if it is out of bounds.
    [[nodiscard]] static Expected<std::size_t> payloadSize(const std::array<unsigned char, LengthBytes> &length);

private:
    SharedKey key_;
};

} // namespace daisyrelay
