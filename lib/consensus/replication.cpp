// Log replication: what a leader sends, what a follower accepts and when an entry is committed.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>
#include <functional>

namespace daisyrelay {

std::optional<std::uint64_t> RaftCore::propose(Instant now, std::string command)
{
    if (role_ != RaftRole::Leader || isStorageBlocked_ || command.size() > options_.maxCommandBytes
        || log_.lastIndex() - commitIndex_ >= options_.maxUncommittedEntries
        || log_.bytesAfterSnapshot() >= 2 * options_.snapshotByteThreshold) {
        return std::nullopt;
    }
    return appendAsLeader(now, std::move(command), LogEntryKind::Command);
}

std::optional<std::uint64_t> RaftCore::appendAsLeader(Instant now, std::string command, LogEntryKind kind)
{
    log_.append({ hardState_.term, log_.lastIndex() + 1, std::move(command), kind });
    if (kind == LogEntryKind::Membership) {
        onMembershipChanged();
    }
    replicateLog(now);
    return log_.lastIndex();
}

void RaftCore::replicateLog(Instant now)
{
    for (const auto &[vm, progress] : progress_) {
        if (progress.inFlightRequestId == 0 && progress.nextIndex <= log_.lastIndex()) {
            sendAppend(now, vm);
        }
    }
}

void RaftCore::broadcastHeartbeat(Instant now)
{
    nextHeartbeatAt_ = now + options_.heartbeatInterval;
    for (const auto &[vm, progress] : progress_) {
        if (progress.inFlightRequestId != 0 && now - progress.inFlightSentAt < options_.electionTimeout / 2) {
            sendHeartbeat(now, vm);
        } else {
            sendAppend(now, vm);
        }
    }
}

// Sends an empty message that renews the lease while a message with entries or a snapshot chunk is in flight.
void RaftCore::sendHeartbeat(Instant now, const VmId &to)
{
    FollowerProgress &progress = progress_.at(to);
    RaftMessage message;
    message.kind = RaftMessageKind::Append;
    if (const std::optional<Term> term = log_.termAt(progress.matchIndex)) {
        message.lastIndex = progress.matchIndex;
        message.lastTerm = *term;
    }
    message.commitIndex = commitIndex_;
    message.requestId = ++lastRequestId_;
    progress.recordSend(message.requestId, now);
    queueMessage(std::move(message), to);
}

void RaftCore::sendAppend(Instant now, const VmId &to)
{
    FollowerProgress &progress = progress_.at(to);
    const std::optional<Term> term = log_.termAt(progress.nextIndex - 1);
    if (!term) {
        sendSnapshotChunk(now, to);
        return;
    }
    progress.snapshotIndex = 0;
    RaftMessage message;
    message.kind = RaftMessageKind::Append;
    message.lastIndex = progress.nextIndex - 1;
    message.lastTerm = *term;
    message.commitIndex = commitIndex_;
    message.requestId = ++lastRequestId_;
    message.entries = log_.slice(progress.nextIndex, options_.maxAppendEntries, options_.maxAppendBytes);
    progress.recordSend(message.requestId, now);
    progress.inFlightRequestId = message.entries.empty() ? 0 : message.requestId;
    progress.inFlightSentAt = now;
    queueMessage(std::move(message), to);
}

void RaftCore::followLeader(Instant now, const RaftMessage &message)
{
    role_ = RaftRole::Follower;
    leader_ = message.from;
    lastLeaderContactAt_ = now;
    resetElectionTimer(now);
}

void RaftCore::onAppendRequest(Instant now, const RaftMessage &message)
{
    RaftMessage response;
    response.kind = RaftMessageKind::AppendResponse;
    response.requestId = message.requestId;
    if (message.term < hardState_.term) {
        queueMessage(std::move(response), message.from);
        return;
    }
    followLeader(now, message);
    const std::optional<Term> previousTerm = log_.termAt(message.lastIndex);
    // Compacted entries are committed and therefore match.
    const bool logMatches = message.lastIndex < log_.firstIndex() - 1 || previousTerm == message.lastTerm;
    if (!logMatches) {
        response.lastIndex = std::min(log_.lastIndex(), message.lastIndex - 1);
        queueMessage(std::move(response), message.from);
        return;
    }
    response.isGranted = true;
    if (isStorageBlocked_) {
        response.lastIndex = std::min(message.lastIndex, persistedIndex_);
    } else {
        mergeEntries(message.entries);
        response.lastIndex = message.lastIndex + message.entries.size();
        raiseCommitIndex(std::min(message.commitIndex, response.lastIndex));
    }
    queueMessage(std::move(response), message.from);
}

void RaftCore::mergeEntries(const std::vector<LogEntry> &entries)
{
    bool membershipChanged = false;
    for (const LogEntry &entry : entries) {
        if (entry.index < log_.firstIndex() || log_.termAt(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= log_.lastIndex()) {
            log_.truncateFrom(entry.index);
            if (entry.index <= persistedIndex_) {
                truncateFrom_ = std::min(truncateFrom_.value_or(entry.index), entry.index);
                persistedIndex_ = entry.index - 1;
            }
            membershipChanged = true;
        }
        log_.append(entry);
        membershipChanged = membershipChanged || entry.kind == LogEntryKind::Membership;
    }
    if (membershipChanged) {
        onMembershipChanged();
    }
}

FollowerProgress *RaftCore::progressOf(const RaftMessage &response)
{
    const auto found = progress_.find(response.from);
    const bool isCurrent = role_ == RaftRole::Leader && response.term == hardState_.term && found != progress_.end()
        && found->second.incarnation == response.incarnation;
    return isCurrent ? &found->second : nullptr;
}

void RaftCore::onAppendResponse(Instant now, const RaftMessage &message)
{
    FollowerProgress *progress = progressOf(message);
    if (progress == nullptr || message.lastIndex > log_.lastIndex()) {
        return;
    }
    progress->recordResponse(message.requestId);
    if (!message.isGranted) {
        progress->nextIndex = std::clamp(message.lastIndex + 1, progress->matchIndex + 1, log_.lastIndex() + 1);
        if (progress->inFlightRequestId == 0) {
            sendAppend(now, message.from);
        }
        return;
    }
    progress->matchIndex = std::max(progress->matchIndex, message.lastIndex);
    progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
    if (progress->snapshotIndex != 0 && progress->matchIndex >= progress->snapshotIndex) {
        progress->snapshotIndex = 0;
    }
    advanceCommitIndex(now);
    // The commit may have removed the follower from the membership.
    progress = progressOf(message);
    if (progress != nullptr && progress->inFlightRequestId == 0 && progress->nextIndex <= log_.lastIndex()) {
        sendAppend(now, message.from);
    }
}

void RaftCore::advanceCommitIndex(Instant now)
{
    if (role_ != RaftRole::Leader) {
        return;
    }
    std::vector<std::uint64_t> storedIndexes;
    for (const Member &member : log_.membership().members) {
        if (member.isVoter) {
            const auto found = progress_.find(member.vm);
            const std::uint64_t matchIndex = found == progress_.end() ? 0 : found->second.matchIndex;
            storedIndexes.push_back(member.vm == options_.self ? persistedIndex_ : matchIndex);
        }
    }
    if (storedIndexes.size() < quorumSize()) {
        return;
    }
    std::sort(storedIndexes.begin(), storedIndexes.end(), std::greater<>());
    const std::uint64_t index = storedIndexes[quorumSize() - 1];
    if (index > commitIndex_ && log_.termAt(index) == hardState_.term) {
        raiseCommitIndex(index);
        maintainMembership(now);
    }
}

void RaftCore::raiseCommitIndex(std::uint64_t index)
{
    commitIndex_ = std::max(commitIndex_, index);
}

} // namespace daisyrelay
