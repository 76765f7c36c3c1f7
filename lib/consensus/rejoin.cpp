// Starts and memberships: how a VM learns whether its disk holds what it promised, how the first membership is made,
// and how a VM whose disk was lost becomes a member again.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>

namespace daisyrelay {

/// A VM that is no member asks this often, in election timeouts, once it has been up for a while.
static constexpr int SlowHelloTimeouts = 3;
static constexpr int QuickHelloTimeouts = 10;

RaftStanding RaftCore::standing() const
{
    const Member *self = memberOf(options_.self);
    const bool member = self != nullptr && self->incarnation == hardState_.incarnation;
    const bool replaced = self != nullptr && !member;
    if (replaced || (!member && (hardState_.rejoining || log_.membership().members.empty()))) {
        return RaftStanding::Empty;
    }
    return hardState_.term == 0 && log_.lastIndex() == 0 ? RaftStanding::Genesis : RaftStanding::Live;
}

void RaftCore::sendHello(Instant now)
{
    startGenesis(now);
    const Member *self = memberOf(options_.self);
    const bool member = self != nullptr && self->incarnation == hardState_.incarnation;
    countVouchers(now);
    if ((vouched_ && member) || now < helloAt_) {
        return;
    }
    const bool quick = now - startedAt_ < QuickHelloTimeouts * options_.electionTimeout;
    helloAt_ = now + (quick ? options_.heartbeat : SlowHelloTimeouts * options_.electionTimeout);
    for (const VmId &vm : otherControlVms()) {
        RaftMessage message;
        message.kind = RaftMessageKind::Hello;
        message.standing = standing();
        message.lastIndex = log_.last().position;
        message.lastTerm = log_.last().term;
        message.round = bootNonce_;
        message.zone = options_.zone;
        send(std::move(message), vm);
    }
}

void RaftCore::onHello(Instant now, const RaftMessage &message)
{
    RaftMessage answer;
    answer.kind = RaftMessageKind::HelloAnswer;
    answer.standing = standing();
    answer.lastIndex = log_.last().position;
    answer.lastTerm = log_.last().term;
    answer.round = message.round;
    answer.zone = options_.zone;
    answer.leaderless = role_ != RaftRole::Leader && !followsLiveLeader(now);
    if (const auto known = marks_.find(message.from); known != marks_.end()) {
        const Mark &mark = known->second;
        answer.granted = mark.incarnation == message.incarnation
            && (message.term < mark.term || LogPoint { message.lastTerm, message.lastIndex } < mark.log);
    }
    const Member *member = memberOf(message.from);
    if (member != nullptr && member->incarnation != message.incarnation && message.standing != RaftStanding::Empty
        && LogPoint { message.lastTerm, message.lastIndex } <= log_.last()) {
        answer.granted = true;
    }
    const bool expected = member != nullptr
        || std::find(options_.controlVms.begin(), options_.controlVms.end(), message.from) != options_.controlVms.end();
    zones_[message.from] = message.zone;
    if (message.standing == RaftStanding::Empty && (expected || options_.openMembership) && role_ == RaftRole::Leader) {
        rejoining_[message.from] = message.incarnation;
    }
    send(std::move(answer), message.from);
}

void RaftCore::onHelloAnswer(Instant now, const RaftMessage &message)
{
    if (message.round != bootNonce_) {
        return;
    }
    if (message.granted && !vouched_) {
        takeNewIncarnation(now);
        return;
    }
    helloAnswers_[message.from] = message;
    startGenesis(now);
}

// Any one VM may be the only one that knows of a promise, so all are waited for, but not for longer than an election.
// Learners count here, since the membership known here can be older than the one that made them voters.
void RaftCore::countVouchers(Instant now)
{
    // A listed VM that is no member any more has nothing to say about promises.
    std::size_t others = otherControlVms().size();
    if (options_.openMembership && !log_.membership().members.empty()) {
        others = log_.membership().members.size() - (memberOf(options_.self) != nullptr ? 1 : 0);
    }
    const auto answered = static_cast<std::size_t>(std::count_if(
        helloAnswers_.begin(), helloAnswers_.end(), [this](const auto &answer) { return mayVouch(answer.second); }));
    const auto heard = static_cast<std::size_t>(std::count_if(helloAnswers_.begin(), helloAnswers_.end(),
        [this](const auto &answer) { return !options_.openMembership || memberOf(answer.first) != nullptr; }));
    // One that has lost its disk knows nothing, however long it is waited for.
    const bool waited = heard >= others || now - startedAt_ >= options_.electionTimeout;
    vouched_ = vouched_ || (waited && answered >= (others + 1) / 2);
}

// A VM that holds nothing knows of no promise, unless it is a voter that has not stored the founding yet: its
// incarnation shows that its disk is the one with which it was made a voter.
bool RaftCore::mayVouch(const RaftMessage &answer) const
{
    const Member *member = memberOf(answer.from);
    if (options_.openMembership && member == nullptr && !log_.membership().members.empty()) {
        return false;
    }
    const bool sameDisk = member != nullptr && member->incarnation == answer.incarnation;
    return answer.standing != RaftStanding::Empty || sameDisk;
}

// What is stored stays: as a learner's log it is as good as any, only the promises that went with it are not known.
void RaftCore::takeNewIncarnation(Instant now)
{
    hardState_.incarnation = random_();
    hardState_.rejoining = true;
    hardStateDirty_ = true;
    rejoinReported_ = false;
    bootNonce_ = random_();
    helloAnswers_.clear();
    vouched_ = false;
    becomeFollower(now, hardState_.term);
}

// The first membership is made only if every first control VM answers and none holds anything. A VM that lost its disk
// later finds one that does.
void RaftCore::startGenesis(Instant now)
{
    const std::vector<VmId> &vms = options_.controlVms;
    const bool fresh = standing() == RaftStanding::Empty && hardState_.term == 0 && log_.lastIndex() == 0
        && !hardState_.rejoining && !hardStateDirty_;
    if (!fresh || !options_.mayFound || std::find(vms.begin(), vms.end(), options_.self) == vms.end()) {
        return;
    }
    Membership membership;
    for (const VmId &vm : std::set<VmId>(vms.begin(), vms.end())) {
        const auto answer = helloAnswers_.find(vm);
        const bool self = vm == options_.self;
        if (!self
            && (answer == helloAnswers_.end() || answer->second.standing == RaftStanding::Live
                || answer->second.term != 0 || answer->second.lastIndex != 0)) {
            return;
        }
        membership.members.push_back({ vm, self ? hardState_.incarnation : answer->second.incarnation, true,
            self ? options_.zone : answer->second.zone });
    }
    log_.install({ 0, 0, std::move(membership), "" });
    snapshotDirty_ = true;
    vouched_ = true;
    resetElectionTimer(now);
}

void RaftCore::recordMark(const RaftMessage &message)
{
    const bool grants = (message.kind == RaftMessageKind::VoteAnswer || message.kind == RaftMessageKind::AppendAnswer)
        && message.granted;
    if (!grants && message.kind != RaftMessageKind::Vote && message.kind != RaftMessageKind::Append) {
        return;
    }
    Mark &mark = marks_[message.from];
    if (mark.incarnation != message.incarnation) {
        mark = { message.incarnation, 0, {} };
    }
    mark.term = std::max(mark.term, message.term);
    if (message.kind == RaftMessageKind::Vote) {
        mark.log = std::max(mark.log, LogPoint { message.lastTerm, message.lastIndex });
    }
    if (message.kind == RaftMessageKind::AppendAnswer && message.term == hardState_.term) {
        if (const std::optional<Term> term = log_.termAt(message.lastIndex); term && role_ == RaftRole::Leader) {
            mark.log = std::max(mark.log, LogPoint { *term, message.lastIndex });
        }
    }
}

void RaftCore::onMembershipChanged()
{
    const Member *self = memberOf(options_.self);
    if (hardState_.rejoining && self != nullptr && self->incarnation == hardState_.incarnation) {
        hardState_.rejoining = false;
        hardStateDirty_ = true;
    }
    if (role_ != RaftRole::Leader) {
        return;
    }
    std::erase_if(progress_, [this](const auto &entry) {
        const Member *member = memberOf(entry.first);
        return member == nullptr || member->incarnation != entry.second.incarnation;
    });
    for (const Member &member : log_.membership().members) {
        if (member.vm != options_.self) {
            FollowerProgress progress;
            progress.incarnation = member.incarnation;
            progress.next = log_.lastIndex() + 1;
            progress_.try_emplace(member.vm, std::move(progress));
        }
    }
}

bool RaftCore::removeMember(Instant now, const VmId &vm)
{
    const bool settled = log_.termAt(commit_) == hardState_.term && log_.membershipIndex() <= commit_;
    if (role_ != RaftRole::Leader || !settled || blocked_ || vm == options_.self || memberOf(vm) == nullptr) {
        return false;
    }
    Membership membership = log_.membership();
    std::erase_if(membership.members, [&vm](const Member &member) { return member.vm == vm; });
    rejoining_.erase(vm);
    appendOwn(now, encodeMembership(membership), LogEntryKind::Membership);
    return true;
}

} // namespace daisyrelay
