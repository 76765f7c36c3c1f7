// Elections and the leader lease: who may lead, and how long a leader knows that no other was elected.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>
#include <functional>

namespace daisyrelay {

/// The part of the election timeout that a lease lasts; the rest covers clocks that run at different speeds.
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
        // The others may not have heard from all yet.
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
    // An entry of the new term lets the leader commit what earlier terms left behind. It repeats the membership, so
    // that a log that is read from its first entry on contains the members.
    appendAsLeader(now, encodeMembership(log_.membership()), LogEntryKind::Membership);
}

void RaftCore::onVoteRequest(Instant now, const RaftMessage &message)
{
    const bool isPreVoteRequest = message.kind == RaftMessageKind::PreVote;
    const bool isLogUpToDate = LogPoint { message.lastTerm, message.lastIndex } >= log_.lastPoint();
    const bool isTermValid = isPreVoteRequest ? message.term > hardState_.term : message.term == hardState_.term;
    const bool isVoteAvailable = isPreVoteRequest || hardState_.votedFor.empty() || hardState_.votedFor == message.from;
    // While nothing is in the log, a VM that has not stored the founding must not help to elect a leader: the term that
    // it would take keeps it from storing it.
    const bool isBootstrapped = !log_.membership().members.empty() || message.lastIndex > 0;
    RaftMessage response;
    response.kind = isPreVoteRequest ? RaftMessageKind::PreVoteResponse : RaftMessageKind::VoteResponse;
    response.granted = isBootstrapped && isTermValid && isLogUpToDate && isVoteAvailable && canVote(now)
        && role_ != RaftRole::Leader;
    if (response.granted && !isPreVoteRequest) {
        isHardStateDirty_ = isHardStateDirty_ || hardState_.votedFor != message.from;
        hardState_.votedFor = message.from;
        resetElectionTimer(now);
    }
    if (response.granted && isPreVoteRequest) {
        response.term = message.term;
    }
    queueMessage(std::move(response), message.from);
}

void RaftCore::onVoteResponse(Instant now, const RaftMessage &message)
{
    const bool isPreVoteRequest = message.kind == RaftMessageKind::PreVoteResponse;
    const Term expected = isPreVoteRequest ? hardState_.term + 1 : hardState_.term;
    if (role_ != RaftRole::Candidate || isPreVote_ != isPreVoteRequest || message.term != expected || !message.granted
        || !isVoter(message.from, message.incarnation)) {
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

// After a start of all VMs there is no lease to wait out: each voter has said since this VM started that it neither
// leads nor follows. A leader that was elected meanwhile has the ear of a quorum, which no candidate gets without it.
bool RaftCore::allVotersReportNoLeader() const
{
    const std::vector<Member> &members = log_.membership().members;
    return std::all_of(members.begin(), members.end(), [this](const Member &member) {
        if (!member.isVoter || member.vm == options_.self) {
            return true;
        }
        // One that has lost its disk leads as little as one that says so.
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

// Whether a vote counts is for the candidate to know: its membership can be newer than the one known here.
// A VM that has just started does not know whether it heard from a leader right before, so it waits out any lease,
// unless it knows that there is none.
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
