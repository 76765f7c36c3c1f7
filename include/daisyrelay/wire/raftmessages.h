// Messages of the consensus among the control VMs.
#pragma once

#include "daisyrelay/wire/raftstate.h"

namespace daisyrelay {

enum class RaftMessageKind : std::uint8_t {
    PreVote,
    PreVoteAnswer,
    Vote,
    VoteAnswer,
    Append,
    AppendAnswer,
    InstallSnapshot,
    InstallSnapshotAnswer,
    Hello, ///< A VM that has started asks what the others know about it.
    HelloAnswer,
};

/// How much of the cluster's past a control VM holds.
enum class RaftStanding : std::uint8_t {
    Empty, ///< Nothing: the first start ever, or a lost disk.
    Genesis, ///< The first membership, but no vote and no entry yet.
    Live,
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
    std::uint64_t commit = 0;
    bool granted = false; ///< Votes: granted. Append answers: accepted. HelloAnswer: the asker lost what it stored.
    std::uint64_t round = 0; ///< Answers repeat the number of what they answer, so that delayed ones prove nothing new.
    RaftStanding standing = RaftStanding::Empty;
    std::vector<LogEntry> entries;
    std::uint64_t offset = 0; ///< InstallSnapshot: of this chunk. Its answer: of the next chunk wanted.
    std::uint64_t total = 0; ///< InstallSnapshot: bytes of the whole encoded snapshot.
    std::string snapshot; ///< One chunk of an encoded RaftSnapshot.
    ZoneId zone; ///< Hello and its answer: where the sender runs.
    bool leaderless = false; ///< HelloAnswer: the sender neither leads nor follows a live leader.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, from, to, incarnation, term, lastIndex, lastTerm, commit, granted, round, standing, entries,
            offset, total, snapshot, zone, leaderless);
    }
};

} // namespace daisyrelay
