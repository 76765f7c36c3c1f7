// Startup protocol: checks with the other VMs that the disk holds all acknowledged state, bootstraps the first
// membership and lets a VM that has lost its disk rejoin.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>

namespace daisyrelay {

/// Interval between the Hello messages of a VM that is not a member, in election timeouts.
static constexpr int SlowHelloIntervalElectionTimeouts = 3;
/// Period after a start during which Hello is sent at the heartbeat interval instead, in election timeouts.
static constexpr int FastHelloPhaseElectionTimeouts = 10;

RaftDataStatus RaftCore::dataStatus() const
{
    const Member *self = findMember(options_.self);
    const bool isMember = self != nullptr && self->incarnation == hardState_.incarnation;
    const bool isReplaced = self != nullptr && !isMember;
    if (isReplaced || (!isMember && (hardState_.isRejoining || log_.membership().members.empty()))) {
        return RaftDataStatus::Empty;
    }
    return hardState_.term == 0 && log_.lastIndex() == 0 ? RaftDataStatus::Bootstrapped : RaftDataStatus::Active;
}

void RaftCore::sendHello(Instant now)
{
    bootstrapMembership(now);
    const Member *self = findMember(options_.self);
    const bool isMember = self != nullptr && self->incarnation == hardState_.incarnation;
    countStateConfirmations(now);
    // A learner without a leader may have been removed. Unlike a voter it sends no pre-votes that would show so.
    const bool mayBeRemoved = options_.isMembershipOpen && !isVoter() && !hasLiveLeader(now);
    if ((isStateConfirmed_ && isMember && !mayBeRemoved) || now < nextHelloAt_) {
        return;
    }
    const bool isStarting = now - startedAt_ < FastHelloPhaseElectionTimeouts * options_.electionTimeout;
    nextHelloAt_ = now
        + (isStarting ? options_.heartbeatInterval : SlowHelloIntervalElectionTimeouts * options_.electionTimeout);
    std::set<VmId> receivers = otherControlVms();
    receivers.insert(reportedVms_.begin(), reportedVms_.end());
    receivers.erase(options_.self);
    for (const VmId &vm : receivers) {
        RaftMessage message;
        message.kind = RaftMessageKind::Hello;
        message.dataStatus = dataStatus();
        message.lastIndex = log_.lastPoint().position;
        message.lastTerm = log_.lastPoint().term;
        message.requestId = bootNonce_;
        message.zone = options_.zone;
        queueMessage(std::move(message), vm);
    }
}

void RaftCore::onHello(Instant now, const RaftMessage &message)
{
    RaftMessage response;
    response.kind = RaftMessageKind::HelloResponse;
    response.dataStatus = dataStatus();
    response.lastIndex = log_.lastPoint().position;
    response.lastTerm = log_.lastPoint().term;
    response.requestId = message.requestId;
    response.zone = options_.zone;
    response.isLeaderless = role_ != RaftRole::Leader && !hasLiveLeader(now);
    if (const auto found = acknowledgedStates_.find(message.from); found != acknowledgedStates_.end()) {
        const AcknowledgedState &acknowledged = found->second;
        response.isGranted = acknowledged.incarnation == message.incarnation
            && (message.term < acknowledged.term
                || LogPoint { message.lastTerm, message.lastIndex } < acknowledged.lastEntry);
    }
    const Member *member = findMember(message.from);
    if (member != nullptr && member->incarnation != message.incarnation && message.dataStatus != RaftDataStatus::Empty
        && LogPoint { message.lastTerm, message.lastIndex } <= log_.lastPoint()) {
        response.isGranted = true;
    }
    const bool isKnownControlVm = member != nullptr
        || std::find(options_.controlVms.begin(), options_.controlVms.end(), message.from) != options_.controlVms.end();
    // Only the leader admits a VM without data, and it may be none of the VMs in the settings of that VM.
    if (message.dataStatus == RaftDataStatus::Empty && !log_.membership().members.empty()) {
        response.entries.push_back({ log_.termAt(log_.membershipIndex()).value_or(0), log_.membershipIndex(),
            encodeMembership(log_.membership()), LogEntryKind::Membership });
    }
    zones_[message.from] = message.zone;
    const bool needsAdmission
        = message.dataStatus == RaftDataStatus::Empty || (options_.isMembershipOpen && member == nullptr);
    if (needsAdmission && (isKnownControlVm || options_.isMembershipOpen) && role_ == RaftRole::Leader) {
        pendingMembers_[message.from] = message.incarnation;
    }
    queueMessage(std::move(response), message.from);
}

void RaftCore::onHelloResponse(Instant now, const RaftMessage &message)
{
    if (message.requestId != bootNonce_) {
        return;
    }
    recordReportedVms(message);
    if (message.isGranted && !isStateConfirmed_) {
        startNewIncarnation(now);
        return;
    }
    helloResponses_[message.from] = message;
    bootstrapMembership(now);
}

void RaftCore::recordReportedVms(const RaftMessage &message)
{
    for (const LogEntry &entry : message.entries) {
        if (const Expected<Membership> membership = decodeMembership(entry.command); membership) {
            for (const Member &member : membership->members) {
                reportedVms_.insert(member.vm);
            }
        }
    }
}

// Each VM may be the only one that recorded some acknowledged state, so this VM waits for all responses, but at most
// for an election timeout. Learners count too, because a newer membership than the one in this log may have made them
// voters.
void RaftCore::countStateConfirmations(Instant now)
{
    // A configured control VM that is no longer a member cannot confirm acknowledged state.
    std::size_t expectedResponses = otherControlVms().size();
    if (options_.isMembershipOpen && !log_.membership().members.empty()) {
        expectedResponses = log_.membership().members.size() - (findMember(options_.self) != nullptr ? 1 : 0);
    }
    const auto confirmations = static_cast<std::size_t>(std::count_if(helloResponses_.begin(), helloResponses_.end(),
        [this](const auto &response) { return canConfirmState(response.second); }));
    const auto responseCount = static_cast<std::size_t>(std::count_if(helloResponses_.begin(), helloResponses_.end(),
        [this](const auto &response) { return !options_.isMembershipOpen || findMember(response.first) != nullptr; }));
    // A VM that has lost its disk cannot confirm anything, so waiting longer for others does not help.
    const bool hasWaitedLongEnough = responseCount >= expectedResponses || now - startedAt_ >= options_.electionTimeout;
    isStateConfirmed_ = isStateConfirmed_ || (hasWaitedLongEnough && confirmations >= (expectedResponses + 1) / 2);
}

// A VM without data cannot confirm acknowledged state. The exception is a voter that has not stored the bootstrap
// membership yet: its incarnation shows that its disk is the one with which it became a voter.
bool RaftCore::canConfirmState(const RaftMessage &response) const
{
    const Member *member = findMember(response.from);
    if (options_.isMembershipOpen && member == nullptr && !log_.membership().members.empty()) {
        return false;
    }
    const bool isSameIncarnation = member != nullptr && member->incarnation == response.incarnation;
    return response.dataStatus != RaftDataStatus::Empty || isSameIncarnation;
}

// Keeps the stored log, which remains valid for a learner. Only the acknowledgements of the previous incarnation become
// void.
void RaftCore::startNewIncarnation(Instant now)
{
    hardState_.incarnation = random_();
    hardState_.isRejoining = true;
    isHardStateDirty_ = true;
    isRejoinReported_ = false;
    bootNonce_ = random_();
    helloResponses_.clear();
    isStateConfirmed_ = false;
    becomeFollower(now, hardState_.term);
}

// Creates the first membership only if all configured control VMs respond and none of them holds data. A VM that loses
// its disk later finds at least one VM that holds data and does not bootstrap again.
void RaftCore::bootstrapMembership(Instant now)
{
    const std::vector<VmId> &vms = options_.controlVms;
    const bool isUninitialized = dataStatus() == RaftDataStatus::Empty && hardState_.term == 0 && log_.lastIndex() == 0
        && !hardState_.isRejoining && !isHardStateDirty_;
    if (!isUninitialized || !options_.canBootstrap || std::find(vms.begin(), vms.end(), options_.self) == vms.end()) {
        return;
    }
    Membership membership;
    for (const VmId &vm : std::set<VmId>(vms.begin(), vms.end())) {
        const auto response = helloResponses_.find(vm);
        const bool isSelf = vm == options_.self;
        if (!isSelf
            && (response == helloResponses_.end() || response->second.dataStatus == RaftDataStatus::Active
                || response->second.term != 0 || response->second.lastIndex != 0)) {
            return;
        }
        membership.members.push_back({ vm, isSelf ? hardState_.incarnation : response->second.incarnation, true,
            isSelf ? options_.zone : response->second.zone });
    }
    log_.installSnapshot({ 0, 0, std::move(membership), "" });
    isSnapshotDirty_ = true;
    isStateConfirmed_ = true;
    resetElectionTimer(now);
}

void RaftCore::recordAcknowledgedState(const RaftMessage &message)
{
    const bool isGrant
        = (message.kind == RaftMessageKind::VoteResponse || message.kind == RaftMessageKind::AppendResponse)
        && message.isGranted;
    if (!isGrant && message.kind != RaftMessageKind::Vote && message.kind != RaftMessageKind::Append) {
        return;
    }
    AcknowledgedState &acknowledged = acknowledgedStates_[message.from];
    if (acknowledged.incarnation != message.incarnation) {
        acknowledged = { message.incarnation, 0, {} };
    }
    acknowledged.term = std::max(acknowledged.term, message.term);
    if (message.kind == RaftMessageKind::Vote) {
        acknowledged.lastEntry = std::max(acknowledged.lastEntry, LogPoint { message.lastTerm, message.lastIndex });
    }
    if (message.kind == RaftMessageKind::AppendResponse && message.term == hardState_.term) {
        if (const std::optional<Term> term = log_.termAt(message.lastIndex); term && role_ == RaftRole::Leader) {
            acknowledged.lastEntry = std::max(acknowledged.lastEntry, LogPoint { *term, message.lastIndex });
        }
    }
}

void RaftCore::onMembershipChanged()
{
    const Member *self = findMember(options_.self);
    if (hardState_.isRejoining && self != nullptr && self->incarnation == hardState_.incarnation) {
        hardState_.isRejoining = false;
        isHardStateDirty_ = true;
    }
    if (role_ != RaftRole::Leader) {
        return;
    }
    std::erase_if(progress_, [this](const auto &entry) {
        const Member *member = findMember(entry.first);
        return member == nullptr || member->incarnation != entry.second.incarnation;
    });
    for (const Member &member : log_.membership().members) {
        if (member.vm != options_.self) {
            FollowerProgress progress;
            progress.incarnation = member.incarnation;
            progress.nextIndex = log_.lastIndex() + 1;
            progress_.try_emplace(member.vm, std::move(progress));
        }
    }
}

bool RaftCore::removeMember(Instant now, const VmId &vm)
{
    const bool canChangeMembership
        = log_.termAt(commitIndex_) == hardState_.term && log_.membershipIndex() <= commitIndex_;
    if (role_ != RaftRole::Leader || !canChangeMembership || isStorageBlocked_ || vm == options_.self
        || findMember(vm) == nullptr) {
        return false;
    }
    Membership membership = log_.membership();
    std::erase_if(membership.members, [&vm](const Member &member) { return member.vm == vm; });
    pendingMembers_.erase(vm);
    appendAsLeader(now, encodeMembership(membership), LogEntryKind::Membership);
    return true;
}

} // namespace daisyrelay
