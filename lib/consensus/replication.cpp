// Replication of the log: what a leader sends, what a follower accepts, and when an entry is committed.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>
#include <functional>

namespace daisyrelay {

std::optional<std::uint64_t> RaftCore::propose(Instant now, std::string command)
{
    if (role_ != RaftRole::Leader || blocked_ || command.size() > options_.largestCommand
        || log_.lastIndex() - commit_ >= options_.uncommittedEntries
        || log_.bytesAfterSnapshot() >= 2 * options_.snapshotBytes) {
        return std::nullopt;
    }
    return appendOwn(now, std::move(command), LogEntryKind::Command);
}

std::optional<std::uint64_t> RaftCore::appendOwn(Instant now, std::string command, LogEntryKind kind)
{
    log_.append({ hardState_.term, log_.lastIndex() + 1, std::move(command), kind });
    if (kind == LogEntryKind::Membership) {
        onMembershipChanged();
    }
    replicate(now);
    return log_.lastIndex();
}

void RaftCore::replicate(Instant now)
{
    for (const auto &[vm, progress] : progress_) {
        if (progress.waitingRound == 0 && progress.next <= log_.lastIndex()) {
            sendAppend(now, vm);
        }
    }
}

void RaftCore::broadcast(Instant now)
{
    heartbeatAt_ = now + options_.heartbeat;
    for (const auto &[vm, progress] : progress_) {
        if (progress.waitingRound != 0 && now - progress.waitingSince < options_.electionTimeout / 2) {
            sendHeartbeat(now, vm);
        } else {
            sendAppend(now, vm);
        }
    }
}

// Keeps the lease while a larger message is on its way.
void RaftCore::sendHeartbeat(Instant now, const VmId &to)
{
    FollowerProgress &progress = progress_.at(to);
    RaftMessage message;
    message.kind = RaftMessageKind::Append;
    if (const std::optional<Term> term = log_.termAt(progress.match)) {
        message.lastIndex = progress.match;
        message.lastTerm = *term;
    }
    message.commit = commit_;
    message.round = ++round_;
    progress.recordSend(message.round, now);
    send(std::move(message), to);
}

void RaftCore::sendAppend(Instant now, const VmId &to)
{
    FollowerProgress &progress = progress_.at(to);
    const std::optional<Term> term = log_.termAt(progress.next - 1);
    if (!term) {
        sendSnapshot(now, to);
        return;
    }
    progress.snapshotIndex = 0;
    RaftMessage message;
    message.kind = RaftMessageKind::Append;
    message.lastIndex = progress.next - 1;
    message.lastTerm = *term;
    message.commit = commit_;
    message.round = ++round_;
    message.entries = log_.slice(progress.next, options_.appendEntries, options_.appendBytes);
    progress.recordSend(message.round, now);
    progress.waitingRound = message.entries.empty() ? 0 : message.round;
    progress.waitingSince = now;
    send(std::move(message), to);
}

void RaftCore::acceptLeader(Instant now, const RaftMessage &message)
{
    role_ = RaftRole::Follower;
    leader_ = message.from;
    heardLeaderAt_ = now;
    resetElectionTimer(now);
}

void RaftCore::onAppend(Instant now, const RaftMessage &message)
{
    RaftMessage answer;
    answer.kind = RaftMessageKind::AppendAnswer;
    answer.round = message.round;
    if (message.term < hardState_.term) {
        send(std::move(answer), message.from);
        return;
    }
    acceptLeader(now, message);
    const std::optional<Term> previous = log_.termAt(message.lastIndex);
    // What is compacted here is committed, so it can only match.
    const bool matches = message.lastIndex < log_.firstIndex() - 1 || previous == message.lastTerm;
    if (!matches) {
        answer.lastIndex = std::min(log_.lastIndex(), message.lastIndex - 1);
        send(std::move(answer), message.from);
        return;
    }
    answer.granted = true;
    if (blocked_) {
        answer.lastIndex = std::min(message.lastIndex, persisted_);
    } else {
        takeEntries(message.entries);
        answer.lastIndex = message.lastIndex + message.entries.size();
        setCommit(std::min(message.commit, answer.lastIndex));
    }
    send(std::move(answer), message.from);
}

void RaftCore::takeEntries(const std::vector<LogEntry> &entries)
{
    bool membershipChanged = false;
    for (const LogEntry &entry : entries) {
        if (entry.index < log_.firstIndex() || log_.termAt(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= log_.lastIndex()) {
            log_.truncateFrom(entry.index);
            if (entry.index <= persisted_) {
                truncateFrom_ = std::min(truncateFrom_.value_or(entry.index), entry.index);
                persisted_ = entry.index - 1;
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

FollowerProgress *RaftCore::progressOf(const RaftMessage &answer)
{
    const auto found = progress_.find(answer.from);
    const bool known = role_ == RaftRole::Leader && answer.term == hardState_.term && found != progress_.end()
        && found->second.incarnation == answer.incarnation;
    return known ? &found->second : nullptr;
}

void RaftCore::onAppendAnswer(Instant now, const RaftMessage &message)
{
    FollowerProgress *progress = progressOf(message);
    if (progress == nullptr || message.lastIndex > log_.lastIndex()) {
        return;
    }
    progress->recordAnswer(message.round);
    if (!message.granted) {
        progress->next = std::clamp(message.lastIndex + 1, progress->match + 1, log_.lastIndex() + 1);
        if (progress->waitingRound == 0) {
            sendAppend(now, message.from);
        }
        return;
    }
    progress->match = std::max(progress->match, message.lastIndex);
    progress->next = std::max(progress->next, progress->match + 1);
    if (progress->snapshotIndex != 0 && progress->match >= progress->snapshotIndex) {
        progress->snapshotIndex = 0;
    }
    advanceCommit(now);
    // A commit can bring a membership change that drops the follower.
    progress = progressOf(message);
    if (progress != nullptr && progress->waitingRound == 0 && progress->next <= log_.lastIndex()) {
        sendAppend(now, message.from);
    }
}

void RaftCore::advanceCommit(Instant now)
{
    if (role_ != RaftRole::Leader) {
        return;
    }
    std::vector<std::uint64_t> stored;
    for (const Member &member : log_.membership().members) {
        if (member.voter) {
            const auto found = progress_.find(member.vm);
            const std::uint64_t match = found == progress_.end() ? 0 : found->second.match;
            stored.push_back(member.vm == options_.self ? persisted_ : match);
        }
    }
    if (stored.size() < quorum()) {
        return;
    }
    std::sort(stored.begin(), stored.end(), std::greater<>());
    const std::uint64_t index = stored[quorum() - 1];
    if (index > commit_ && log_.termAt(index) == hardState_.term) {
        setCommit(index);
        maintainMembership(now);
    }
}

void RaftCore::setCommit(std::uint64_t index)
{
    commit_ = std::max(commit_, index);
}

} // namespace daisyrelay
