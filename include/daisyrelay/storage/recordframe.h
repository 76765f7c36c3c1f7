// The frame around each record of a file: length and checksums. One frame is one synced write.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisyrelay {

/// Bytes of a frame before its payload.
constexpr std::size_t FrameHeaderBytes = 12;

/// Returns the frame of \p payload for a file that holds \p offset bytes before it.
std::string frameRecord(std::string_view payload, std::uint64_t offset);

/// \returns the payload of the frame at \p offset of \p file, if it is whole and its checksums hold.
std::optional<std::string_view> readFrame(std::string_view file, std::uint64_t offset);

/// \returns the offset of the first whole frame after \p offset.
std::optional<std::uint64_t> findNextFrame(std::string_view file, std::uint64_t offset);

} // namespace daisyrelay
