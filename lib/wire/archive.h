// Encodes and decodes single values with the compact archives.
#pragma once

#include "compactarchive.h"

#include "daisyrelay/base.h"

#include <string_view>

namespace daisyrelay {

/// Returns \p value in the compact encoding.
template <typename T>
std::string encodeValue(const T &value)
{
    std::string bytes;
    CompactOutputArchive archive(bytes);
    archive(value);
    return bytes;
}

/// Decodes \p bytes of unknown origin.
/// \returns ErrorKind::BadRequest if there are more than \p maxBytes or they are not exactly one encoded value.
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
