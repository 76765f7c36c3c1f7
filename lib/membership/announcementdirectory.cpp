#include "daisyrelay/membership/announcementdirectory.h"

#include "stablehash.h"

#include <algorithm>
#include <tuple>

namespace daisyrelay {

static constexpr std::size_t LongestName = 64;
static constexpr Position HighestPosition = Position { 1 } << 53U;
static constexpr Duration DuplicateLife = std::chrono::seconds(30);

static bool isSane(const BackendAnnouncement &announcement)
{
    const auto named = [](const std::string &name) { return !name.empty() && name.size() <= LongestName; };
    return named(announcement.id.value) && named(announcement.group.service.value)
        && named(announcement.group.group.value) && named(announcement.zone.value) && named(announcement.host)
        && announcement.port != 0 && announcement.connections > 0 && announcement.slots > 0
        && announcement.slots <= announcement.connections && announcement.role <= BackendRole::Replica
        && announcement.point.position < HighestPosition && announcement.point.term < HighestPosition;
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
        .add(announcement.leaving ? 1 : 0)
        .add(static_cast<std::uint64_t>(announcement.role))
        .value();
}

/// Whether the two differ in more than position and age.
static bool differs(const BackendAnnouncement &left, const BackendAnnouncement &right)
{
    const auto fixed = [](const BackendAnnouncement &value) {
        return std::tie(value.group, value.zone, value.host, value.port, value.connections, value.slots, value.role,
            value.leaving, value.generation);
    };
    return fixed(left) != fixed(right);
}

static Duration ageOf(std::uint32_t ageMs)
{
    return std::chrono::milliseconds(ageMs);
}

AnnouncementDirectory::AnnouncementDirectory(AnnouncementTiming timing, Counters &counters)
    : timing_(timing), counters_(counters)
{
}

AnnouncementOutcome AnnouncementDirectory::refuse(std::string_view reason)
{
    counters_.add("announcements.refused." + std::string(reason));
    return AnnouncementOutcome::Refused;
}

Duration AnnouncementDirectory::lifeOf(const BackendAnnouncement &announcement) const
{
    return announcement.leaving ? timing_.leavingLife
                                : timing_.life + timing_.lifePerServer * static_cast<int>(known_.size());
}

AnnouncementOutcome AnnouncementDirectory::set(Instant now, const BackendAnnouncement &announcement)
{
    const auto found = known_.find(announcement.id);
    const bool changed
        = found == known_.end() || found->second.silent || differs(found->second.announcement, announcement);
    erase(announcement.id);
    known_[announcement.id] = { announcement, now - ageOf(announcement.ageMs) };
    identities_[identityOf(announcement)] = announcement.id;
    hash_ ^= hashOf(announcement);
    return changed ? AnnouncementOutcome::Changed : AnnouncementOutcome::Refreshed;
}

void AnnouncementDirectory::erase(const BackendId &id)
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return;
    }
    if (found->second.silent) {
        --silentCount_;
    } else {
        hash_ ^= hashOf(found->second.announcement);
    }
    identities_.erase(identityOf(found->second.announcement));
    known_.erase(found);
}

AnnouncementOutcome AnnouncementDirectory::hear(Instant now, BackendAnnouncement announcement)
{
    if (!isSane(announcement)) {
        return refuse("absurd");
    }
    announcement.ageMs = 0;
    const auto found = known_.find(announcement.id);
    if (found == known_.end()) {
        announcement.generation = 1;
        announcement.version = 1;
        return known_.size() < timing_.mostServers ? set(now, announcement) : refuse("too-many");
    }
    const BackendAnnouncement &before = found->second.announcement;
    const bool expired = found->second.heardAt + lifeOf(before) <= now;
    if (!expired
        || (addressOf(before) == addressOf(announcement) && before.group == announcement.group && !before.leaving)) {
        return hearKnown(now, found->second, std::move(announcement));
    }
    announcement.generation = before.generation + 1;
    announcement.version = 1;
    return set(now, announcement);
}

