#include "daisyrelay/membership/newsqueue.h"

#include <algorithm>
#include <cmath>

namespace daisyrelay {

static constexpr std::size_t TagBytes = 16;
static constexpr std::size_t ListBytes = 8; ///< The lengths of the four lists, which can take two bytes each.
static constexpr std::size_t MostOffers = 48;
static constexpr std::size_t MostAllowance = 4000;
static constexpr Duration PositionInterval = std::chrono::milliseconds(400);

NewsQueue::NewsQueue(const MemberTable &members, const AnnouncementDirectory &announcements, ServiceDigests &digests)
    : members_(members), announcements_(announcements), digests_(digests)
{
}

void NewsQueue::add(const VmId &id)
{
    memberNews_.add(id);
}

void NewsQueue::add(const BackendId &id)
{
    backendNews_.add(id);
}

void NewsQueue::addPosition(Instant now, const BackendId &id)
{
    const auto [added, isNew] = positionAddedAt_.try_emplace(id, now);
    if (isNew || added->second + PositionInterval <= now) {
        added->second = now;
        positions_.add(id);
    }
}

void NewsQueue::remove(const VmId &id)
{
    memberNews_.remove(id);
}

void NewsQueue::remove(const BackendId &id)
{
    backendNews_.remove(id);
    positions_.remove(id);
    positionAddedAt_.erase(id);
}

void NewsQueue::allow(std::size_t bytes)
{
    allowance_ = std::min(MostAllowance, allowance_ + bytes);
}

std::size_t NewsQueue::allowance() const
{
    return allowance_;
}

bool NewsQueue::isQuiet() const
{
    return memberNews_.size() == 0 && backendNews_.size() == 0;
}

bool NewsQueue::serves(const MemberRecord &member, const BackendAnnouncement &announcement) const
{
    const std::string &region = members_.regionOf(announcement.zone);
    return member.control || region.empty() || member.region == region;
}

/// News reaches everyone after a number of rounds that grows with the logarithm of the size.
std::size_t NewsQueue::timesToSend() const
{
    constexpr std::size_t Least = 4;
    return Least + 2 * static_cast<std::size_t>(std::ceil(std::log2(static_cast<double>(members_.liveCount()) + 1)));
}

bool NewsQueue::Room::take(std::size_t size)
{
    if (size > left) {
        return false;
    }
    left -= size;
    used += size;
    return true;
}

void NewsQueue::fill(Instant now, const MemberRecord &to, GossipMessage &message, std::size_t newsBytes)
{
    const std::size_t headBytes = encodeGossipMessage(message).size() + ListBytes + TagBytes;
    Room room { std::min(newsBytes, MaxDatagramBytes - std::min(MaxDatagramBytes, headBytes)), 0 };
    fillMembers(message, room);
    fillBackends(now, to, message, room);
    if (message.kind == GossipKind::Spread) {
        if (const std::optional<ServiceDigest> digest = digests_.next(now); digest && room.take(encodedSize(*digest))) {
            message.digests.push_back(*digest);
        }
        fillPositions(now, to, message, room);
    }
    allowance_ -= std::min(allowance_, room.used);
}

void NewsQueue::fillMembers(GossipMessage &message, Room &room)
{
    memberNews_.offer(timesToSend(), MostOffers, [&](const VmId &id) {
        const KnownMember *known = members_.find(id);
        if (known == nullptr || !room.take(encodedSize(known->record))) {
            return false;
        }
        message.members.push_back(known->record);
        return true;
    });
}

void NewsQueue::fillBackends(Instant now, const MemberRecord &to, GossipMessage &message, Room &room)
{
    backendNews_.offer(timesToSend(), MostOffers, [&](const BackendId &id) {
        const std::optional<BackendAnnouncement> announcement = announcements_.current(now, id);
        if (!announcement || !serves(to, *announcement) || !room.take(encodedSize(*announcement))) {
            return false;
        }
        message.backends.push_back(*announcement);
        return true;
    });
}

void NewsQueue::fillPositions(Instant now, const MemberRecord &to, GossipMessage &message, Room &room)
{
    positions_.offer(timesToSend(), MostOffers, [&](const BackendId &id) {
        const std::optional<BackendAnnouncement> announcement = announcements_.current(now, id);
        const std::optional<BackendPulse> pulse = announcements_.pulse(now, id);
        if (!pulse || !serves(to, *announcement) || !room.take(encodedSize(*pulse))) {
            return false;
        }
        message.pulses.push_back(*pulse);
        return true;
    });
}

} // namespace daisyrelay
