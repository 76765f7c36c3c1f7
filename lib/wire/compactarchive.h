// Cereal archives for messages between VMs: integers take as many bytes as they need, and decoding never allocates
// more than the bytes at hand can fill.
#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace daisyrelay {

/// Appends values to a string.
class CompactOutputArchive : public cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit CompactOutputArchive(std::string &out)
        : cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision>(this), out_(out)
    {
    }

    void writeBytes(const void *data, std::size_t size)
    {
        out_.append(static_cast<const char *>(data), size);
    }

    /// Writes seven bits in each byte, the lowest first.
    void writeVarint(std::uint64_t value)
    {
        while (value > VarintPayloadMask) {
            out_.push_back(static_cast<char>((value & VarintPayloadMask) | VarintContinuationBit));
            value >>= VarintBitsPerByte;
        }
        out_.push_back(static_cast<char>(value));
    }

    static constexpr std::uint64_t VarintPayloadMask = 0x7f;
    static constexpr std::uint64_t VarintContinuationBit = 0x80;
    static constexpr unsigned VarintBitsPerByte = 7;

private:
    std::string &out_;
};

/// Reads values from bytes of unknown origin; throws cereal::Exception where they do not fit.
class CompactInputArchive : public cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit CompactInputArchive(std::string_view bytes)
        : cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision>(this), remaining_(bytes)
    {
    }

    void readBytes(void *data, std::size_t size)
    {
        if (size > remaining_.size()) {
            throw cereal::Exception("message too short");
        }
        if (size > 0) {
            std::memcpy(data, remaining_.data(), size);
        }
        remaining_.remove_prefix(size);
    }

    std::uint64_t readVarint()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < std::numeric_limits<std::uint64_t>::digits;
             shift += CompactOutputArchive::VarintBitsPerByte) {
            unsigned char byte = 0;
            readBytes(&byte, 1);
            value |= (byte & CompactOutputArchive::VarintPayloadMask) << shift;
            if ((byte & CompactOutputArchive::VarintContinuationBit) == 0) {
                return value;
            }
        }
        throw cereal::Exception("number too long");
    }

    /// Reads the number of elements of a container; each takes at least one byte.
    std::size_t readSize()
    {
        const std::uint64_t size = readVarint();
        if (size > remaining_.size()) {
            throw cereal::Exception("size beyond the end of the message");
        }
        return size;
    }

    [[nodiscard]] bool atEnd() const
    {
        return remaining_.empty();
    }

private:
    std::string_view remaining_;
};

template <typename T>
concept SingleByte = std::is_arithmetic_v<T> && sizeof(T) == 1;

template <typename T>
concept MultiByteInteger = std::is_integral_v<T> &&(sizeof(T) > 1);

template <SingleByte T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive &archive, const T &value)
{
    archive.writeBytes(&value, 1);
}

template <SingleByte T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive &archive, T &value)
{
    unsigned char byte = 0;
    archive.readBytes(&byte, 1);
    if (std::is_same_v<T, bool> && byte > 1) {
        throw cereal::Exception("a flag is neither true nor false");
    }
    value = static_cast<T>(byte);
}

/// Signed numbers are folded so that small ones of either sign stay short.
template <MultiByteInteger T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive &archive, const T &value)
{
    if constexpr (std::is_signed_v<T>) {
        const auto widened = static_cast<std::int64_t>(value);
        archive.writeVarint((static_cast<std::uint64_t>(widened) << 1U) ^ (widened < 0 ? ~std::uint64_t { 0 } : 0));
    } else {
        archive.writeVarint(value);
    }
}

template <MultiByteInteger T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive &archive, T &value)
{
    const std::uint64_t encoded = archive.readVarint();
    if constexpr (std::is_signed_v<T>) {
        const auto widened
            = static_cast<std::int64_t>((encoded >> 1U) ^ ((encoded & 1U) != 0 ? ~std::uint64_t { 0 } : 0));
        value = static_cast<T>(widened);
        if (value != widened) {
            throw cereal::Exception("number out of range");
        }
    } else {
        value = static_cast<T>(encoded);
        if (value != encoded) {
            throw cereal::Exception("number out of range");
        }
    }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.writeBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.readBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    archive.writeVarint(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive &archive, cereal::SizeTag<T> &tag)
{
    tag.size = static_cast<std::decay_t<T>>(archive.readSize());
}

template <typename Archive, typename T>
requires std::is_same_v<Archive, CompactOutputArchive> || std::is_same_v<Archive, CompactInputArchive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

/// Grows the vector as elements arrive; cereal's own would first make room for as many as the message claims.
template <typename T, typename Allocator>
requires(!std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(
    CompactInputArchive &archive, std::vector<T, Allocator> &values)
{
    const std::size_t size = archive.readSize();
    values.clear();
    for (std::size_t index = 0; index < size; ++index) {
        archive(values.emplace_back());
    }
}

} // namespace daisyrelay

CEREAL_REGISTER_ARCHIVE(daisyrelay::CompactOutputArchive)
CEREAL_REGISTER_ARCHIVE(daisyrelay::CompactInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(daisyrelay::CompactInputArchive, daisyrelay::CompactOutputArchive)
