// The part of the replicated log that a control VM holds in memory: the latest snapshot and the entries around and
// after it.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <optional>
#include <vector>

namespace daisyrelay {

/// Index 0 stands before the first entry and has term 0.
class RaftLog
{
public:
    RaftLog(RaftSnapshot snapshot, std::vector<LogEntry> entries);

    void append(LogEntry entry);

    /// Drops the entries from \p index on.
    void truncateFrom(std::uint64_t index);

    /// Makes \p data, the state machine at \p index, the snapshot and drops all but the last \p keep entries before it.
    void compact(std::uint64_t index, std::string data, std::size_t retainedEntries);

    /// Puts a leader's snapshot in place of everything up to its index, and of what follows unless it is known to
    /// match.
    void installSnapshot(RaftSnapshot snapshot);

    /// \returns no value for an index that is compacted or not there yet.
    [[nodiscard]] std::optional<Term> termAt(std::uint64_t index) const;

    /// Returns entries from \p from on, at most \p maxEntries and, after the first, at most \p maxBytes.
    [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t from, std::size_t maxEntries, std::size_t maxBytes) const;

    [[nodiscard]] const LogEntry &at(std::uint64_t index) const;
    [[nodiscard]] std::uint64_t firstIndex() const; ///< Of the entries held; lastIndex() + 1 if there are none.
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] LogPoint lastPoint() const; ///< Term and index of the last entry.
    [[nodiscard]] const RaftSnapshot &snapshot() const;
    [[nodiscard]] std::size_t bytesAfterSnapshot() const;

    /// Returns the latest membership, committed or not.
    [[nodiscard]] const Membership &membership() const;
    [[nodiscard]] std::uint64_t membershipIndex() const;

private:
    [[nodiscard]] Membership membershipAt(std::uint64_t index) const;
    void updateMembership();

    RaftSnapshot snapshot_;
    std::uint64_t baseIndex_ = 0; ///< The index before the first entry held.
    Term baseTerm_ = 0;
    std::deque<LogEntry> entries_;
    std::size_t bytesAfterSnapshot_ = 0;
    Membership membership_;
    std::uint64_t membershipIndex_ = 0;
};

} // namespace daisyrelay
