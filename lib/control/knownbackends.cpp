#include "daisyrelay/control/knownbackends.h"

#include <algorithm>

namespace daisyrelay {

static bool sharesDiffer(const BackendAnnouncement &left, const BackendAnnouncement &right)
{
    return left.connections != right.connections || left.slots != right.slots || left.zone != right.zone;
}

bool KnownBackends::recordAnnouncement(Instant now, const BackendAnnouncement &announcement)
{
    const auto [found, isNew] = backends_.try_emplace(announcement.id);
    KnownBackend &known = found->second;
    if (!isNew && announcement.version < known.announcement.version) {
        return false;
    }
    if (!isNew && known.announcement.group != announcement.group) {
        std::erase(groups_[known.announcement.group], announcement.id);
    }
    if (isNew || known.announcement.group != announcement.group) {
        groups_[announcement.group].push_back(announcement.id);
        known.firstSeenAt = now;
    }
    const bool hasChanged = isNew || sharesDiffer(known.announcement, announcement);
    known.announcement = announcement;
    known.lastSeenAt = now;
    return hasChanged;
}

const KnownBackend *KnownBackends::find(const BackendId &backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

KnownBackend *KnownBackends::find(const BackendId &backend)
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

std::vector<const KnownBackend *> KnownBackends::ofGroup(const GroupKey &group) const
{
    std::vector<const KnownBackend *> result;
    if (const auto members = groups_.find(group); members != groups_.end()) {
        for (const BackendId &backend : members->second) {
            result.push_back(find(backend));
        }
    }
    return result;
}

const std::map<BackendId, KnownBackend> &KnownBackends::all() const
{
    return backends_;
}

const std::map<GroupKey, std::vector<BackendId>> &KnownBackends::groups() const
{
    return groups_;
}

Duration KnownBackends::silenceOf(Instant now, const BackendId &backend, Instant since) const
{
    const KnownBackend *known = find(backend);
    return now - std::max(known == nullptr ? since : known->lastSeenAt, since);
}

} // namespace daisyrelay
