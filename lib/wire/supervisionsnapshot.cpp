#include "daisyrelay/wire/supervisionsnapshot.h"

#include "daisyrelay/wire/codec.h"
#include "daisyrelay/wire/formatversion.h"

#include "archive.h"

namespace daisyrelay {

/// Begins a snapshot from AnnouncedFormat on. Earlier builds reject it: there a snapshot begins with a number, and no
/// number has as many bytes.
static constexpr std::string_view VersionMark = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff";

template <typename Archive, typename Snapshot>
static void archiveSingleLeaseFields(Archive &archive, Snapshot &snapshot)
{
    archive(snapshot.configuration, snapshot.configurationSource, snapshot.topologyIndex, snapshot.backends,
        snapshot.primaries, snapshot.removed, snapshot.pendingPromotions);
}

std::string encodeSupervisionSnapshot(const SupervisionSnapshot &snapshot)
{
    std::string bytes;
    CompactOutputArchive archive(bytes);
    if (snapshot.activeFormat >= AnnouncedFormat) {
        bytes += VersionMark;
        archive.writeVarint(snapshot.activeFormat);
    }
    archiveSingleLeaseFields(archive, snapshot);
    if (snapshot.activeFormat >= AnnouncedFormat || !snapshot.leaseHolders.empty()) {
        archive(snapshot.leaseHolders);
    }
    if (snapshot.activeFormat >= AnnouncedFormat) {
        archive(snapshot.areLeaseHoldersComplete);
    }
    return bytes;
}

static tl::unexpected<Error> malformed(const std::string &detail)
{
    return tl::unexpected(Error { ErrorKind::BadRequest, "malformed snapshot: " + detail });
}

Expected<SupervisionSnapshot> decodeSupervisionSnapshot(std::string_view bytes)
{
    if (bytes.size() > MaxStoredValueBytes) {
        return malformed("too large");
    }
    try {
        SupervisionSnapshot snapshot;
        const bool hasVersion = bytes.starts_with(VersionMark);
        CompactInputArchive archive(hasVersion ? bytes.substr(VersionMark.size()) : bytes);
        if (hasVersion) {
            const std::uint64_t version = archive.readVarint();
            if (version < AnnouncedFormat || version > CurrentFormat) {
                return tl::unexpected(Error { ErrorKind::BadRequest,
                    "the snapshot has format version " + std::to_string(version) + ", this build supports "
                        + formatRangeText({}) });
            }
            snapshot.activeFormat = static_cast<FormatVersion>(version);
        }
        archiveSingleLeaseFields(archive, snapshot);
        if (hasVersion || !archive.atEnd()) {
            archive(snapshot.leaseHolders);
        }
        if (hasVersion) {
            archive(snapshot.areLeaseHoldersComplete);
        }
        return archive.atEnd() ? Expected<SupervisionSnapshot>(std::move(snapshot)) : malformed("bytes after its end");
    } catch (const std::exception &exception) {
        return malformed(exception.what());
    }
}

} // namespace daisyrelay
