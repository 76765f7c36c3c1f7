// Sends the snapshot in chunks to followers that need entries which the leader no longer holds.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>

namespace daisyrelay {

void RaftCore::sendSnapshot(Instant now, const VmId &to)
{
    FollowerProgress &progress = progress_.at(to);
    if (encodedSnapshot_.empty()) {
        encodedSnapshot_ = encodeRaftSnapshot(log_.snapshot());
    }
    if (progress.snapshotIndex != log_.snapshot().index) {
        progress.snapshotIndex = log_.snapshot().index;
        progress.snapshotOffset = 0;
    }
    RaftMessage message;
    message.kind = RaftMessageKind::InstallSnapshot;
    message.lastIndex = log_.snapshot().index;
    message.lastTerm = log_.snapshot().term;
    message.offset = progress.snapshotOffset;
    message.total = encodedSnapshot_.size();
    message.snapshot = encodedSnapshot_.substr(progress.snapshotOffset, options_.chunkBytes);
    message.round = ++round_;
    progress.recordSend(message.round, now);
    progress.waitingRound = message.round;
    progress.waitingSince = now;
    send(std::move(message), to);
}

void RaftCore::onInstallSnapshot(Instant now, const RaftMessage &message)
{
    RaftMessage answer;
    answer.kind = RaftMessageKind::AppendAnswer;
    answer.round = message.round;
    answer.lastIndex = message.lastIndex;
    if (message.term < hardState_.term) {
        send(std::move(answer), message.from);
        return;
    }
    acceptLeader(now, message);
    if (message.lastIndex <= commit_) {
        answer.granted = true;
        send(std::move(answer), message.from);
        return;
    }
    if (blocked_ || message.total > LargestStoredValue) {
        return;
    }
    const LogPoint point { message.lastTerm, message.lastIndex };
    if (message.offset == 0 || incomingPoint_ != point) {
        incoming_.clear();
        incomingPoint_ = point;
    }
    if (message.offset == incoming_.size() && message.offset + message.snapshot.size() <= message.total) {
        incoming_ += message.snapshot;
    }
    answer.kind = RaftMessageKind::InstallSnapshotAnswer;
    answer.offset = incoming_.size();
    if (incoming_.size() == message.total) {
        Expected<RaftSnapshot> snapshot = decodeRaftSnapshot(incoming_);
        incoming_ = {};
        incomingPoint_ = {};
        answer.offset = 0;
        if (snapshot && snapshot->index == message.lastIndex && snapshot->term == message.lastTerm) {
            commit_ = snapshot->index;
            delivered_ = commit_;
            restore_ = snapshot->data;
            log_.install(std::move(*snapshot));
            encodedSnapshot_.clear();
            snapshotDirty_ = true;
            persisted_ = 0;
            onMembershipChanged();
            answer.kind = RaftMessageKind::AppendAnswer;
            answer.granted = true;
        }
    }
    send(std::move(answer), message.from);
}

void RaftCore::onInstallSnapshotAnswer(Instant now, const RaftMessage &message)
{
    FollowerProgress *progress = progressOf(message);
    if (progress == nullptr) {
        return;
    }
    const bool awaited = progress->waitingRound == message.round;
    progress->recordAnswer(message.round);
    if (!awaited || message.lastIndex != progress->snapshotIndex || message.offset > encodedSnapshot_.size()) {
        return;
    }
    progress->snapshotOffset = message.offset;
    sendAppend(now, message.from);
}

} // namespace daisyrelay
