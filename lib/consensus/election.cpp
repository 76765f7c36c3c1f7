// Elections and the leader lease: who may lead, and how long a leader knows that no other was elected.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>
#include <functional>

namespace daisyrelay {

/// The part of the election timeout that a lease lasts; the rest covers clocks that run at different speeds.
static constexpr int LeasePercent = 90;

void RaftCore::startElection(Instant now, bool preVote)
{
    role_ = RaftRole::Candidate;
    preVote_ = preVote;
    leader_.reset();
    votes_ = { options_.self };
    if (!preVote) {
        ++hardState_.term;
        hardState_.votedFor = options_.self;
        hardStateDirty_ = true;
    }
    resetElectionTimer(now);
    if (now - startedAt_ < 2 * options_.electionTimeout && nobodyLeads()) {
        // The others may not have heard from all yet.
        electionAt_ = now + drawDelay(options_.heartbeat, options_.heartbeat);
    }
    for (const Member &member : log_.membership().members) {
        if (member.voter && member.vm != options_.self) {
            RaftMessage message;
            message.kind = preVote ? RaftMessageKind::PreVote : RaftMessageKind::Vote;
            message.term = preVote ? hardState_.term + 1 : hardState_.term;
            message.lastIndex = log_.last().position;
            message.lastTerm = log_.last().term;
            send(std::move(message), member.vm);
        }
    }
    countVotes(now);
}

void RaftCore::countVotes(Instant now)
{
    if (votes_.size() < quorum()) {
        return;
    }
    if (preVote_) {
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
        hardStateDirty_ = true;
    }
    resetElectionTimer(now);
}

void RaftCore::becomeLeader(Instant now)
{
    role_ = RaftRole::Leader;
    leader_ = options_.self;
    ledSince_ = now;
    heartbeatAt_ = now + options_.heartbeat;
    progress_.clear();
    rejoining_.clear();
    onMembershipChanged();
    // An entry of the new term lets the leader commit what earlier terms left behind. It repeats the membership, so
    // that a log that is read from its first entry on contains the members.
    appendOwn(now, encodeMembership(log_.membership()), LogEntryKind::Membership);
}

void RaftCore::onVote(Instant now, const RaftMessage &message)
{
    const bool pre = message.kind == RaftMessageKind::PreVote;
    const bool upToDate = LogPoint { message.lastTerm, message.lastIndex } >= log_.last();
    const bool current = pre ? message.term > hardState_.term : message.term == hardState_.term;
    const bool free = pre || hardState_.votedFor.empty() || hardState_.votedFor == message.from;
    // While nothing is in the log, a VM that has not stored the founding must not help to elect a leader: the term that
    // it would take keeps it from storing it.
    const bool founded = !log_.membership().members.empty() || message.lastIndex > 0;
    RaftMessage answer;
    answer.kind = pre ? RaftMessageKind::PreVoteAnswer : RaftMessageKind::VoteAnswer;
    answer.granted = founded && current && upToDate && free && mayVote(now) && role_ != RaftRole::Leader;
    if (answer.granted && !pre) {
        hardStateDirty_ = hardStateDirty_ || hardState_.votedFor != message.from;
        hardState_.votedFor = message.from;
        resetElectionTimer(now);
    }
    if (answer.granted && pre) {
        answer.term = message.term;
    }
    send(std::move(answer), message.from);
}

void RaftCore::onVoteAnswer(Instant now, const RaftMessage &message)
{
    const bool pre = message.kind == RaftMessageKind::PreVoteAnswer;
    const Term expected = pre ? hardState_.term + 1 : hardState_.term;
    if (role_ != RaftRole::Candidate || preVote_ != pre || message.term != expected || !message.granted
        || !isVoter(message.from, message.incarnation)) {
        return;
    }
    votes_.insert(message.from);
    countVotes(now);
}

Duration RaftCore::drawDelay(Duration least, Duration extra)
{
    std::uniform_int_distribution<Duration::rep> distribution(0, extra.count());
    return least + Duration(distribution(random_));
}

void RaftCore::resetElectionTimer(Instant now)
{
    electionAt_ = now + drawDelay(options_.electionTimeout, options_.electionTimeout);
}

// After a start of all VMs there is no lease to wait out: each voter has said since this VM started that it neither
// leads nor follows. A leader that was elected meanwhile has the ear of a quorum, which no candidate gets without it.
bool RaftCore::nobodyLeads() const
{
    const std::vector<Member> &members = log_.membership().members;
    return std::all_of(members.begin(), members.end(), [this](const Member &member) {
        if (!member.voter || member.vm == options_.self) {
            return true;
        }
        // One that has lost its disk leads as little as one that says so.
        const auto answer = helloAnswers_.find(member.vm);
        return answer != helloAnswers_.end() && answer->second.leaderless;
    });
}

void RaftCore::hastenFirstElection(Instant now)
{
    if (hastened_ || leader_ || role_ != RaftRole::Follower || !mayVote(now) || !isVoter()) {
        return;
    }
    hastened_ = true;
    electionAt_ = std::min(electionAt_, now + drawDelay(Duration::zero(), options_.heartbeat / 2));
}

bool RaftCore::followsLiveLeader(Instant now) const
{
    if (role_ == RaftRole::Leader) {
        return now < leaseUntil();
    }
    return leader_ && now - heardLeaderAt_ < options_.electionTimeout;
}

// Whether a vote counts is for the candidate to know: its membership can be newer than the one known here.
// A VM that has just started does not know whether it heard from a leader right before, so it waits out any lease,
// unless it knows that there is none.
bool RaftCore::mayVote(Instant now) const
{
    return vouched_ && !blocked_ && (now - startedAt_ >= options_.electionTimeout || nobodyLeads());
}

Instant RaftCore::leaseUntil() const
{
    std::vector<Instant> heard;
    for (const Member &member : log_.membership().members) {
        if (!member.voter) {
            continue;
        }
        const auto found = progress_.find(member.vm);
        if (member.vm == options_.self) {
            heard.push_back(Instant::max());
        } else {
            heard.push_back(found == progress_.end() ? Instant::min() : found->second.heardSent);
        }
    }
    if (heard.size() < quorum()) {
        return Instant::min();
    }
    std::sort(heard.begin(), heard.end(), std::greater<>());
    const Instant proof = heard[quorum() - 1];
    if (proof == Instant::max() || proof == Instant::min()) {
        return proof;
    }
    return proof + options_.electionTimeout * LeasePercent / 100;
}

} // namespace daisyrelay
