// Format versions: how messages, log records and snapshots are encoded, and which builds understand them.
#pragma once

#include "daisyrelay/wire/clustermessages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace daisyrelay {

/// Identifies how values are encoded and what the commands of the replicated log mean. Builds of versions 1 and 2 do
/// not announce a version; zero means that no version is known.
using FormatVersion = std::uint32_t;

/// Leases have one duration, and no entry is registered as a lease holder.
constexpr FormatVersion SingleLeaseFormat = 1;
/// Updates carry LeaseDurations and FailoverStatus; lease holders are registered in the replicated log.
constexpr FormatVersion LeaseHolderFormat = 2;
/// Processes announce the versions that they support, messages may end with fields that the receiver does not know, and
/// the version of stored state is raised by a command of the replicated log.
constexpr FormatVersion AnnouncedFormat = 3;

constexpr FormatVersion OldestFormat = SingleLeaseFormat;
constexpr FormatVersion CurrentFormat = AnnouncedFormat;

/// The versions that a build reads and writes.
struct FormatRange {
    FormatVersion oldest = OldestFormat;
    FormatVersion newest = CurrentFormat;

    bool operator==(const FormatRange &) const = default;

    [[nodiscard]] bool contains(FormatVersion version) const
    {
        return version >= oldest && version <= newest;
    }
};

/// Returns \p range as text, such as "1 to 3".
std::string formatRangeText(const FormatRange &range);

/// Returns the newest version that both ranges contain.
/// \returns ErrorKind::BadRequest, naming both ranges, if there is none or a range is empty, reversed or contains zero.
Expected<FormatVersion> commonFormat(const FormatRange &own, const FormatRange &peer);

/// Returns the first message on each connection. It is a leader hint without a leader, which builds that announce no
/// version ignore.
LeaderHint encodeFormatAnnouncement(const FormatRange &range);

/// Returns the announced range, or no value if \p hint is no announcement.
/// \returns ErrorKind::BadRequest if \p hint is a malformed announcement.
Expected<std::optional<FormatRange>> decodeFormatAnnouncement(const LeaderHint &hint);

/// A message as decoded in one format version.
struct DecodedClusterMessage {
    VmId from;
    std::optional<ClusterPayload> payload; ///< No value if the kind of the message is unknown to this build.
    std::size_t skippedFields = 0; ///< Fields at the end that this build does not know.
};

/// Encodes \p message for a peer that reads \p version.
std::string encodeClusterMessage(const ClusterMessage &message, FormatVersion version);

/// Decodes a message that was encoded in \p version. From AnnouncedFormat on, unknown kinds and unknown fields at the
/// end are skipped.
/// \returns ErrorKind::BadRequest if \p bytes are malformed.
Expected<DecodedClusterMessage> decodeClusterMessage(std::string_view bytes, FormatVersion version);

} // namespace daisyrelay
