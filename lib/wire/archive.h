// Encodes and decodes one cereal value.
#pragma once

#include "compactarchive.h"

#include "daisyrelay/base.h"

#include <string_view>

namespace daisyrelay {

template <typename T>
std::string encodeValue(const T &value)
{
    std::string bytes;
    CompactOutputArchive archive(bytes);
    archive(value);
    return bytes;
}

template <typename T>
Expected<T> decodeValue(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() > maxBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "message too large" });
    }
    try {
        T value;
        CompactInputArchive archive(bytes);
        archive(value);
        if (!archive.atEnd()) {
            return tl::unexpected(Error { ErrorKind::BadRequest, "malformed message: bytes after its end" });
        }
        return value;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error { ErrorKind::BadRequest, std::string("malformed message: ") + exception.what() });
    }
}

} // namespace daisyrelay
