#include "pendingreplication.h"

namespace daisyrelay {

void PendingReplication::add(const GroupKey &group, const LogPoint &point, WorkId work)
{
    waiting_[group].emplace(point, work);
}

void PendingReplication::remove(const GroupKey &group, const LogPoint &point, WorkId work)
{
    const auto found = waiting_.find(group);
    if (found == waiting_.end()) {
        return;
    }
    const auto [begin, end] = found->second.equal_range(point);
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second == work) {
            found->second.erase(entry);
            break;
        }
    }
    if (found->second.empty()) {
        waiting_.erase(found);
    }
}

std::vector<WorkId> PendingReplication::takeReplicated(const GroupKey &group, const LogPoint &point)
{
    std::vector<WorkId> reached;
    const auto found = waiting_.find(group);
    if (found == waiting_.end()) {
        return reached;
    }
    const auto end = found->second.upper_bound(point);
    for (auto entry = found->second.begin(); entry != end; ++entry) {
        reached.push_back(entry->second);
    }
    found->second.erase(found->second.begin(), end);
    if (found->second.empty()) {
        waiting_.erase(found);
    }
    return reached;
}

std::optional<LogPoint> PendingReplication::lowestPoint(const GroupKey &group) const
{
    const auto found = waiting_.find(group);
    return found == waiting_.end() ? std::nullopt : std::optional(found->second.begin()->first);
}

std::vector<GroupKey> PendingReplication::groups() const
{
    std::vector<GroupKey> result;
    for (const auto &[group, writes] : waiting_) {
        result.push_back(group);
    }
    return result;
}

} // namespace daisyrelay
