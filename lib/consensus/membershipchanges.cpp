// How a leader changes the membership: who joins, who gets a seat, and whose seat is given away.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>

namespace daisyrelay {

// Changes one member at a time, and only once the change before is committed, so that the quorums of two successive
// memberships always share a voter.
void RaftCore::maintainMembership(Instant now)
{
    const bool settled = log_.termAt(commit_) == hardState_.term && log_.membershipIndex() <= commit_;
    if (role_ != RaftRole::Leader || !settled || blocked_) {
        return;
    }
    Membership membership = log_.membership();
    if (admitMember(membership) || seatLearner(now, membership) || dropSilentMember(now, membership)) {
        appendOwn(now, encodeMembership(membership), LogEntryKind::Membership);
    }
}

bool RaftCore::admitMember(Membership &membership)
{
    std::erase_if(rejoining_, [this](const auto &entry) {
        const Member *member = memberOf(entry.first);
        return member != nullptr && member->incarnation == entry.second;
    });
    if (rejoining_.empty()) {
        return false;
    }
    const auto &[vm, incarnation] = *rejoining_.begin();
    std::erase_if(membership.members, [&vm = vm](const Member &member) { return member.vm == vm; });
    membership.members.push_back({ vm, incarnation, false, zones_[vm] });
    std::sort(membership.members.begin(), membership.members.end(),
        [](const Member &left, const Member &right) { return left.vm < right.vm; });
    return true;
}

bool RaftCore::isSilent(Instant now, const Member &member, Duration limit) const
{
    if (member.vm == options_.self) {
        return false;
    }
    const auto found = progress_.find(member.vm);
    if (found == progress_.end() || found->second.firstSent == Instant::max()) {
        return false;
    }
    return now - std::max(found->second.heardSent, found->second.firstSent) > limit;
}

// A learner that has caught up gets a free seat, or that of a voter which has been silent for long. The zone with the
// fewest voters comes first, so that the loss of one zone takes as few of them as possible.
bool RaftCore::seatLearner(Instant now, Membership &membership)
{
    std::size_t voters = 0;
    std::map<ZoneId, std::size_t> votersOfZone;
    for (const Member &member : membership.members) {
        if (member.voter && !isSilent(now, member, options_.memberGone)) {
            ++voters;
            ++votersOfZone[member.zone];
        }
    }
    if (options_.voters != 0 && voters >= options_.voters) {
        return false;
    }
    Member *chosen = nullptr;
    for (Member &member : membership.members) {
        const auto found = progress_.find(member.vm);
        const bool ready = !member.voter && found != progress_.end() && found->second.match >= commit_
            && found->second.heardSent != Instant::min() && now - found->second.heardSent < options_.electionTimeout;
        if (ready && (chosen == nullptr || votersOfZone[member.zone] < votersOfZone[chosen->zone])) {
            chosen = &member;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    chosen->voter = true;
    return true;
}

// A silent voter is dropped only once a learner has taken its place, a silent learner after a longer time.
bool RaftCore::dropSilentMember(Instant now, Membership &membership)
{
    if (!options_.openMembership) {
        return false;
    }
    const auto voters = static_cast<std::size_t>(std::count_if(
        membership.members.begin(), membership.members.end(), [](const Member &member) { return member.voter; }));
    const auto silent = std::find_if(membership.members.begin(), membership.members.end(), [&](const Member &member) {
        return member.voter
            ? options_.voters != 0 && voters > options_.voters && isSilent(now, member, options_.memberGone)
            : isSilent(now, member, options_.learnerGone);
    });
    if (silent == membership.members.end()) {
        return false;
    }
    rejoining_.erase(silent->vm);
    membership.members.erase(silent);
    return true;
}

} // namespace daisyrelay
