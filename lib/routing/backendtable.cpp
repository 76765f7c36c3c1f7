#include "daisyrelay/routing/backendtable.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration DefaultAnnouncementLifetime = std::chrono::seconds(3);

void BackendTable::recordAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    BackendState &state = backends_[announcement.id];
    const auto order = [](const BackendAnnouncement &value) { return std::pair(value.generation, value.version); };
    if (order(announcement) < order(state.announcement)) {
        return;
    }
    if (state.announcement.group != announcement.group) {
        groups_[state.announcement.group].backends.erase(announcement.id);
    }
    state.announcement = announcement;
    state.lastSeenAt = now - std::chrono::milliseconds(announcement.ageMs);
    state.point = std::max(state.point, announcement.point);
    groups_[announcement.group].backends.insert(announcement.id);
    if (announcement.role == BackendRole::Primary) {
        recordEstimatedPrimary(now, announcement.group, announcement.point);
    }
}

void BackendTable::recordPoint(Instant now, const BackendId &backend, const LogPoint &point)
{
    const auto found = backends_.find(backend);
    if (found == backends_.end()) {
        return;
    }
    found->second.point = std::max(found->second.point, point);
    if (found->second.announcement.role == BackendRole::Primary) {
        recordEstimatedPrimary(now, found->second.announcement.group, point);
    }
}

void BackendTable::recordMeasuredPrimary(Instant now, Instant requestedAt, const GroupKey &group, const LogPoint &point)
{
    groups_[group].measured.record(requestedAt, point.term, point.position);
    recordEstimatedPrimary(now, group, point);
}

void BackendTable::expire(Instant now)
{
    for (auto entry = backends_.begin(); entry != backends_.end();) {
        const std::uint32_t announcedLifetimeMs = entry->second.announcement.lifetimeMs;
        const Duration lifetime = announcedLifetimeMs > 0 ? Duration(std::chrono::milliseconds(announcedLifetimeMs))
                                                          : DefaultAnnouncementLifetime;
        if (entry->second.lastSeenAt + lifetime >= now) {
            ++entry;
            continue;
        }
        groups_[entry->second.announcement.group].backends.erase(entry->first);
        entry = backends_.erase(entry);
    }
}

const BackendState *BackendTable::find(const BackendId &backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

std::vector<const BackendState *> BackendTable::backendsOfGroup(const GroupKey &group) const
{
    std::vector<const BackendState *> result;
    if (const auto found = groups_.find(group); found != groups_.end()) {
        for (const BackendId &backend : found->second.backends) {
            result.push_back(&backends_.at(backend));
        }
    }
    return result;
}

std::vector<const BackendState *> BackendTable::all() const
{
    std::vector<const BackendState *> result;
    result.reserve(backends_.size());
    for (const auto &[id, state] : backends_) {
        result.push_back(&state);
    }
    return result;
}

Duration BackendTable::staleness(Instant now, const BackendId &backend) const
{
    const BackendState *state = find(backend);
    if (state == nullptr) {
        return Duration::max();
    }
    const auto group = groups_.find(state->announcement.group);
    if (group == groups_.end() || state->point.term < group->second.estimated.term()) {
        return Duration::max();
    }
    const std::optional<Instant> until = group->second.estimated.coveredUntil(state->point.position);
    if (!until) {
        return Duration::max();
    }
    return now > *until ? now - *until : Duration::zero();
}

std::optional<Position> BackendTable::minFreshPosition(Instant oldest, const GroupKey &group, Term term) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? std::nullopt : found->second.measured.positionCovering(oldest, term);
}

std::optional<Instant> BackendTable::measuredCoveredUntil(const GroupKey &group, Position position) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? std::nullopt : found->second.measured.coveredUntil(position);
}

void BackendTable::recordEstimatedPrimary(Instant seenAt, const GroupKey &group, const LogPoint &point)
{
    groups_[group].estimated.record(seenAt, point.term, point.position);
}

} // namespace daisyrelay
