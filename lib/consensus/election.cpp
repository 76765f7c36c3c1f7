// Elections and the leader lease.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>
#include <functional>

namespace daisyrelay {

/// Lease duration in percent of the election timeout. The rest compensates for clocks that run at different speeds.
static constexpr int LeasePercent = 90;

void RaftCore::startElection(Instant now, bool isPreVote)
{
    role_ = RaftRole::Candidate;
    isPreVote_ = isPreVote;
    leader_.reset();
    votes_ = { options_.self };
    if (!isPreVote) {
        ++hardState_.term;
        hardState_.votedFor = options_.self;
        isHardStateDirty_ = true;
    }
    resetElectionTimer(now);
    if (now - startedAt_ < 2 * options_.electionTimeout && allVotersReportNoLeader()) {
        // Other voters may not have received all Hello responses yet and refuse to vote, so retry soon.
        electionDueAt_ = now + randomDelay(options_.heartbeatInterval, options_.heartbeatInterval);
    }
    for (const Member &member : log_.membership().members) {
        if (member.isVoter && member.vm != options_.self) {
            RaftMessage message;
            message.kind = isPreVote ? RaftMessageKind::PreVote : RaftMessageKind::Vote;
            message.term = isPreVote ? hardState_.term + 1 : hardState_.term;
            message.lastIndex = log_.lastPoint().position;
            message.lastTerm = log_.lastPoint().term;
            queueMessage(std::move(message), member.vm);
        }
    }
    countVotes(now);
}

void RaftCore::countVotes(Instant now)
{
    if (votes_.size() < quorumSize()) {
        return;
    }
    if (isPreVote_) {
        startElection(now, false);
    } else {
        becomeLeader(now);
    }
}

void RaftCore::becomeFollower(Instant now, Term term)
{
    role_ = RaftRole::Follower;
    leader_.reset();
    progress_.clear();
    if (term > hardState_.term) {
        hardState_.term = term;
        hardState_.votedFor = {};
        isHardStateDirty_ = true;
    }
    resetElectionTimer(now);
}

void RaftCore::becomeLeader(Instant now)
{
    role_ = RaftRole::Leader;
    leader_ = options_.self;
    leaderSince_ = now;
    nextHeartbeatAt_ = now + options_.heartbeatInterval;
    progress_.clear();
    pendingMembers_.clear();
    onMembershipChanged();
    // A leader can commit entries of earlier terms only together with one of its own term. This entry repeats the
    // membership, so that a log that is read from its first entry contains the members.
    appendAsLeader(now, encodeMembership(log_.membership()), LogEntryKind::Membership);
}

void RaftCore::onVoteRequest(Instant now, const RaftMessage &message)
{
    const bool isPreVoteRequest = message.kind == RaftMessageKind::PreVote;
    const bool isLogUpToDate = LogPoint { message.lastTerm, message.lastIndex } >= log_.lastPoint();
    const bool isTermValid = isPreVoteRequest ? message.term > hardState_.term : message.term == hardState_.term;
    const bool isVoteAvailable = isPreVoteRequest || hardState_.votedFor.empty() || hardState_.votedFor == message.from;
    // While the log is empty, a VM that has not stored the bootstrap membership must not grant a vote: adopting the
    // candidate's term would prevent it from storing that membership.
    const bool isBootstrapped = !log_.membership().members.empty() || message.lastIndex > 0;
    RaftMessage response;
    response.kind = isPreVoteRequest ? RaftMessageKind::PreVoteResponse : RaftMessageKind::VoteResponse;
    response.isGranted = isBootstrapped && isTermValid && isLogUpToDate && isVoteAvailable && canVote(now)
        && role_ != RaftRole::Leader;
    if (response.isGranted && !isPreVoteRequest) {
        isHardStateDirty_ = isHardStateDirty_ || hardState_.votedFor != message.from;
        hardState_.votedFor = message.from;
        resetElectionTimer(now);
    }
    if (response.isGranted && isPreVoteRequest) {
        response.term = message.term;
    }
    queueMessage(std::move(response), message.from);
}

void RaftCore::onVoteResponse(Instant now, const RaftMessage &message)
{
    const bool isPreVoteResponse = message.kind == RaftMessageKind::PreVoteResponse;
    const Term expectedTerm = isPreVoteResponse ? hardState_.term + 1 : hardState_.term;
    if (role_ != RaftRole::Candidate || isPreVote_ != isPreVoteResponse || message.term != expectedTerm
        || !message.isGranted || !isVoter(message.from, message.incarnation)) {
        return;
    }
    votes_.insert(message.from);
    countVotes(now);
}

Duration RaftCore::randomDelay(Duration minDelay, Duration maxExtraDelay)
{
    std::uniform_int_distribution<Duration::rep> distribution(0, maxExtraDelay.count());
    return minDelay + Duration(distribution(random_));
}

void RaftCore::resetElectionTimer(Instant now)
{
    electionDueAt_ = now + randomDelay(options_.electionTimeout, options_.electionTimeout);
}

// After a restart of all VMs no lease can be valid: since this VM started, each voter has reported that it neither
// leads nor follows a leader. A leader that was elected in the meantime is in contact with a quorum, so no other
// candidate can reach one.
bool RaftCore::allVotersReportNoLeader() const
{
    const std::vector<Member> &members = log_.membership().members;
    return std::all_of(members.begin(), members.end(), [this](const Member &member) {
        if (!member.isVoter || member.vm == options_.self) {
            return true;
        }
        // The report of a VM that has lost its disk counts too, because it does not depend on stored state.
        const auto response = helloResponses_.find(member.vm);
        return response != helloResponses_.end() && response->second.isLeaderless;
    });
}

void RaftCore::scheduleEarlyElection(Instant now)
{
    if (isEarlyElectionScheduled_ || leader_ || role_ != RaftRole::Follower || !canVote(now) || !isVoter()) {
        return;
    }
    isEarlyElectionScheduled_ = true;
    electionDueAt_ = std::min(electionDueAt_, now + randomDelay(Duration::zero(), options_.heartbeatInterval / 2));
}

bool RaftCore::hasLiveLeader(Instant now) const
{
    if (role_ == RaftRole::Leader) {
        return now < leaseExpiresAt();
    }
    return leader_ && now - lastLeaderContactAt_ < options_.electionTimeout;
}

// The candidate decides whether this VM is a voter, because the candidate's membership can be newer than the one in
// this log.
// A VM that has just started may have acknowledged a leader right before the restart, so it waits until any lease has
// expired, unless all voters report that there is no leader.
bool RaftCore::canVote(Instant now) const
{
    return isStateConfirmed_ && !isStorageBlocked_
        && (now - startedAt_ >= options_.electionTimeout || allVotersReportNoLeader());
}

Instant RaftCore::leaseExpiresAt() const
{
    std::vector<Instant> contactTimes;
    for (const Member &member : log_.membership().members) {
        if (!member.isVoter) {
            continue;
        }
        const auto found = progress_.find(member.vm);
        if (member.vm == options_.self) {
            contactTimes.push_back(Instant::max());
        } else {
            contactTimes.push_back(found == progress_.end() ? Instant::min() : found->second.lastAckedSentAt);
        }
    }
    if (contactTimes.size() < quorumSize()) {
        return Instant::min();
    }
    std::sort(contactTimes.begin(), contactTimes.end(), std::greater<>());
    const Instant quorumContactAt = contactTimes[quorumSize() - 1];
    if (quorumContactAt == Instant::max() || quorumContactAt == Instant::min()) {
        return quorumContactAt;
    }
    return quorumContactAt + options_.electionTimeout * LeasePercent / 100;
}

} // namespace daisyrelay
