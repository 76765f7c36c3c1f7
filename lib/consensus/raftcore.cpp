#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

RaftCore::RaftCore(Instant now, RaftOptions options, StoredState stored)
    : options_(std::move(options))
    , random_(options_.seed)
    , hardState_(std::move(stored.hardState))
    , log_(stored.snapshot.value_or(RaftSnapshot {}), std::move(stored.entries))
    , startedAt_(now)
    , commit_(log_.snapshot().index)
    , delivered_(commit_)
    , bootNonce_(random_())
    , persisted_(log_.lastIndex())
{
    if (hardState_.incarnation == 0) {
        hardState_.incarnation = random_();
        hardStateDirty_ = true;
    }
    if (commit_ > 0) {
        restore_ = log_.snapshot().data;
    }
    // A start needs no long wait to keep candidates apart; the time until the first vote may be given counts for all.
    electionAt_ = now + drawDelay(options_.electionTimeout, 2 * options_.heartbeat);
}

void RaftCore::tick(Instant now)
{
    assert(!writing_ && "the driver must report the write first");
    retryDue_ = blocked_ && now >= retryAt_;
    sendHello(now);
    if (role_ == RaftRole::Leader) {
        const bool alone = now - ledSince_ > 2 * options_.electionTimeout && now > leaseUntil()
            && now > leaseUntil() + options_.electionTimeout;
        // A leader that can not store anything would keep the others from electing one that can.
        const bool stuck = blocked_ && options_.openMembership && now - blockedSince_ > options_.electionTimeout;
        if (alone || stuck) {
            becomeFollower(now, hardState_.term);
        } else if (now >= heartbeatAt_) {
            broadcast(now);
            maintainMembership(now);
        }
        return;
    }
    hastenFirstElection(now);
    if (now >= electionAt_) {
        leader_.reset();
        resetElectionTimer(now);
        if (mayVote(now) && isVoter() && !retired_) {
            startElection(now, true);
        }
    }
}

void RaftCore::retire(Instant now)
{
    retired_ = true;
    if (role_ == RaftRole::Leader) {
        becomeFollower(now, hardState_.term);
    }
}

void RaftCore::receive(Instant now, const RaftMessage &message)
{
    assert(!writing_ && "the driver must report the write first");
    if (message.to != options_.self || message.from == options_.self) {
        return;
    }
    recordMark(message);
    // A member that was dropped while it was cut off does not know, and would wait for a leader for ever.
    if (options_.openMembership && message.kind == RaftMessageKind::PreVote && role_ == RaftRole::Leader
        && memberOf(message.from) == nullptr) {
        rejoining_[message.from] = message.incarnation;
    }
    const bool asks = message.kind == RaftMessageKind::Vote || message.kind == RaftMessageKind::PreVote;
    if (asks && message.term > hardState_.term && followsLiveLeader(now)) {
        return;
    }
    const bool keepsTerm = message.kind == RaftMessageKind::PreVote || message.kind == RaftMessageKind::Hello
        || message.kind == RaftMessageKind::HelloAnswer
        || (message.kind == RaftMessageKind::PreVoteAnswer && message.granted);
    if (message.term > hardState_.term && !keepsTerm) {
        becomeFollower(now, message.term);
    }
    switch (message.kind) {
    case RaftMessageKind::PreVote:
    case RaftMessageKind::Vote:
        onVote(now, message);
        break;
    case RaftMessageKind::PreVoteAnswer:
    case RaftMessageKind::VoteAnswer:
        onVoteAnswer(now, message);
        break;
    case RaftMessageKind::Append:
        onAppend(now, message);
        break;
    case RaftMessageKind::AppendAnswer:
        onAppendAnswer(now, message);
        break;
    case RaftMessageKind::InstallSnapshot:
        onInstallSnapshot(now, message);
        break;
    case RaftMessageKind::InstallSnapshotAnswer:
        onInstallSnapshotAnswer(now, message);
        break;
    case RaftMessageKind::Hello:
        onHello(now, message);
        break;
    case RaftMessageKind::HelloAnswer:
        onHelloAnswer(now, message);
        break;
    }
}

RaftActions RaftCore::takeActions()
{
    assert(!writing_ && "the driver must report the write first");
    RaftActions actions;
    RaftWrite write = pendingWrite();
    const bool synced = write.empty();
    if (!synced && (!blocked_ || retryDue_)) {
        actions.write = std::move(write);
        writing_ = true;
        retryDue_ = false;
    }
    std::vector<Outgoing> held;
    for (Outgoing &outgoing : outbox_) {
        if (outgoing.promise && !synced) {
            held.push_back(std::move(outgoing));
        } else {
            actions.messages.push_back(std::move(outgoing.message));
        }
    }
    outbox_ = std::move(held);
    actions.restore = std::exchange(restore_, std::nullopt);
    for (; delivered_ < commit_; ++delivered_) {
        const LogEntry &entry = log_.at(delivered_ + 1);
        if (entry.kind == LogEntryKind::Command) {
            actions.committed.push_back(entry);
        }
    }
    if (snapshotIsDue()) {
        actions.snapshotAt = delivered_;
    }
    actions.rejoining = !std::exchange(rejoinReported_, true);
    return actions;
}

