// What the consensus among the control VMs agrees on and stores: log entries, membership, votes and snapshots.
#pragma once

#include "daisyrelay/base.h"

#include <optional>
#include <vector>

namespace daisyrelay {

enum class LogEntryKind : std::uint8_t {
    Command, ///< Opaque to consensus.
    Membership, ///< An encoded Membership, in force from the moment it is appended.
};

/// One entry of the replicated log.
struct LogEntry {
    Term term = 0;
    std::uint64_t index = 0;
    std::string command;
    LogEntryKind kind = LogEntryKind::Command;

    bool operator==(const LogEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, index, command, kind);
    }
};

/// One control VM. A VM that lost its disk comes back with another incarnation and is then another member.
struct Member {
    VmId vm;
    std::uint64_t incarnation = 0;
    bool isVoter = false; ///< A learner receives the log but counts for no quorum.
    ZoneId zone; ///< Where it runs; empty if it did not say.

    bool operator==(const Member &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(vm, incarnation, isVoter, zone);
    }
};

/// The control VMs, ordered by id.
struct Membership {
    std::vector<Member> members;

    bool operator==(const Membership &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(members);
    }
};

/// What a control VM must remember about its own promises.
struct HardState {
    Term term = 0;
    VmId votedFor;
    std::uint64_t incarnation = 0; ///< Drawn at the first start with an empty data folder.
    bool isRejoining = false; ///< Whether the incarnation replaced one that had lost promises, and is no member yet.

    bool operator==(const HardState &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, votedFor, incarnation, isRejoining);
    }
};

/// The state machine at one index; stands for all log entries up to it.
struct RaftSnapshot {
    std::uint64_t index = 0;
    Term term = 0;
    Membership membership;
    std::string data; ///< Opaque to consensus.

    bool operator==(const RaftSnapshot &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, term, membership, data);
    }
};

/// What one synced write adds to the log file, in the order of the members.
struct LogRecord {
    std::optional<HardState> hardState;
    std::optional<std::uint64_t> truncateFrom; ///< Drops stored entries from this index on.
    std::vector<LogEntry> entries;

    bool operator==(const LogRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(hardState, truncateFrom, entries);
    }
};

} // namespace daisyrelay
