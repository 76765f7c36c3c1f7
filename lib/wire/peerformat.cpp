#include "daisyrelay/wire/peerformat.h"

#include <limits>
#include <utility>

namespace daisyrelay {

PeerFormat::PeerFormat(FormatRange own) : own_(own)
{
}

Expected<PeerFormat::Received> PeerFormat::receive(std::string_view bytes)
{
    if (hasReceived_ && !peer_) {
        return receiveUnannounced(bytes);
    }
    // Announcements have the same encoding in all versions.
    Expected<DecodedClusterMessage> message
        = decodeClusterMessage(bytes, hasReceived_ ? version_.value_or(OldestFormat) : AnnouncedFormat);
    if (message && message->payload) {
        if (const auto *hint = std::get_if<LeaderHint>(&*message->payload); hint != nullptr) {
            const Expected<std::optional<FormatRange>> range = decodeFormatAnnouncement(*hint);
            if (!range) {
                return tl::unexpected(range.error());
            }
            if (range->has_value()) {
                if (const Expected<void> recorded = recordAnnouncement(**range); !recorded) {
                    return tl::unexpected(recorded.error());
                }
                return Received { std::move(message->from), std::nullopt };
            }
        }
    }
    if (!std::exchange(hasReceived_, true)) {
        return receiveUnannounced(bytes);
    }
    if (!message) {
        return tl::unexpected(message.error());
    }
    const bool isUnknownKind = !message->payload.has_value();
    return Received { std::move(message->from), std::move(message->payload), message->skippedFields, isUnknownKind };
}

Expected<void> PeerFormat::recordAnnouncement(const FormatRange &range)
{
    if (hasReceived_ && peer_ != range) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "the peer changed its format versions" });
    }
    const Expected<FormatVersion> common = commonFormat(own_, range);
    if (!common) {
        return tl::unexpected(common.error());
    }
    hasReceived_ = true;
    peer_ = range;
    version_ = *common;
    return {};
}

Expected<PeerFormat::Received> PeerFormat::receiveUnannounced(std::string_view bytes)
{
    Expected<DecodedClusterMessage> newer = tl::unexpected(Error { ErrorKind::BadRequest, "not tried" });
    if (version_ != SingleLeaseFormat) {
        newer = decodeClusterMessage(bytes, LeaseHolderFormat);
        if (newer && !std::holds_alternative<EntryUpdate>(*newer->payload)) {
            return Received { std::move(newer->from), std::move(newer->payload) };
        }
        if (version_ == LeaseHolderFormat) {
            return newer ? Expected<Received>(Received { std::move(newer->from), std::move(newer->payload) })
                         : tl::unexpected(newer.error());
        }
    }
    Expected<DecodedClusterMessage> older = decodeClusterMessage(bytes, SingleLeaseFormat);
    if (!older && !newer) {
        return tl::unexpected(older.error());
    }
    if (older && newer) {
        return Received { std::move(older->from), std::nullopt, 0, false, true };
    }
    DecodedClusterMessage &message = older ? *older : *newer;
    if (std::holds_alternative<EntryUpdate>(*message.payload)) {
        version_ = older ? SingleLeaseFormat : LeaseHolderFormat;
    }
    return Received { std::move(message.from), std::move(message.payload) };
}

std::string PeerFormat::announcement(const VmId &self) const
{
    return encodeClusterMessage({ self, encodeFormatAnnouncement(own_) });
}

std::vector<std::string> PeerFormat::send(const VmId &self, ClusterPayload payload)
{
    if (version_ || !std::holds_alternative<EntryUpdate>(payload)) {
        return { encodeClusterMessage({ self, std::move(payload) }, version_.value_or(LeaseHolderFormat)) };
    }
    heldBack_.push_back(std::move(payload));
    if (heldBack_.size() > MaxHeldBack) {
        heldBack_.pop_front();
    }
    if (std::exchange(isVersionRequested_, true)) {
        return {};
    }
    // An entry answers the report of another entry with an update. These versions make the update empty.
    EntryReport request;
    request.configVersion = std::numeric_limits<std::uint64_t>::max();
    request.topologyIndex = std::numeric_limits<std::uint64_t>::max();
    return { encodeClusterMessage({ self, std::move(request) }) };
}

std::vector<std::string> PeerFormat::takeHeldBack(const VmId &self)
{
    std::vector<std::string> messages;
    if (!version_) {
        return messages;
    }
    for (ClusterPayload &payload : std::exchange(heldBack_, {})) {
        messages.push_back(encodeClusterMessage({ self, std::move(payload) }, *version_));
    }
    return messages;
}

std::optional<FormatVersion> PeerFormat::version() const
{
    return version_;
}

const std::optional<FormatRange> &PeerFormat::peerRange() const
{
    return peer_;
}

bool PeerFormat::isPeerKnown() const
{
    return hasReceived_;
}

} // namespace daisyrelay
