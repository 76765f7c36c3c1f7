// How a leader changes the membership: who joins, who gets a seat, and whose seat is given away.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>

namespace daisyrelay {

// Changes one member at a time, and only once the change before is committed, so that the quorums of two successive
// memberships always share a voter.
void RaftCore::maintainMembership(Instant now)
{
    const bool canChangeMembership
        = log_.termAt(commitIndex_) == hardState_.term && log_.membershipIndex() <= commitIndex_;
    if (role_ != RaftRole::Leader || !canChangeMembership || isStorageBlocked_) {
        return;
    }
    Membership membership = log_.membership();
    if (admitPendingMember(membership) || promoteLearner(now, membership)
        || removeUnresponsiveMember(now, membership)) {
        appendAsLeader(now, encodeMembership(membership), LogEntryKind::Membership);
    }
}

bool RaftCore::admitPendingMember(Membership &membership)
{
    std::erase_if(pendingMembers_, [this](const auto &entry) {
        const Member *member = findMember(entry.first);
        return member != nullptr && member->incarnation == entry.second;
    });
    if (pendingMembers_.empty()) {
        return false;
    }
    const auto &[vm, incarnation] = *pendingMembers_.begin();
    std::erase_if(membership.members, [&vm = vm](const Member &member) { return member.vm == vm; });
    membership.members.push_back({ vm, incarnation, false, zones_[vm] });
    std::sort(membership.members.begin(), membership.members.end(),
        [](const Member &left, const Member &right) { return left.vm < right.vm; });
    return true;
}

bool RaftCore::isUnresponsive(Instant now, const Member &member, Duration timeout) const
{
    if (member.vm == options_.self) {
        return false;
    }
    const auto found = progress_.find(member.vm);
    if (found == progress_.end() || found->second.firstSentAt == Instant::max()) {
        return false;
    }
    return now - std::max(found->second.lastAckedSentAt, found->second.firstSentAt) > timeout;
}

// A learner that has caught up gets a free seat, or that of a voter which has been silent for long. The zone with the
// fewest voters comes first, so that the loss of one zone takes as few of them as possible.
bool RaftCore::promoteLearner(Instant now, Membership &membership)
{
    std::size_t voters = 0;
    std::map<ZoneId, std::size_t> votersOfZone;
    for (const Member &member : membership.members) {
        if (member.isVoter && !isUnresponsive(now, member, options_.voterTimeout)) {
            ++voters;
            ++votersOfZone[member.zone];
        }
    }
    if (options_.maxVoters != 0 && voters >= options_.maxVoters) {
        return false;
    }
    Member *candidate = nullptr;
    for (Member &member : membership.members) {
        const auto found = progress_.find(member.vm);
        const bool isCaughtUp = !member.isVoter && found != progress_.end() && found->second.matchIndex >= commitIndex_
            && found->second.lastAckedSentAt != Instant::min()
            && now - found->second.lastAckedSentAt < options_.electionTimeout;
        if (isCaughtUp && (candidate == nullptr || votersOfZone[member.zone] < votersOfZone[candidate->zone])) {
            candidate = &member;
        }
    }
    if (candidate == nullptr) {
        return false;
    }
    candidate->isVoter = true;
    return true;
}

// A silent voter is dropped only once a learner has taken its place, a silent learner after a longer time.
bool RaftCore::removeUnresponsiveMember(Instant now, Membership &membership)
{
    if (!options_.isMembershipOpen) {
        return false;
    }
    const auto voters = static_cast<std::size_t>(std::count_if(
        membership.members.begin(), membership.members.end(), [](const Member &member) { return member.isVoter; }));
    const auto unresponsive
        = std::find_if(membership.members.begin(), membership.members.end(), [&](const Member &member) {
              return member.isVoter ? options_.maxVoters != 0 && voters > options_.maxVoters
                      && isUnresponsive(now, member, options_.voterTimeout)
                                    : isUnresponsive(now, member, options_.learnerTimeout);
          });
    if (unresponsive == membership.members.end()) {
        return false;
    }
    pendingMembers_.erase(unresponsive->vm);
    membership.members.erase(unresponsive);
    return true;
}

} // namespace daisyrelay