AnnouncementOutcome AnnouncementDirectory::hearKnown(Instant now, Known &known, BackendAnnouncement announcement)
{
    const BackendAnnouncement &before = known.announcement;
    if (before.leaving && !announcement.leaving) {
        // An announcement that was sent before the server left can arrive after it.
        if (now < known.heardAt + timing_.leavingHold) {
            return refuse("after-leaving");
        }
        announcement.generation = before.generation + 1;
        announcement.version = 1;
        return set(now, announcement);
    }
    if (addressOf(before) != addressOf(announcement)) {
        duplicates_[announcement.id] = { announcement.host, announcement.port, now };
        return refuse("duplicate-id");
    }
    if (before.group != announcement.group || before.zone != announcement.zone) {
        return refuse("group-changed");
    }
    announcement.generation = before.generation;
    announcement.version = before.version + 1;
    return set(now, announcement);
}

AnnouncementOutcome AnnouncementDirectory::merge(Instant now, const BackendAnnouncement &announcement)
{
    if (!isSane(announcement)) {
        return refuse("absurd");
    }
    if (ageOf(announcement.ageMs) >= lifeOf(announcement)) {
        return AnnouncementOutcome::Old;
    }
    const auto found = known_.find(announcement.id);
    if (found == known_.end()) {
        return known_.size() < timing_.mostServers ? set(now, announcement) : refuse("too-many");
    }
    const BackendAnnouncement &before = found->second.announcement;
    if (announcement.generation == before.generation && addressOf(announcement) != addressOf(before)) {
        // Two servers with one id were heard at the same time by different VMs; all
        // VMs keep the same one.
        duplicates_[announcement.id] = { announcement.host, announcement.port, now };
        if (addressOf(announcement) > addressOf(before)) {
            return refuse("duplicate-id");
        }
        return set(now, announcement);
    }
    const auto order = [](const BackendAnnouncement &value) {
        return std::tuple(value.generation, value.leaving, value.version, value.point);
    };
    return order(announcement) > order(before) ? set(now, announcement) : AnnouncementOutcome::Old;
}

std::pair<AnnouncementOutcome, BackendId> AnnouncementDirectory::merge(Instant now, const BackendPulse &pulse)
{
    const auto found = identities_.find(pulse.identity);
    if (found == identities_.end() || pulse.point.position >= HighestPosition) {
        return { AnnouncementOutcome::Old, {} };
    }
    const BackendId id = found->second;
    BackendAnnouncement announcement = known_.at(id).announcement;
    if (ageOf(pulse.ageMs) >= lifeOf(announcement)) {
        return { AnnouncementOutcome::Old, id };
    }
    if (std::tuple(pulse.version, pulse.point) <= std::tuple(announcement.version, announcement.point)) {
        return { AnnouncementOutcome::Old, id };
    }
    announcement.version = pulse.version;
    announcement.point = pulse.point;
    announcement.ageMs = pulse.ageMs;
    return { set(now, announcement), id };
}

std::vector<BackendId> AnnouncementDirectory::expire(Instant now)
{
    std::vector<BackendId> silent;
    std::vector<BackendId> forgotten;
    for (auto &[id, known] : known_) {
        const Instant expiresAt = known.heardAt + lifeOf(known.announcement);
        if (expiresAt <= now && !known.silent) {
            known.silent = true;
            ++silentCount_;
            hash_ ^= hashOf(known.announcement);
            silent.push_back(id);
        }
        if (expiresAt + timing_.silentLife <= now) {
            forgotten.push_back(id);
        }
    }
    for (const BackendId &id : forgotten) {
        erase(id);
    }
    std::erase_if(duplicates_, [now](const auto &entry) { return entry.second.seenAt + DuplicateLife <= now; });
    return silent;
}

static std::uint32_t ageInMs(Instant now, Instant heardAt)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - heardAt).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0));
}

std::optional<BackendAnnouncement> AnnouncementDirectory::current(Instant now, const BackendId &id) const
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return std::nullopt;
    }
    BackendAnnouncement announcement = found->second.announcement;
    announcement.ageMs = ageInMs(now, found->second.heardAt);
    announcement.lifeMs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(lifeOf(announcement)).count());
    return announcement;
}

std::optional<BackendPulse> AnnouncementDirectory::pulse(Instant now, const BackendId &id) const
{
    const auto found = known_.find(id);
    if (found == known_.end()) {
        return std::nullopt;
    }
    const BackendAnnouncement &announcement = found->second.announcement;
    return BackendPulse { identityOf(announcement), announcement.version, announcement.point,
        ageInMs(now, found->second.heardAt) };
}

std::vector<BackendAnnouncement> AnnouncementDirectory::all(Instant now) const
{
    std::vector<BackendAnnouncement> result;
    result.reserve(size());
    for (const auto &[id, known] : known_) {
        if (!known.silent) {
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
