// State that the consensus among the control VMs replicates and stores: log entries, memberships, votes and snapshots.
#pragma once

#include "daisyrelay/base.h"

#include <optional>
#include <vector>

namespace daisyrelay {

enum class LogEntryKind : std::uint8_t {
    Command, ///< A command for the state machine, opaque to consensus.
    Membership, ///< An encoded Membership, effective as soon as it is appended.
};

/// One entry of the replicated log.
struct LogEntry {
    Term term = 0; ///< Term of the leader that created the entry.
    std::uint64_t index = 0;
    std::string command; ///< Payload; its format depends on kind.
    LogEntryKind kind = LogEntryKind::Command;

    bool operator==(const LogEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, index, command, kind);
    }
};

/// A member of the consensus. A control VM that has lost its disk rejoins with another incarnation, as a new member.
struct Member {
    VmId vm;
    std::uint64_t incarnation = 0;
    bool isVoter = false; ///< If false, the member is a learner: it receives the log but counts for no quorum.
    ZoneId zone; ///< Availability zone; empty if unknown.

    bool operator==(const Member &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(vm, incarnation, isVoter, zone);
    }
};

/// The members of the consensus, ordered by id.
struct Membership {
    std::vector<Member> members;

    bool operator==(const Membership &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(members);
    }
};

/// State that a control VM must store before it acknowledges a vote or term.
struct HardState {
    Term term = 0; ///< Latest known term.
    VmId votedFor; ///< Candidate that received this VM's vote in that term; empty if none did.
    std::uint64_t incarnation = 0; ///< Random; drawn at the first start with an empty data folder.
    /// Whether the incarnation replaced one that had lost acknowledged state and is not a member yet.
    bool isRejoining = false;

    bool operator==(const HardState &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, votedFor, incarnation, isRejoining);
    }
};

/// The encoded state machine at one index. Replaces all log entries up to that index.
struct RaftSnapshot {
    std::uint64_t index = 0;
    Term term = 0;
    Membership membership;
    std::string data; ///< Encoded state machine, opaque to consensus.

    bool operator==(const RaftSnapshot &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, term, membership, data);
    }
};

/// Changes that one synced write appends to the log file. They apply in the order of the fields.
struct LogRecord {
    std::optional<HardState> hardState; ///< New hard state, if it changed.
    std::optional<std::uint64_t> truncateFrom; ///< Removes stored entries from this index on.
    std::vector<LogEntry> entries; ///< Entries to append.

    bool operator==(const LogRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(hardState, truncateFrom, entries);
    }
};

} // namespace daisyrelay
