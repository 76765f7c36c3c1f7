// Encoding of a snapshot: a version, a checksum and the state.
#include "daisyrelay/control/controlstate.h"

#include <sstream>

#include <boost/crc.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace daisyrelay {

static constexpr std::uint32_t SnapshotVersion = 1;
static constexpr std::size_t NumberSize = sizeof(std::uint32_t);
static constexpr std::size_t HeaderSize = 2 * NumberSize; // The version and the checksum of the body.
static constexpr unsigned BitsPerByte = 8;

static std::uint32_t checksumOf(std::string_view bytes)
{
    boost::crc_32_type checksum;
    checksum.process_bytes(bytes.data(), bytes.size());
    return checksum.checksum();
}

static void appendNumber(std::string &bytes, std::uint32_t number)
{
    for (std::size_t i = 0; i < NumberSize; ++i) {
        bytes.push_back(static_cast<char>(static_cast<unsigned char>(number >> (i * BitsPerByte))));
    }
}

static std::uint32_t readNumber(std::string_view bytes, std::size_t at)
{
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < NumberSize; ++i) {
        number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (i * BitsPerByte);
    }
    return number;
}

static tl::unexpected<Error> snapshotError(const std::string &detail)
{
    return tl::unexpected(Error { ErrorKind::BadRequest, "snapshot of the control state: " + detail });
}

std::string ControlState::encodeSnapshot() const
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(*this);
    }
    std::string bytes;
    appendNumber(bytes, SnapshotVersion);
    appendNumber(bytes, checksumOf(stream.view()));
    return bytes.append(stream.view());
}

Expected<ControlState> ControlState::decodeSnapshot(std::string_view bytes)
{
    if (bytes.size() < HeaderSize) {
        return snapshotError("truncated header");
    }
    if (readNumber(bytes, 0) != SnapshotVersion) {
        return snapshotError("unknown version");
    }
    const std::string_view body = bytes.substr(HeaderSize);
    // Verifies the checksum first, because the body contains lengths that are used for allocations.
    if (readNumber(bytes, NumberSize) != checksumOf(body)) {
        return snapshotError("checksum mismatch");
    }
    try {
        std::istringstream stream { std::string(body) };
        cereal::PortableBinaryInputArchive archive(stream);
        ControlState state;
        archive(state);
        return state;
    } catch (const std::exception &exception) {
        return snapshotError(exception.what());
    }
}

} // namespace daisyrelay
