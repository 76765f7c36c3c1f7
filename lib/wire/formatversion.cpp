#include "daisyrelay/wire/formatversion.h"

#include "daisyrelay/wire/codec.h"

#include "archive.h"

#include <charconv>

namespace daisyrelay {

/// Begins the identifier that carries the announcement. No VM has such an address.
static constexpr std::string_view AnnouncementPrefix = "format-versions:";

std::string formatRangeText(const FormatRange &range)
{
    return std::to_string(range.oldest) + " to " + std::to_string(range.newest);
}

Expected<FormatVersion> commonFormat(const FormatRange &own, const FormatRange &peer)
{
    const FormatVersion newest = std::min(own.newest, peer.newest);
    if (peer.oldest == 0 || peer.oldest > peer.newest || newest < std::max(own.oldest, peer.oldest)) {
        return tl::unexpected(Error { ErrorKind::BadRequest,
            "no common format version: this build supports " + formatRangeText(own) + ", the peer "
                + formatRangeText(peer) });
    }
    return newest;
}

LeaderHint encodeFormatAnnouncement(const FormatRange &range)
{
    const std::string text
        = std::string(AnnouncementPrefix) + std::to_string(range.oldest) + "-" + std::to_string(range.newest);
    return { VmId {}, { VmId { text } } };
}

static Expected<FormatVersion> parseVersion(std::string_view text)
{
    FormatVersion version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size()) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "malformed format version" });
    }
    return version;
}

Expected<std::optional<FormatRange>> decodeFormatAnnouncement(const LeaderHint &hint)
{
    if (!hint.leader.empty() || hint.controlVms.empty()
        || !hint.controlVms.front().value.starts_with(AnnouncementPrefix)) {
        return std::optional<FormatRange> {};
    }
    const std::string_view text = std::string_view(hint.controlVms.front().value).substr(AnnouncementPrefix.size());
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "malformed announcement of format versions" });
    }
    // Later builds may append further properties after another dash.
    const std::string_view last = text.substr(dash + 1);
    const Expected<FormatVersion> oldest = parseVersion(text.substr(0, dash));
    const Expected<FormatVersion> newest = parseVersion(last.substr(0, last.find('-')));
    if (!oldest || !newest) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "malformed announcement of format versions" });
    }
    return std::optional(FormatRange { *oldest, *newest });
}

namespace {

/// EntryUpdate in SingleLeaseFormat.
struct SingleLeaseUpdate {
    EntryUpdate update;

    template <typename Archive>
    void save(Archive &archive) const
    {
        std::vector<ServiceId> failingOver;
        for (const FailoverStatus &status : update.failingOver) {
            failingOver.push_back(status.service);
        }
        archive(update.leaderTerm, update.sequence, update.runId, update.configVersion, update.configuration,
            update.topology, update.quotas, update.controlVms, update.peers, update.reportIntervalMs, update.homes,
            failingOver, update.number, update.topologyIndex, update.lease.general, update.withdrawn,
            update.coordinators);
    }

    template <typename Archive>
    void load(Archive &archive)
    {
        std::vector<ServiceId> failingOver;
        archive(update.leaderTerm, update.sequence, update.runId, update.configVersion, update.configuration,
            update.topology, update.quotas, update.controlVms, update.peers, update.reportIntervalMs, update.homes,
            failingOver, update.number, update.topologyIndex, update.lease.general, update.withdrawn,
            update.coordinators);
        update.lease.ownZone = update.lease.general;
        for (ServiceId &service : failingOver) {
            update.failingOver.push_back({ std::move(service), 0 });
        }
    }
};

/// A ClusterMessage with an EntryUpdate in SingleLeaseFormat. \c index is its position among the payloads.
struct SingleLeaseMessage {
    VmId from;
    std::int32_t index = 0;
    SingleLeaseUpdate update;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(from, index, update);
    }
};

/// The beginning of each ClusterMessage.
struct MessageHeader {
    VmId from;
    std::int32_t index = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(from, index);
    }
};

} // namespace

static const auto UpdateIndex = static_cast<std::int32_t>(ClusterPayload(EntryUpdate {}).index());

std::string encodeClusterMessage(const ClusterMessage &message, FormatVersion version)
{
    if (const auto *update = std::get_if<EntryUpdate>(&message.payload);
        update != nullptr && version == SingleLeaseFormat) {
        return encodeValue(SingleLeaseMessage { message.from, UpdateIndex, { *update } });
    }
    return encodeValue(message);
}

/// Skips fields, each a tag, a size and as many bytes. \returns their number.
static std::size_t skipFields(CompactInputArchive &archive)
{
    std::size_t count = 0;
    std::uint64_t lastTag = 0;
    std::string ignored;
    for (; !archive.atEnd(); ++count) {
        const std::uint64_t tag = archive.readVarint();
        if (tag <= lastTag) {
            throw cereal::Exception("fields out of order");
        }
        lastTag = tag;
        ignored.resize(archive.readSize());
        archive.readBytes(ignored.data(), ignored.size());
    }
    return count;
}

static DecodedClusterMessage decodeAnnounced(std::string_view bytes)
{
    MessageHeader header;
    CompactInputArchive headerArchive(bytes);
    headerArchive(header);
    if (header.index < 0) {
        throw cereal::Exception("negative kind of message");
    }
    if (static_cast<std::size_t>(header.index) >= std::variant_size_v<ClusterPayload>) {
        return { std::move(header.from), std::nullopt, 0 };
    }
    ClusterMessage message;
    CompactInputArchive archive(bytes);
    archive(message);
    const std::size_t skipped = skipFields(archive);
    return { std::move(message.from), std::move(message.payload), skipped };
}

Expected<DecodedClusterMessage> decodeClusterMessage(std::string_view bytes, FormatVersion version)
{
    if (bytes.size() > MaxPeerMessageBytes) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "message too large" });
    }
    try {
        if (version >= AnnouncedFormat) {
            return decodeAnnounced(bytes);
        }
        MessageHeader header;
        CompactInputArchive headerArchive(bytes);
        headerArchive(header);
        if (version == SingleLeaseFormat && header.index == UpdateIndex) {
            Expected<SingleLeaseMessage> message = decodeValue<SingleLeaseMessage>(bytes, MaxPeerMessageBytes);
            if (!message) {
                return tl::unexpected(message.error());
            }
            return DecodedClusterMessage { std::move(message->from), std::move(message->update.update), 0 };
        }
    } catch (const std::exception &exception) {
        return tl::unexpected(Error { ErrorKind::BadRequest, std::string("malformed message: ") + exception.what() });
    }
    Expected<ClusterMessage> message = decodeClusterMessage(bytes);
    if (!message) {
        return tl::unexpected(message.error());
    }
    return DecodedClusterMessage { std::move(message->from), std::move(message->payload), 0 };
}

} // namespace daisyrelay
