// Consensus messages between the control VMs.
#pragma once

#include "daisyrelay/wire/raftstate.h"

namespace daisyrelay {

enum class RaftMessageKind : std::uint8_t {
    PreVote,
    PreVoteResponse,
    Vote,
    VoteResponse,
    Append,
    AppendResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Hello, ///< Sent after a start: asks whether the sender's disk lacks state that it acknowledged.
    HelloResponse,
};

/// How much consensus data a control VM holds.
enum class RaftDataStatus : std::uint8_t {
    Empty, ///< No data: either the first start ever or a lost disk.
    Bootstrapped, ///< The bootstrap membership, but no vote and no entry yet.
    Active, ///< A membership and a vote or entries.
};

/// A message between control VMs. Fields that a kind does not use are zero.
struct RaftMessage {
    RaftMessageKind kind = RaftMessageKind::Append;
    VmId from; ///< Sender.
    VmId to; ///< Receiver.
    std::uint64_t incarnation = 0; ///< Incarnation of the sender.
    Term term = 0; ///< Term of the sender. PreVote: the term of the election that would follow.
    /// Vote requests, Hello and HelloResponse: last log index of the sender. Append: index before the entries.
    /// InstallSnapshot: index of the snapshot. AppendResponse: highest matching index, or an earlier index to try next.
    std::uint64_t lastIndex = 0;
    Term lastTerm = 0; ///< Term of the entry at lastIndex.
    std::uint64_t commitIndex = 0; ///< Append: commit index of the leader.
    /// Vote responses: the vote is granted. AppendResponse: the entries are accepted. HelloResponse: the sender of the
    /// Hello has lost acknowledged state.
    bool isGranted = false;
    /// Responses repeat the id of their request, so that a delayed response confirms no later contact. Hello:
    /// identifies the start of the sender.
    std::uint64_t requestId = 0;
    RaftDataStatus dataStatus = RaftDataStatus::Empty; ///< Hello and HelloResponse: data that the sender holds.
    /// Append: entries after lastIndex. HelloResponse to a VM without data: the latest membership of the sender.
    std::vector<LogEntry> entries;
    /// InstallSnapshot: byte offset of this chunk. InstallSnapshotResponse: byte offset of the next chunk.
    std::uint64_t chunkOffset = 0;
    std::uint64_t snapshotBytes = 0; ///< InstallSnapshot: size of the whole encoded snapshot.
    std::string snapshotChunk; ///< InstallSnapshot: one chunk of an encoded RaftSnapshot.
    ZoneId zone; ///< Hello and HelloResponse: availability zone of the sender.
    bool isLeaderless = false; ///< HelloResponse: the sender neither leads nor follows a live leader.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, from, to, incarnation, term, lastIndex, lastTerm, commitIndex, isGranted, requestId, dataStatus,
            entries, chunkOffset, snapshotBytes, snapshotChunk, zone, isLeaderless);
    }
};

} // namespace daisyrelay
