// Messages of the consensus among the control VMs.
#pragma once

#include "daisyrelay/base.h"

#include <vector>

namespace daisyrelay {

/// One entry of the replicated log; the command is opaque to consensus.
struct LogEntry {
    Term term = 0;
    std::uint64_t index = 0;
    std::string command;

    bool operator==(const LogEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, index, command);
    }
};

enum class RaftMessageKind : std::uint8_t {
    PreVote,
    PreVoteAnswer,
    Vote,
    VoteAnswer,
    Append,
    AppendAnswer,
    InstallSnapshot,
    InstallSnapshotAnswer,
};

/// One message between control VMs; the fields that a kind does not use stay zero.
struct RaftMessage {
    RaftMessageKind kind = RaftMessageKind::Append;
    VmId from;
    VmId to;
    Term term = 0;
    std::uint64_t lastIndex = 0; ///< Votes: last log index. Append: index before the entries. Answers: match index.
    Term lastTerm = 0; ///< Votes: last log term. Append: term before the entries.
    std::uint64_t commit = 0;
    bool granted = false; ///< Votes: granted. Append answers: accepted.
    std::uint64_t round = 0; ///< Numbers heartbeats, for read index and the leader lease.
    std::vector<LogEntry> entries;
    std::string snapshot;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, from, to, term, lastIndex, lastTerm, commit, granted, round, entries, snapshot);
    }
};

} // namespace daisyrelay
