// Frames of the TCP connections between VMs: length, authentication tag, body.
#pragma once

#include "daisyrelay/base.h"

#include <array>
#include <string>
#include <string_view>

namespace daisyrelay {

/// Signs and checks frames with a key derived from the system's secret.
class FrameCodec
{
public:
    static constexpr std::size_t LengthBytes = 4;
    static constexpr std::size_t TagBytes = 16;

    explicit FrameCodec(const std::string &secret);

    /// Returns the whole frame around \p body.
    [[nodiscard]] std::string encode(const std::string &body) const;

    /// Returns the size of tag and body from the first bytes of a frame, or an error if it is out of bounds.
    [[nodiscard]] static Expected<std::size_t> payloadSize(const std::array<unsigned char, LengthBytes> &length);

    /// Checks the tag. \returns the body within \p payload.
    [[nodiscard]] Expected<std::string_view> open(std::string_view payload) const;

private:
    static constexpr std::size_t KeyBytes = 32;

    [[nodiscard]] std::string tagOf(std::string_view body) const;

    std::array<unsigned char, KeyBytes> key_ {};
};

} // namespace daisyrelay
