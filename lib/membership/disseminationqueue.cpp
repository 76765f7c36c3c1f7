#include "daisyrelay/membership/disseminationqueue.h"

#include <algorithm>
#include <cmath>

namespace daisyrelay {

static constexpr std::size_t TagBytes = 16;
static constexpr std::size_t ListBytes = 8; ///< The lengths of the four lists take up to two bytes each.
static constexpr std::size_t MaxOffers = 48;
static constexpr std::size_t MaxAllowance = 4000;
static constexpr Duration PositionInterval = std::chrono::milliseconds(400);

DisseminationQueue::DisseminationQueue(
    const MemberTable &members, const AnnouncementDirectory &announcements, ServiceDigests &digests)
    : members_(members), announcements_(announcements), digests_(digests)
{
}

void DisseminationQueue::add(const VmId &id)
{
    memberUpdates_.add(id);
}

void DisseminationQueue::add(const BackendId &id)
{
    backendUpdates_.add(id);
}

void DisseminationQueue::addPosition(Instant now, const BackendId &id)
{
    const auto [added, isNew] = positionAddedAt_.try_emplace(id, now);
    if (isNew || added->second + PositionInterval <= now) {
        added->second = now;
        positionUpdates_.add(id);
    }
}

void DisseminationQueue::remove(const VmId &id)
{
    memberUpdates_.remove(id);
}

void DisseminationQueue::remove(const BackendId &id)
{
    backendUpdates_.remove(id);
    positionUpdates_.remove(id);
    positionAddedAt_.erase(id);
}

void DisseminationQueue::addAllowance(std::size_t bytes)
{
    allowance_ = std::min(MaxAllowance, allowance_ + bytes);
}

std::size_t DisseminationQueue::allowance() const
{
    return allowance_;
}

bool DisseminationQueue::hasNoPendingChanges() const
{
    return memberUpdates_.size() == 0 && backendUpdates_.size() == 0;
}

bool DisseminationQueue::keepsFullDetail(const MemberRecord &member, const BackendAnnouncement &announcement) const
{
    const std::string &region = members_.regionOf(announcement.zone);
    return member.isControlVm || region.empty() || member.region == region;
}

/// The number of rounds in which an update reaches every VM grows with the logarithm of the system size.
std::size_t DisseminationQueue::transmissionLimit() const
{
    constexpr std::size_t MinTransmissions = 4;
    return MinTransmissions
        + 2 * static_cast<std::size_t>(std::ceil(std::log2(static_cast<double>(members_.liveCount()) + 1)));
}

bool DisseminationQueue::DatagramSpace::reserve(std::size_t size)
{
    if (size > remaining) {
        return false;
    }
    remaining -= size;
    used += size;
    return true;
}

void DisseminationQueue::fill(Instant now, const MemberRecord &to, GossipMessage &message, std::size_t maxUpdateBytes)
{
    const std::size_t headBytes = encodeGossipMessage(message).size() + ListBytes + TagBytes;
    DatagramSpace space { std::min(maxUpdateBytes, MaxDatagramBytes - std::min(MaxDatagramBytes, headBytes)), 0 };
    fillMembers(message, space);
    fillBackends(now, to, message, space);
    if (message.kind == GossipKind::Updates) {
        if (const std::optional<ServiceDigest> digest = digests_.next(now);
            digest && space.reserve(encodedSize(*digest))) {
            message.digests.push_back(*digest);
        }
        fillPositions(now, to, message, space);
    }
    allowance_ -= std::min(allowance_, space.used);
}

void DisseminationQueue::fillMembers(GossipMessage &message, DatagramSpace &space)
{
    memberUpdates_.offer(transmissionLimit(), MaxOffers, [&](const VmId &id) {
        const KnownMember *known = members_.find(id);
        if (known == nullptr || !space.reserve(encodedSize(known->record))) {
            return false;
        }
        message.members.push_back(known->record);
        return true;
    });
}

void DisseminationQueue::fillBackends(Instant now, const MemberRecord &to, GossipMessage &message, DatagramSpace &space)
{
    backendUpdates_.offer(transmissionLimit(), MaxOffers, [&](const BackendId &id) {
        const std::optional<BackendAnnouncement> announcement = announcements_.current(now, id);
        if (!announcement || !keepsFullDetail(to, *announcement) || !space.reserve(encodedSize(*announcement))) {
            return false;
        }
        message.backends.push_back(*announcement);
        return true;
    });
}

void DisseminationQueue::fillPositions(
    Instant now, const MemberRecord &to, GossipMessage &message, DatagramSpace &space)
{
    positionUpdates_.offer(transmissionLimit(), MaxOffers, [&](const BackendId &id) {
        const std::optional<BackendAnnouncement> announcement = announcements_.current(now, id);
        const std::optional<PositionUpdate> positionUpdate = announcements_.positionUpdate(now, id);
        if (!positionUpdate || !keepsFullDetail(to, *announcement) || !space.reserve(encodedSize(*positionUpdate))) {
            return false;
        }
        message.positionUpdates.push_back(*positionUpdate);
        return true;
    });
}

} // namespace daisyrelay
