#include "daisyrelay/storage/recordframe.h"

#include <boost/crc.hpp>

namespace daisyrelay {

static std::uint32_t checksum(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

static void appendNumber(std::string &buffer, std::uint64_t value, std::size_t byteCount)
{
    for (std::size_t index = 0; index < byteCount; ++index) {
        buffer.push_back(static_cast<char>(value >> (index * 8)));
    }
}

static std::uint32_t readNumber(std::string_view file, std::uint64_t offset)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < sizeof(value); ++index) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(file[offset + index])) << (index * 8);
    }
    return value;
}

// The offset is part of the checksum, so that a frame that was copied to another place is not taken for a record.
static std::uint32_t headerChecksum(std::uint32_t length, std::uint64_t offset)
{
    std::string header;
    appendNumber(header, length, sizeof(length));
    appendNumber(header, offset, sizeof(offset));
    return checksum(header);
}

std::string frameRecord(std::string_view payload, std::uint64_t offset)
{
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::string frame;
    frame.reserve(FrameHeaderBytes + payload.size());
    appendNumber(frame, length, sizeof(length));
    appendNumber(frame, headerChecksum(length, offset), sizeof(std::uint32_t));
    appendNumber(frame, checksum(payload), sizeof(std::uint32_t));
    frame += payload;
    return frame;
}

std::optional<std::string_view> readFrame(std::string_view file, std::uint64_t offset)
{
    if (file.size() < FrameHeaderBytes || offset > file.size() - FrameHeaderBytes) {
        return std::nullopt;
    }
    const std::uint32_t length = readNumber(file, offset);
    if (length > file.size() - FrameHeaderBytes - offset
        || readNumber(file, offset + sizeof(length)) != headerChecksum(length, offset)) {
        return std::nullopt;
    }
    const std::string_view payload = file.substr(offset + FrameHeaderBytes, length);
    if (readNumber(file, offset + 2 * sizeof(length)) != checksum(payload)) {
        return std::nullopt;
    }
    return payload;
}

std::optional<std::uint64_t> findNextFrame(std::string_view file, std::uint64_t offset)
{
    for (++offset; offset + FrameHeaderBytes <= file.size(); ++offset) {
        if (readFrame(file, offset)) {
            return offset;
        }
    }
    return std::nullopt;
}

} // namespace daisyrelay
