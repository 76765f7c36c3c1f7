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
    , commitIndex_(log_.snapshot().index)
    , deliveredIndex_(commitIndex_)
    , bootNonce_(random_())
    , persistedIndex_(log_.lastIndex())
{
    if (hardState_.incarnation == 0) {
        hardState_.incarnation = random_();
        isHardStateDirty_ = true;
    }
    if (commitIndex_ > 0) {
        snapshotToRestore_ = log_.snapshot().data;
    }
    // The first election needs only a small random delay to keep candidates apart: no VM grants a vote before it has
    // been up for an election timeout.
    electionDueAt_ = now + randomDelay(options_.electionTimeout, 2 * options_.heartbeatInterval);
}

void RaftCore::tick(Instant now)
{
    assert(!isWriting_ && "the driver must report the write first");
    isStorageRetryDue_ = isStorageBlocked_ && now >= storageRetryAt_;
    sendHello(now);
    if (role_ == RaftRole::Leader) {
        const bool hasLostQuorum = now - leaderSince_ > 2 * options_.electionTimeout && now > leaseExpiresAt()
            && now > leaseExpiresAt() + options_.electionTimeout;
        // A leader that cannot write to its disk would prevent the election of a leader that can.
        const bool isStorageStuck
            = isStorageBlocked_ && options_.isMembershipOpen && now - storageBlockedSince_ > options_.electionTimeout;
        if (hasLostQuorum || isStorageStuck) {
            becomeFollower(now, hardState_.term);
        } else if (now >= nextHeartbeatAt_) {
            broadcastHeartbeat(now);
            maintainMembership(now);
        }
        return;
    }
    scheduleEarlyElection(now);
    if (now >= electionDueAt_) {
        leader_.reset();
        resetElectionTimer(now);
        if (canVote(now) && isVoter() && !isLeaving_) {
            startElection(now, true);
        }
    }
}

void RaftCore::prepareToLeave(Instant now)
{
    isLeaving_ = true;
    if (role_ == RaftRole::Leader) {
        becomeFollower(now, hardState_.term);
    }
}

void RaftCore::receive(Instant now, const RaftMessage &message)
{
    assert(!isWriting_ && "the driver must report the write first");
    if (message.to != options_.self || message.from == options_.self) {
        return;
    }
    recordAcknowledgedState(message);
    // A member that was removed while it was partitioned still considers itself a voter and sends pre-votes. Without a
    // new admission it would wait for a leader forever.
    if (options_.isMembershipOpen && message.kind == RaftMessageKind::PreVote && role_ == RaftRole::Leader
        && findMember(message.from) == nullptr) {
        pendingMembers_[message.from] = message.incarnation;
    }
    const bool isVoteRequest = message.kind == RaftMessageKind::Vote || message.kind == RaftMessageKind::PreVote;
    if (isVoteRequest && message.term > hardState_.term && hasLiveLeader(now)) {
        return;
    }
    const bool ignoresTerm = message.kind == RaftMessageKind::PreVote || message.kind == RaftMessageKind::Hello
        || message.kind == RaftMessageKind::HelloResponse
        || (message.kind == RaftMessageKind::PreVoteResponse && message.isGranted);
    if (message.term > hardState_.term && !ignoresTerm) {
        becomeFollower(now, message.term);
    }
    switch (message.kind) {
    case RaftMessageKind::PreVote:
    case RaftMessageKind::Vote:
        onVoteRequest(now, message);
        break;
    case RaftMessageKind::PreVoteResponse:
    case RaftMessageKind::VoteResponse:
        onVoteResponse(now, message);
        break;
    case RaftMessageKind::Append:
        onAppendRequest(now, message);
        break;
    case RaftMessageKind::AppendResponse:
        onAppendResponse(now, message);
        break;
    case RaftMessageKind::InstallSnapshot:
        onInstallSnapshot(now, message);
        break;
    case RaftMessageKind::InstallSnapshotResponse:
        onInstallSnapshotResponse(now, message);
        break;
    case RaftMessageKind::Hello:
        onHello(now, message);
        break;
    case RaftMessageKind::HelloResponse:
        onHelloResponse(now, message);
        break;
    }
}

RaftActions RaftCore::takeActions()
{
    assert(!isWriting_ && "the driver must report the write first");
    RaftActions actions;
    RaftWrite write = pendingWrite();
    const bool isSynced = write.empty();
    if (!isSynced && (!isStorageBlocked_ || isStorageRetryDue_)) {
        actions.write = std::move(write);
        isWriting_ = true;
        isStorageRetryDue_ = false;
    }
    std::vector<OutgoingMessage> deferred;
    for (OutgoingMessage &outgoing : outbox_) {
        if (outgoing.requiresSync && !isSynced) {
            deferred.push_back(std::move(outgoing));
        } else {
            actions.messages.push_back(std::move(outgoing.message));
        }
    }
    outbox_ = std::move(deferred);
    actions.snapshotToRestore = std::exchange(snapshotToRestore_, std::nullopt);
    for (; deliveredIndex_ < commitIndex_; ++deliveredIndex_) {
        const LogEntry &entry = log_.at(deliveredIndex_ + 1);
        if (entry.kind == LogEntryKind::Command) {
            actions.committed.push_back(entry);
        }
    }
    if (isSnapshotDue()) {
        actions.snapshotIndex = deliveredIndex_;
    }
    actions.isRejoining = !std::exchange(isRejoinReported_, true);
    return actions;
}

