// Messages of the consensus among the control VMs.
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
    Hello, ///< A VM that has started asks what the others know about it.
    HelloResponse,
};

/// How much of the cluster's past a control VM holds.
enum class RaftDataStatus : std::uint8_t {
    Empty, ///< Nothing: the first start ever, or a lost disk.
    Bootstrapped, ///< The first membership, but no vote and no entry yet.
    Active,
};

/// One message between control VMs; the fields that a kind does not use stay zero.
struct RaftMessage {
    RaftMessageKind kind = RaftMessageKind::Append;
    VmId from;
    VmId to;
    std::uint64_t incarnation = 0; ///< Of the sender.
    Term term = 0; ///< PreVote: the term that the sender would stand in.
    std::uint64_t lastIndex = 0; ///< Votes, Hello: last log index. Append: index before the entries. Answers: match.
    Term lastTerm = 0; ///< Belongs to lastIndex.
    std::uint64_t commitIndex = 0;
    bool granted = false; ///< Votes: granted. Append answers: accepted. HelloResponse: the asker lost what it stored.
    std::uint64_t requestId
        = 0; ///< Answers repeat the number of what they answer, so that delayed ones prove nothing new.
    RaftDataStatus dataStatus = RaftDataStatus::Empty;
    std::vector<LogEntry> entries;
    std::uint64_t chunkOffset = 0; ///< InstallSnapshot: of this chunk. Its answer: of the next chunk wanted.
    std::uint64_t snapshotBytes = 0; ///< InstallSnapshot: bytes of the whole encoded snapshot.
    std::string snapshotChunk; ///< One chunk of an encoded RaftSnapshot.
    ZoneId zone; ///< Hello and its answer: where the sender runs.
    bool isLeaderless = false; ///< HelloResponse: the sender neither leads nor follows a live leader.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, from, to, incarnation, term, lastIndex, lastTerm, commitIndex, granted, requestId, dataStatus,
            entries, chunkOffset, snapshotBytes, snapshotChunk, zone, isLeaderless);
    }
};

} // namespace daisyrelay
