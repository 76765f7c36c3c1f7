// Keys for different uses, derived from the secret of the system.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace daisyrelay {

/// A key for keyed hashes; equal for equal contexts and secrets.
class SharedKey
{
public:
    static constexpr std::size_t TagBytes = 16;

    /// \param context names the use of the key.
    SharedKey(std::string_view context, std::string_view secret);

    /// Returns a key of its own for \p context, such as one connection.
    [[nodiscard]] SharedKey derive(std::string_view context) const;

    /// Returns the authentication tag of \p prefix and \p body.
    [[nodiscard]] std::string computeTag(std::string_view prefix, std::string_view body) const;

    /// Compares in constant time.
    [[nodiscard]] bool verifyTag(std::string_view tag, std::string_view prefix, std::string_view body) const;

private:
    static constexpr std::size_t KeyBytes = 32;

    std::array<unsigned char, KeyBytes> key_ {};
};

} // namespace daisyrelay