void RaftCore::onPersisted(Instant now)
{
    isWriting_ = false;
    isStorageBlocked_ = false;
    isHardStateDirty_ = false;
    isSnapshotDirty_ = false;
    truncateFrom_.reset();
    persistedIndex_ = log_.lastIndex();
    advanceCommitIndex(now);
}

void RaftCore::onPersistenceFailed(Instant now)
{
    isWriting_ = false;
    storageBlockedSince_ = isStorageBlocked_ ? storageBlockedSince_ : now;
    isStorageBlocked_ = true;
    storageRetryAt_ = now + options_.storageRetryInterval;
    // The senders repeat the requests that get no response.
    std::erase_if(outbox_, [](const OutgoingMessage &outgoing) { return outgoing.requiresSync; });
}

void RaftCore::compact(std::uint64_t index, std::string data)
{
    if (index <= log_.snapshot().index || index > deliveredIndex_) {
        return;
    }
    log_.compact(index, std::move(data), options_.retainedEntries);
    encodedSnapshot_.clear();
    isSnapshotDirty_ = true;
    isSnapshotRequested_ = false;
}

void RaftCore::requestSnapshot()
{
    isSnapshotRequested_ = true;
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
    return commitIndex_;
}

const RaftLog &RaftCore::log() const
{
    return log_;
}

std::uint64_t RaftCore::incarnation() const
{
    return hardState_.incarnation;
}

bool RaftCore::isStorageBlocked() const
{
    return isStorageBlocked_;
}

bool RaftCore::isVoter() const
{
    return isVoter(options_.self, hardState_.incarnation);
}

bool RaftCore::isConfirmedLeader(Instant now) const
{
    return role_ == RaftRole::Leader && log_.termAt(commitIndex_) == hardState_.term && now < leaseExpiresAt();
}

void RaftCore::queueMessage(RaftMessage message, const VmId &to)
{
    message.from = options_.self;
    message.to = to;
    message.incarnation = hardState_.incarnation;
    if (message.term == 0) {
        message.term = hardState_.term;
    }
    const bool requiresSync = mustWaitForSync(message);
    outbox_.push_back({ std::move(message), requiresSync });
}

bool RaftCore::mustWaitForSync(const RaftMessage &message) const
{
    switch (message.kind) {
    case RaftMessageKind::Vote:
    case RaftMessageKind::Hello:
    case RaftMessageKind::HelloResponse: // The receiver may put this incarnation into the bootstrap membership.
        return isHardStateDirty_;
    case RaftMessageKind::VoteResponse:
        return message.isGranted && isHardStateDirty_;
    case RaftMessageKind::AppendResponse:
        return message.isGranted
            && (isHardStateDirty_ || isSnapshotDirty_ || truncateFrom_ || message.lastIndex > persistedIndex_);
    default:
        return false;
    }
}

RaftWrite RaftCore::pendingWrite() const
{
    RaftWrite write;
    std::uint64_t from = persistedIndex_ + 1;
    if (isSnapshotDirty_) {
        write.snapshot = log_.snapshot();
        from = log_.snapshot().index + 1;
    } else {
        write.record.truncateFrom = truncateFrom_;
    }
    if (isHardStateDirty_ || isSnapshotDirty_) {
        write.record.hardState = hardState_;
    }
    for (; from <= log_.lastIndex(); ++from) {
        write.record.entries.push_back(log_.at(from));
    }
    return write;
}

bool RaftCore::isSnapshotDue() const
{
    const std::uint64_t entries = deliveredIndex_ - log_.snapshot().index;
    return !isStorageBlocked_ && !isSnapshotDirty_ && entries > 0
        && (isSnapshotRequested_ || entries >= options_.snapshotEntryThreshold
            || log_.bytesAfterSnapshot() >= options_.snapshotByteThreshold);
}

const Member *RaftCore::findMember(const VmId &vm) const
{
    const std::vector<Member> &members = log_.membership().members;
    const auto found
        = std::find_if(members.begin(), members.end(), [&vm](const Member &member) { return member.vm == vm; });
    return found == members.end() ? nullptr : &*found;
}

bool RaftCore::isVoter(const VmId &vm, std::uint64_t incarnation) const
{
    const Member *member = findMember(vm);
    return member != nullptr && member->isVoter && member->incarnation == incarnation;
}

std::size_t RaftCore::quorumSize() const
{
    const std::vector<Member> &members = log_.membership().members;
    const auto voters
        = std::count_if(members.begin(), members.end(), [](const Member &member) { return member.isVoter; });
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
