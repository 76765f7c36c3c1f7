#include "daisyrelay/membership/announcementdirectory.h"

#include "stablehash.h"

#include <algorithm>
#include <tuple>

namespace daisyrelay {

static constexpr std::size_t MaxNameLength = 64;
static constexpr Position MaxPosition = Position { 1 } << 53U;
static constexpr Duration DuplicateRetention = std::chrono::seconds(30);

static bool isValid(const BackendAnnouncement &announcement)
{
    const auto hasValidLength = [](const std::string &name) { return !name.empty() && name.size() <= MaxNameLength; };
    return hasValidLength(announcement.id.value) && hasValidLength(announcement.group.service.value)
        && hasValidLength(announcement.group.group.value) && hasValidLength(announcement.zone.value)
        && hasValidLength(announcement.host) && announcement.port != 0 && announcement.connections > 0
        && announcement.slots > 0 && announcement.slots <= announcement.connections
        && announcement.role <= BackendRole::Replica && announcement.point.position < MaxPosition
        && announcement.point.term < MaxPosition;
}

static std::pair<std::string_view, std::uint16_t> addressOf(const BackendAnnouncement &announcement)
{
    return { announcement.host, announcement.port };
}

static std::uint64_t identityOf(const BackendAnnouncement &announcement)
{
    return StableHash()
        .add(announcement.id.value)
        .add(announcement.host)
        .add(announcement.port)
        .add(announcement.generation)
        .value();
}

static std::uint64_t hashOf(const BackendAnnouncement &announcement)
{
    return StableHash()
        .add(identityOf(announcement))
        .add(announcement.isLeaving ? 1 : 0)
        .add(static_cast<std::uint64_t>(announcement.role))
        .value();
}

/// Tells whether the two announcements differ in more than position and age.
static bool differs(const BackendAnnouncement &left, const BackendAnnouncement &right)
{
    const auto stableFields = [](const BackendAnnouncement &value) {
        return std::tie(value.group, value.zone, value.host, value.port, value.connections, value.slots, value.role,
            value.isLeaving, value.generation);
    };
    return stableFields(left) != stableFields(right);
}

static Duration ageOf(std::uint32_t ageMs)
{
    return std::chrono::milliseconds(ageMs);
}

AnnouncementDirectory::AnnouncementDirectory(AnnouncementTiming timing, Counters &counters)
    : timing_(timing), counters_(counters)
{
}

AnnouncementOutcome AnnouncementDirectory::reject(std::string_view reason)
{
    counters_.add("announcements.refused." + std::string(reason));
    return AnnouncementOutcome::Rejected;
}

Duration AnnouncementDirectory::lifetimeOf(const BackendAnnouncement &announcement) const
{
    return announcement.isLeaving ? timing_.leavingLifetime
                                  : timing_.lifetime + timing_.lifetimePerServer * static_cast<int>(known_.size());
}

AnnouncementOutcome AnnouncementDirectory::set(Instant now, const BackendAnnouncement &announcement)
{
    const auto found = known_.find(announcement.id);
    const bool hasChanged
        = found == known_.end() || found->second.isSilent || differs(found->second.announcement, announcement);
    erase(announcement.id);
    known_[announcement.id] = { announcement, now - ageOf(announcement.ageMs) };
    identities_[identityOf(announcement)] = announcement.id;
    hash_ ^= hashOf(announcement);
    return hasChanged ? AnnouncementOutcome::Changed : AnnouncementOutcome::Refreshed;
}

void AnnouncementDirectory::erase(const BackendId &id)
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return;
    }
    if (found->second.isSilent) {
        --silentCount_;
    } else {
        hash_ ^= hashOf(found->second.announcement);
    }
    identities_.erase(identityOf(found->second.announcement));
    known_.erase(found);
}

AnnouncementOutcome AnnouncementDirectory::recordAnnouncement(Instant now, BackendAnnouncement announcement)
{
    if (!isValid(announcement)) {
        return reject("absurd");
    }
    announcement.ageMs = 0;
    const auto found = known_.find(announcement.id);
    if (found == known_.end()) {
        announcement.generation = 1;
        announcement.version = 1;
        return known_.size() < timing_.maxServers ? set(now, announcement) : reject("too-many");
    }
    const BackendAnnouncement &previous = found->second.announcement;
    const bool isExpired = found->second.lastSeenAt + lifetimeOf(previous) <= now;
    if (!isExpired
        || (addressOf(previous) == addressOf(announcement) && previous.group == announcement.group
            && !previous.isLeaving)) {
        return recordKnown(now, found->second, std::move(announcement));
    }
    announcement.generation = previous.generation + 1;
    announcement.version = 1;
    return set(now, announcement);
}

