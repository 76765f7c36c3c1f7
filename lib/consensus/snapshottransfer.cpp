// Sends the snapshot in chunks to followers that need entries which the leader has compacted.
#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>

namespace daisyrelay {

void RaftCore::sendSnapshotChunk(Instant now, const VmId &to)
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
    message.chunkOffset = progress.snapshotOffset;
    message.snapshotBytes = encodedSnapshot_.size();
    message.snapshotChunk = encodedSnapshot_.substr(progress.snapshotOffset, options_.snapshotChunkBytes);
    message.requestId = ++lastRequestId_;
    progress.recordSend(message.requestId, now);
    progress.inFlightRequestId = message.requestId;
    progress.inFlightSentAt = now;
    queueMessage(std::move(message), to);
}

void RaftCore::onInstallSnapshot(Instant now, const RaftMessage &message)
{
    RaftMessage response;
    response.kind = RaftMessageKind::AppendResponse;
    response.requestId = message.requestId;
    response.lastIndex = message.lastIndex;
    if (message.term < hardState_.term) {
        queueMessage(std::move(response), message.from);
        return;
    }
    followLeader(now, message);
    if (message.lastIndex <= commitIndex_) {
        response.isGranted = true;
        queueMessage(std::move(response), message.from);
        return;
    }
    if (isStorageBlocked_ || message.snapshotBytes > MaxStoredValueBytes) {
        return;
    }
    const LogPoint point { message.lastTerm, message.lastIndex };
    if (message.chunkOffset == 0 || incomingSnapshotPoint_ != point) {
        incomingSnapshot_.clear();
        incomingSnapshotPoint_ = point;
    }
    if (message.chunkOffset == incomingSnapshot_.size()
        && message.chunkOffset + message.snapshotChunk.size() <= message.snapshotBytes) {
        incomingSnapshot_ += message.snapshotChunk;
    }
    response.kind = RaftMessageKind::InstallSnapshotResponse;
    response.chunkOffset = incomingSnapshot_.size();
    if (incomingSnapshot_.size() == message.snapshotBytes) {
        Expected<RaftSnapshot> snapshot = decodeRaftSnapshot(incomingSnapshot_);
        incomingSnapshot_ = {};
        incomingSnapshotPoint_ = {};
        response.chunkOffset = 0;
        if (snapshot && snapshot->index == message.lastIndex && snapshot->term == message.lastTerm) {
            commitIndex_ = snapshot->index;
            deliveredIndex_ = commitIndex_;
            snapshotToRestore_ = snapshot->data;
            log_.installSnapshot(std::move(*snapshot));
            encodedSnapshot_.clear();
            isSnapshotDirty_ = true;
            persistedIndex_ = 0;
            onMembershipChanged();
            response.kind = RaftMessageKind::AppendResponse;
            response.isGranted = true;
        }
    }
    queueMessage(std::move(response), message.from);
}

void RaftCore::onInstallSnapshotResponse(Instant now, const RaftMessage &message)
{
    FollowerProgress *progress = progressOf(message);
    if (progress == nullptr) {
        return;
    }
    const bool isInFlight = progress->inFlightRequestId == message.requestId;
    progress->recordResponse(message.requestId);
    if (!isInFlight || message.lastIndex != progress->snapshotIndex || message.chunkOffset > encodedSnapshot_.size()) {
        return;
    }
    progress->snapshotOffset = message.chunkOffset;
    sendAppend(now, message.from);
}

} // namespace daisyrelay
