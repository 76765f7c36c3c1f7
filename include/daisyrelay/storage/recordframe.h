// Frames records in a file with their length and checksums. Each frame is written and synced as a unit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisyrelay {

/// Size of the frame header that precedes the payload, in bytes.
constexpr std::size_t FrameHeaderBytes = 12;

/// Returns \p payload with its frame header, for writing at \p offset of a file.
std::string frameRecord(std::string_view payload, std::uint64_t offset);

/// \returns the payload of the frame at \p offset of \p file, or no value if it is incomplete or a checksum mismatches.
std::optional<std::string_view> readFrame(std::string_view file, std::uint64_t offset);

/// \returns the offset of the first valid frame after \p offset, if there is one.
std::optional<std::uint64_t> findNextFrame(std::string_view file, std::uint64_t offset);

} // namespace daisyrelay