AnnouncementOutcome AnnouncementDirectory::recordKnown(Instant now, Known &known, BackendAnnouncement announcement)
{
    const BackendAnnouncement &previous = known.announcement;
    if (previous.isLeaving && !announcement.isLeaving) {
        // An announcement sent before the server left can arrive late.
        if (now < known.lastSeenAt + timing_.minLeavingTime) {
            return reject("after-leaving");
        }
        announcement.generation = previous.generation + 1;
        announcement.version = 1;
        return set(now, announcement);
    }
    if (addressOf(previous) != addressOf(announcement)) {
        duplicates_[announcement.id] = { announcement.host, announcement.port, now };
        return reject("duplicate-id");
    }
    if (previous.group != announcement.group || previous.zone != announcement.zone) {
        return reject("group-changed");
    }
    announcement.generation = previous.generation;
    announcement.version = previous.version + 1;
    return set(now, announcement);
}

AnnouncementOutcome AnnouncementDirectory::merge(Instant now, const BackendAnnouncement &announcement)
{
    if (!isValid(announcement)) {
        return reject("absurd");
    }
    if (ageOf(announcement.ageMs) >= lifetimeOf(announcement)) {
        return AnnouncementOutcome::Old;
    }
    const auto found = known_.find(announcement.id);
    if (found == known_.end()) {
        return known_.size() < timing_.maxServers ? set(now, announcement) : reject("too-many");
    }
    const BackendAnnouncement &previous = found->second.announcement;
    if (announcement.generation == previous.generation && addressOf(announcement) != addressOf(previous)) {
        // Different VMs accepted two servers with the same id at the same time. All VMs keep the one with the lower
        // address.
        duplicates_[announcement.id] = { announcement.host, announcement.port, now };
        if (addressOf(announcement) > addressOf(previous)) {
            return reject("duplicate-id");
        }
        return set(now, announcement);
    }
    const auto order = [](const BackendAnnouncement &value) {
        return std::tuple(value.generation, value.isLeaving, value.version, value.point);
    };
    return order(announcement) > order(previous) ? set(now, announcement) : AnnouncementOutcome::Old;
}

std::pair<AnnouncementOutcome, BackendId> AnnouncementDirectory::merge(
    Instant now, const PositionUpdate &positionUpdate)
{
    const auto found = identities_.find(positionUpdate.identity);
    if (found == identities_.end() || positionUpdate.point.position >= MaxPosition) {
        return { AnnouncementOutcome::Old, {} };
    }
    const BackendId id = found->second;
    BackendAnnouncement announcement = known_.at(id).announcement;
    if (ageOf(positionUpdate.ageMs) >= lifetimeOf(announcement)) {
        return { AnnouncementOutcome::Old, id };
    }
    if (std::tuple(positionUpdate.version, positionUpdate.point)
        <= std::tuple(announcement.version, announcement.point)) {
        return { AnnouncementOutcome::Old, id };
    }
    announcement.version = positionUpdate.version;
    announcement.point = positionUpdate.point;
    announcement.ageMs = positionUpdate.ageMs;
    return { set(now, announcement), id };
}

std::vector<BackendId> AnnouncementDirectory::expire(Instant now)
{
    std::vector<BackendId> silentServers;
    std::vector<BackendId> forgotten;
    for (auto &[id, known] : known_) {
        const Instant expiresAt = known.lastSeenAt + lifetimeOf(known.announcement);
        if (expiresAt <= now && !known.isSilent) {
            known.isSilent = true;
            ++silentCount_;
            hash_ ^= hashOf(known.announcement);
            silentServers.push_back(id);
        }
        if (expiresAt + timing_.silentRetention <= now) {
            forgotten.push_back(id);
        }
    }
    for (const BackendId &id : forgotten) {
        erase(id);
    }
    std::erase_if(duplicates_, [now](const auto &entry) { return entry.second.seenAt + DuplicateRetention <= now; });
    return silentServers;
}

static std::uint32_t ageInMs(Instant now, Instant lastSeenAt)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - lastSeenAt).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0));
}

std::optional<BackendAnnouncement> AnnouncementDirectory::current(Instant now, const BackendId &id) const
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return std::nullopt;
    }
    BackendAnnouncement announcement = found->second.announcement;
    announcement.ageMs = ageInMs(now, found->second.lastSeenAt);
    announcement.lifetimeMs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(lifetimeOf(announcement)).count());
    return announcement;
}

std::optional<PositionUpdate> AnnouncementDirectory::positionUpdate(Instant now, const BackendId &id) const
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return std::nullopt;
    }
    const BackendAnnouncement &announcement = found->second.announcement;
    return PositionUpdate { identityOf(announcement), announcement.version, announcement.point,
        ageInMs(now, found->second.lastSeenAt) };
}

std::vector<BackendAnnouncement> AnnouncementDirectory::all(Instant now) const
{
    std::vector<BackendAnnouncement> result;
    result.reserve(size());
    for (const auto &[id, known] : known_) {
        if (!known.isSilent) {
            result.push_back(*current(now, id));
        }
    }
    return result;
}

const std::map<BackendId, DuplicateServer> &AnnouncementDirectory::duplicates() const
{
    return duplicates_;
}

std::size_t AnnouncementDirectory::size() const
{
    return known_.size() - silentCount_;
}

std::uint64_t AnnouncementDirectory::hash() const
{
    return hash_;
}

} // namespace daisyrelay
