// A hash that is the same in every process, unlike std::hash.
#pragma once

#include <cstdint>
#include <string_view>

namespace daisyrelay {

/// FNV-1a with a final mix, so that hashes can be combined by exclusive or.
class StableHash
{
public:
    StableHash &add(std::string_view text)
    {
        for (const char character : text) {
            addByte(static_cast<unsigned char>(character));
        }
        addByte(Separator);
        return *this;
    }

    StableHash &add(std::uint64_t number)
    {
        for (unsigned byte = 0; byte < sizeof(number); ++byte) {
            addByte(static_cast<unsigned char>(number >> (BitsPerByte * byte)));
        }
        return *this;
    }

    [[nodiscard]] std::uint64_t value() const
    {
        std::uint64_t mixed = state_;
        mixed ^= mixed >> 32U;
        mixed *= Mixer;
        return mixed ^ (mixed >> 29U);
    }

private:
    static constexpr std::uint64_t Basis = 0xcbf29ce484222325;
    static constexpr std::uint64_t Prime = 0x100000001b3;
    static constexpr std::uint64_t Mixer = 0x9e3779b97f4a7c15;
    static constexpr unsigned char Separator = 0xff;
    static constexpr unsigned BitsPerByte = 8;

    void addByte(unsigned char byte)
    {
        state_ = (state_ ^ byte) * Prime;
    }

    std::uint64_t state_ = Basis;
};

} // namespace daisyrelay