void RaftCore::onPersisted(Instant now)
{
    writing_ = false;
    blocked_ = false;
    hardStateDirty_ = false;
    snapshotDirty_ = false;
    truncateFrom_.reset();
    persisted_ = log_.lastIndex();
    advanceCommit(now);
}

void RaftCore::onPersistFailed(Instant now)
{
    writing_ = false;
    blockedSince_ = blocked_ ? blockedSince_ : now;
    blocked_ = true;
    retryAt_ = now + options_.storageRetry;
    // The other side repeats what stays unanswered.
    std::erase_if(outbox_, [](const Outgoing &outgoing) { return outgoing.promise; });
}

void RaftCore::compact(std::uint64_t index, std::string data)
{
    if (index <= log_.snapshot().index || index > delivered_) {
        return;
    }
    log_.compact(index, std::move(data), options_.keptEntries);
    encodedSnapshot_.clear();
    snapshotDirty_ = true;
}

RaftRole RaftCore::role() const
{
    return role_;
}

Term RaftCore::term() const
{
    return hardState_.term;
}

std::optional<VmId> RaftCore::leader() const
{
    return leader_;
}

std::uint64_t RaftCore::commitIndex() const
{
    return commit_;
}

const RaftLog &RaftCore::log() const
{
    return log_;
}

std::uint64_t RaftCore::incarnation() const
{
    return hardState_.incarnation;
}

bool RaftCore::isBlocked() const
{
    return blocked_;
}

bool RaftCore::isVoter() const
{
    return isVoter(options_.self, hardState_.incarnation);
}

bool RaftCore::mayAnswer(Instant now) const
{
    return role_ == RaftRole::Leader && log_.termAt(commit_) == hardState_.term && now < leaseUntil();
}

void RaftCore::send(RaftMessage message, const VmId &to)
{
    message.from = options_.self;
    message.to = to;
    message.incarnation = hardState_.incarnation;
    if (message.term == 0) {
        message.term = hardState_.term;
    }
    const bool promise = isPromise(message);
    outbox_.push_back({ std::move(message), promise });
}

bool RaftCore::isPromise(const RaftMessage &message) const
{
    switch (message.kind) {
    case RaftMessageKind::Vote:
    case RaftMessageKind::Hello:
    case RaftMessageKind::HelloAnswer: // The first membership may be made of its incarnation.
        return hardStateDirty_;
    case RaftMessageKind::VoteAnswer:
        return message.granted && hardStateDirty_;
    case RaftMessageKind::AppendAnswer:
        return message.granted
            && (hardStateDirty_ || snapshotDirty_ || truncateFrom_ || message.lastIndex > persisted_);
    default:
        return false;
    }
}

RaftWrite RaftCore::pendingWrite() const
{
    RaftWrite write;
    std::uint64_t from = persisted_ + 1;
    if (snapshotDirty_) {
        write.snapshot = log_.snapshot();
        from = log_.snapshot().index + 1;
    } else {
        write.record.truncateFrom = truncateFrom_;
    }
    if (hardStateDirty_ || snapshotDirty_) {
        write.record.hardState = hardState_;
    }
    for (; from <= log_.lastIndex(); ++from) {
        write.record.append.push_back(log_.at(from));
    }
    return write;
}

bool RaftCore::snapshotIsDue() const
{
    const std::uint64_t entries = delivered_ - log_.snapshot().index;
    return !blocked_ && !snapshotDirty_ && entries > 0
        && (entries >= options_.snapshotEntries || log_.bytesAfterSnapshot() >= options_.snapshotBytes);
}

const Member *RaftCore::memberOf(const VmId &vm) const
{
    const std::vector<Member> &members = log_.membership().members;
    const auto found
        = std::find_if(members.begin(), members.end(), [&vm](const Member &member) { return member.vm == vm; });
    return found == members.end() ? nullptr : &*found;
}

bool RaftCore::isVoter(const VmId &vm, std::uint64_t incarnation) const
{
    const Member *member = memberOf(vm);
    return member != nullptr && member->voter && member->incarnation == incarnation;
}

std::size_t RaftCore::quorum() const
{
    const std::vector<Member> &members = log_.membership().members;
    const auto voters
        = std::count_if(members.begin(), members.end(), [](const Member &member) { return member.voter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

std::set<VmId> RaftCore::otherControlVms() const
{
    std::set<VmId> vms(options_.controlVms.begin(), options_.controlVms.end());
    for (const Member &member : log_.membership().members) {
        vms.insert(member.vm);
    }
    vms.erase(options_.self);
    return vms;
}

} // namespace daisyrelay
