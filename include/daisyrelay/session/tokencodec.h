// Encodes session tokens as short authenticated text.
#pragma once

#include "daisyrelay/session/sessiontoken.h"

#include <array>
#include <string>
#include <string_view>

namespace daisyrelay {

/// Signs tokens with a key derived from the system's secret, so that any entry accepts the tokens of any other.
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
