// The part of the replicated log that a control VM keeps in memory: the latest snapshot, the entries after it and some
// entries before it.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <optional>
#include <vector>

namespace daisyrelay {

/// In-memory log with compaction. Index 0 precedes the first entry and has term 0.
class RaftLog
{
public:
    RaftLog(RaftSnapshot snapshot, std::vector<LogEntry> entries);

    /// Appends \p entry, whose index must be lastIndex() + 1.
    void append(LogEntry entry);

    /// Removes all entries from \p index on. The index must be after the snapshot.
    void truncateFrom(std::uint64_t index);

    /// Replaces the snapshot with \p data, the encoded state machine at \p index. Keeps the last \p retainedEntries
    /// entries up to \p index for followers that are slightly behind.
    void compact(std::uint64_t index, std::string data, std::size_t retainedEntries);

    /// Replaces all entries up to the index of a leader's snapshot. Later entries are kept only if the entry at that
    /// index has the term of the snapshot.
    void installSnapshot(RaftSnapshot snapshot);

    /// \returns the term of the entry at \p index, or no value if the entry is compacted or beyond the end of the log.
    [[nodiscard]] std::optional<Term> termAt(std::uint64_t index) const;

    /// Returns up to \p maxEntries entries starting at index \p from. Entries after the first are included only while
    /// the commands take at most \p maxBytes in total.
    [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t from, std::size_t maxEntries, std::size_t maxBytes) const;

    /// Returns the entry at \p index, which must be in memory.
    [[nodiscard]] const LogEntry &at(std::uint64_t index) const;
    /// Returns the index of the first entry in memory, or lastIndex() + 1 if there is none.
    [[nodiscard]] std::uint64_t firstIndex() const;
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] LogPoint lastPoint() const; ///< Returns the term and index of the last entry.
    [[nodiscard]] const RaftSnapshot &snapshot() const;
    [[nodiscard]] std::size_t bytesAfterSnapshot() const; ///< Returns the size of all commands after the snapshot.

    /// Returns the latest membership, whether or not it is committed.
    [[nodiscard]] const Membership &membership() const;
    /// Returns the index of the entry or snapshot that holds the latest membership.
    [[nodiscard]] std::uint64_t membershipIndex() const;

private:
    [[nodiscard]] Membership membershipAt(std::uint64_t index) const;
    void updateMembership();

    RaftSnapshot snapshot_;
    std::uint64_t baseIndex_ = 0; ///< Index before the first entry in memory.
    Term baseTerm_ = 0; ///< Term of the entry at baseIndex_.
    std::deque<LogEntry> entries_; ///< Entries from baseIndex_ + 1 on.
    std::size_t bytesAfterSnapshot_ = 0;
    Membership membership_;
    std::uint64_t membershipIndex_ = 0;
};

} // namespace daisyrelay
