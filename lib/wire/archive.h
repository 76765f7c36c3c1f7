// Encodes and decodes one cereal value. The input is bounded before it is read, so that a length inside forged bytes
// can not make the process allocate without limit.
#pragma once

#include "daisyrelay/base.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <string_view>

namespace daisyrelay {

template <typename T>
std::string encodeValue(const T &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

template <typename T>
Expected<T> decodeValue(std::string_view bytes, std::size_t largest)
{
    if (bytes.size() > largest) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "message too large" });
    }
    try {
        std::istringstream stream { std::string(bytes) };
        T value;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(value);
        return value;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error { ErrorKind::BadRequest, std::string("malformed message: ") + exception.what() });
    }
}

} // namespace daisyrelay
