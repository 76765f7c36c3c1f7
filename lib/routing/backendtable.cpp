#include "daisyrelay/routing/backendtable.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration AnnouncementLife = std::chrono::seconds(3);
static constexpr std::size_t LongestHistory = 1024;

void BackendTable::announce(Instant now, const BackendAnnouncement &announcement)
{
    BackendState &state = backends_[announcement.id];
    if (announcement.version < state.announcement.version) {
        return;
    }
    state.announcement = announcement;
    state.heardAt = now;
    state.point = std::max(state.point, announcement.point);
    if (announcement.role == BackendRole::Primary) {
        recordPrimary(now, announcement.group, announcement.point);
    }
}

void BackendTable::observe(Instant now, const BackendId &backend, const LogPoint &point)
{
    const auto found = backends_.find(backend);
    if (found == backends_.end()) {
        return;
    }
    found->second.point = std::max(found->second.point, point);
    if (found->second.announcement.role == BackendRole::Primary) {
        recordPrimary(now, found->second.announcement.group, point);
    }
}

void BackendTable::expire(Instant now)
{
    std::erase_if(backends_, [now](const auto &entry) { return entry.second.heardAt + AnnouncementLife < now; });
}

const BackendState *BackendTable::find(const BackendId &backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

std::vector<const BackendState *> BackendTable::ofGroup(const GroupKey &group) const
{
    std::vector<const BackendState *> result;
    for (const auto &[id, state] : backends_) {
        if (state.announcement.group == group) {
            result.push_back(&state);
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
    const auto history = primaries_.find(state->announcement.group);
    if (history == primaries_.end()) {
        return Duration::max();
    }
    const auto newer = history->second.firstSeen.upper_bound(state->point);
    if (newer == history->second.firstSeen.end()) {
        return Duration::zero();
    }
    return now - newer->second;
}

void BackendTable::recordPrimary(Instant now, const GroupKey &group, const LogPoint &point)
{
    std::map<LogPoint, Instant> &seen = primaries_[group].firstSeen;
    if (!seen.empty() && seen.rbegin()->first >= point) {
        return;
    }
    seen.emplace(point, now);
    if (seen.size() > LongestHistory) {
        seen.erase(seen.begin());
    }
}

} // namespace daisyrelay
