#include "daisyrelay/control/groupmembermanager.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration ProposalInterval = std::chrono::milliseconds(500);
/// A database joins once it lags the primary by at most this many positions.
static constexpr Position MaxJoinLag = 1000;
/// With fewer members, writes would be acknowledged by a single database without an operator's consent.
static constexpr std::size_t MinMembersAfterSilence = 2;

GroupMemberManager::GroupMemberManager(ControlTiming timing) : timing_(timing)
{
}

void GroupMemberManager::reset()
{
    progress_.clear();
}

std::optional<GroupMembersCommand> GroupMemberManager::proposeInitialMembers(
    Instant now, const GroupKey &group, const KnownBackends &backends, Instant leaderSince)
{
    Progress &progress = progress_[group];
    Instant newestSeenAt = leaderSince;
    std::vector<BackendId> members;
    for (const KnownBackend *known : backends.ofGroup(group)) {
        newestSeenAt = std::max(newestSeenAt, known->firstSeenAt);
        if (!known->announcement.isLeaving && now < known->lastSeenAt + timing_.formationDelay) {
            members.push_back(known->announcement.id);
        }
    }
    const Instant readyAt = newestSeenAt + (members.size() == 1 ? timing_.soleFormationDelay : timing_.formationDelay);
    if (members.empty() || now < readyAt || now < progress.proposedAt + ProposalInterval) {
        return std::nullopt;
    }
    progress.proposedAt = now;
    std::sort(members.begin(), members.end());
    return GroupMembersCommand { group, 1, std::move(members), false };
}

std::optional<GroupMembersCommand> GroupMemberManager::proposeNextChange(Instant now, const GroupView &view)
{
    Progress &progress = progress_[view.term.group];
    if (now < progress.proposedAt + ProposalInterval) {
        return std::nullopt;
    }
    const std::uint64_t generation = view.members.generation + 1;
    if (!view.members.previous.empty()) {
        if (!isTransitionComplete(progress, view)) {
            return std::nullopt;
        }
        progress.proposedAt = now;
        return GroupMembersCommand { view.term.group, generation, {}, true };
    }
    std::optional<std::vector<BackendId>> members = nextMembers(now, view);
    if (!members) {
        return std::nullopt;
    }
    progress.proposedAt = now;
    return GroupMembersCommand { view.term.group, generation, std::move(*members), false };
}

bool GroupMemberManager::isTransitionComplete(Progress &progress, const GroupView &view) const
{
    if (!view.isConfirmed) {
        return false;
    }
    if (view.members.members.size() == 1) {
        return view.members.contains(view.term.primary);
    }
    if (progress.generation != view.members.generation || progress.term != view.term.term) {
        progress = { progress.proposedAt, view.members.generation, view.term.term, true, false, std::nullopt };
    }
    if (!progress.catchUpPoint) {
        progress.needsPosition = !progress.isPositionQueried;
        return false;
    }
    return std::any_of(view.members.members.begin(), view.members.members.end(), [&](const BackendId &member) {
        const KnownBackend *known = view.backends.find(member);
        return member != view.term.primary && known != nullptr && known->announcement.point >= *progress.catchUpPoint;
    });
}

bool GroupMemberManager::takePositionQuery(const GroupKey &group)
{
    const auto found = progress_.find(group);
    if (found == progress_.end() || !found->second.needsPosition) {
        return false;
    }
    found->second.needsPosition = false;
    found->second.isPositionQueried = true;
    return true;
}

void GroupMemberManager::onPrimaryPosition(const GroupKey &group, std::optional<LogPoint> point)
{
    const auto found = progress_.find(group);
    if (found == progress_.end() || !found->second.isPositionQueried) {
        return;
    }
    found->second.isPositionQueried = false;
    if (point && point->term == found->second.term) {
        found->second.catchUpPoint = point;
    }
}

std::optional<std::vector<BackendId>> GroupMemberManager::nextMembers(Instant now, const GroupView &view) const
{
    const KnownBackend *primary = view.backends.find(view.term.primary);
    if (primary == nullptr) {
        return std::nullopt;
    }
    std::vector<BackendId> members = view.members.members;
    for (const KnownBackend *known : view.backends.ofGroup(view.term.group)) {
        const BackendAnnouncement &announcement = known->announcement;
        const bool isCaughtUp = announcement.point.term == view.term.term
            && announcement.point.position + MaxJoinLag >= primary->announcement.point.position;
        if (!view.members.contains(announcement.id) && !announcement.isLeaving && isCaughtUp
            && announcement.role == BackendRole::Replica && now < known->lastSeenAt + timing_.formationDelay) {
            members.insert(std::lower_bound(members.begin(), members.end(), announcement.id), announcement.id);
            return members;
        }
    }
    for (const BackendId &member : view.members.members) {
        const KnownBackend *known = view.backends.find(member);
        const bool isLeaving = known != nullptr && known->announcement.isLeaving && members.size() > 1;
        const bool isExpired = view.backends.silenceOf(now, member, view.leaderSince) > timing_.memberExpiry
            && members.size() > MinMembersAfterSilence;
        if (member != view.term.primary && (isLeaving || isExpired)) {
            std::erase(members, member);
            return members;
        }
    }
    return std::nullopt;
}

} // namespace daisyrelay
