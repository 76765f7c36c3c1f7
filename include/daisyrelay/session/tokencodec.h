// Encodes session tokens as short authenticated text.
#pragma once

#include "daisyrelay/session/sessiontoken.h"

#include <array>
#include <string>
#include <string_view>

namespace daisyrelay {

/// Authenticates tokens with a key derived from the shared secret of the system, so that every entry accepts the tokens
/// of every other.
class TokenCodec
{
public:
    explicit TokenCodec(const std::string &secret);

    [[nodiscard]] std::string encode(const SessionToken &token) const;

    /// \returns ErrorKind::BadToken for text that is malformed, of an unknown version, or signed with another key.
    [[nodiscard]] Expected<SessionToken> decode(std::string_view text) const;

private:
    static constexpr std::size_t KeyBytes = 32;
    std::array<unsigned char, KeyBytes> key_ {};
};

} // namespace daisyrelay
