#include "daisyrelay/control/memberkeeper.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration ProposalInterval = std::chrono::milliseconds(500);
static constexpr Position JoinLag = 1000; ///< A database joins once it is this close to the primary.
static constexpr std::size_t FewestAfterSilence = 2; // Below that, writes would live on one database unasked.

MemberKeeper::MemberKeeper(ControlTiming timing) : timing_(timing)
{
}

void MemberKeeper::reset()
{
    progress_.clear();
}

std::optional<GroupMembersCommand> MemberKeeper::form(
    Instant now, const GroupKey &group, const KnownBackends &backends, Instant leadingSince)
{
    Progress &progress = progress_[group];
    Instant first = now;
    std::vector<BackendId> members;
    for (const KnownBackend *known : backends.ofGroup(group)) {
        first = std::min(first, known->firstHeardAt);
        if (!known->announcement.leaving && now < known->heardAt + timing_.formation) {
            members.push_back(known->announcement.id);
        }
    }
    const Instant ready = std::max(first, leadingSince) + timing_.formation;
    if (members.empty() || now < ready || now < progress.proposedAt + ProposalInterval) {
        return std::nullopt;
    }
    progress.proposedAt = now;
    std::sort(members.begin(), members.end());
    return GroupMembersCommand { group, 1, std::move(members), false };
}

std::optional<GroupMembersCommand> MemberKeeper::next(Instant now, const GroupView &view)
{
    Progress &progress = progress_[view.term.group];
    if (now < progress.proposedAt + ProposalInterval) {
        return std::nullopt;
    }
    const std::uint64_t generation = view.members.generation + 1;
    if (!view.members.previous.empty()) {
        if (!settled(progress, view)) {
            return std::nullopt;
        }
        progress.proposedAt = now;
        return GroupMembersCommand { view.term.group, generation, {}, true };
    }
    std::optional<std::vector<BackendId>> members = changed(now, view);
    if (!members) {
        return std::nullopt;
    }
    progress.proposedAt = now;
    return GroupMembersCommand { view.term.group, generation, std::move(*members), false };
}

bool MemberKeeper::settled(Progress &progress, const GroupView &view) const
{
    if (!view.confirmed) {
        return false;
    }
    if (view.members.members.size() == 1) {
        return view.members.contains(view.term.primary);
    }
    if (progress.generation != view.members.generation || progress.term != view.term.term) {
        progress = { progress.proposedAt, view.members.generation, view.term.term, true, false, std::nullopt };
    }
    if (!progress.mark) {
        progress.wantsQuestion = !progress.asked;
        return false;
    }
    return std::any_of(view.members.members.begin(), view.members.members.end(), [&](const BackendId &member) {
        const KnownBackend *known = view.backends.find(member);
        return member != view.term.primary && known != nullptr && known->announcement.point >= *progress.mark;
    });
}

bool MemberKeeper::takeQuestion(const GroupKey &group)
{
    const auto found = progress_.find(group);
    if (found == progress_.end() || !found->second.wantsQuestion) {
        return false;
    }
    found->second.wantsQuestion = false;
    found->second.asked = true;
    return true;
}

void MemberKeeper::primaryAt(const GroupKey &group, std::optional<LogPoint> point)
{
    const auto found = progress_.find(group);
    if (found == progress_.end() || !found->second.asked) {
        return;
    }
    found->second.asked = false;
    if (point && point->term == found->second.term) {
        found->second.mark = point;
    }
}

std::optional<std::vector<BackendId>> MemberKeeper::changed(Instant now, const GroupView &view) const
{
    const KnownBackend *primary = view.backends.find(view.term.primary);
    if (primary == nullptr) {
        return std::nullopt;
    }
    std::vector<BackendId> members = view.members.members;
    for (const KnownBackend *known : view.backends.ofGroup(view.term.group)) {
        const BackendAnnouncement &announcement = known->announcement;
        const bool close = announcement.point.term == view.term.term
            && announcement.point.position + JoinLag >= primary->announcement.point.position;
        if (!view.members.contains(announcement.id) && !announcement.leaving && close
            && announcement.role == BackendRole::Replica && now < known->heardAt + timing_.formation) {
            members.insert(std::lower_bound(members.begin(), members.end(), announcement.id), announcement.id);
            return members;
        }
    }
    for (const BackendId &member : view.members.members) {
        const KnownBackend *known = view.backends.find(member);
        const bool leaving = known != nullptr && known->announcement.leaving && members.size() > 1;
        const bool gone = view.backends.silence(now, member, view.leadingSince) > timing_.memberGone
            && members.size() > FewestAfterSilence;
        if (member != view.term.primary && (leaving || gone)) {
            std::erase(members, member);
            return members;
        }
    }
    return std::nullopt;
}

} // namespace daisyrelay
