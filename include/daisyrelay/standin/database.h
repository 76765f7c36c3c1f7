// State of one stand-in database: an ordered log of statements and the resulting key-value pairs.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisyrelay {

/// An entry in the log of a database.
struct DatabaseEntry {
    Term term = 0; ///< Term of the primary that wrote the entry.
    Position position = 0;
    std::string statement; ///< Statement to apply; empty for the entry that starts a term.
};

/// A replicated key-value database without clock or socket.
class Database
{
public:
    /// Executes "put KEY VALUE", "add KEY NUMBER" or "get KEY".
    /// \returns the result as JSON, or ErrorKind::StatementFailed for any other statement.
    Expected<std::string> executeStatement(const std::string &statement);

    /// Executes "get KEY". \returns the value as JSON, or ErrorKind::StatementFailed for any other statement.
    [[nodiscard]] Expected<std::string> executeRead(const std::string &statement) const;

    /// Makes this database the primary of \p term and starts the term with an entry of its own.
    /// \returns false if a higher term is known.
    bool becomePrimary(Term term);

    /// Makes this database a replica in \p term. \returns false if a higher term is known or it is the primary of \p
    /// term.
    bool becomeReplica(Term term);

    /// Returns at most \p maxEntries entries after \p from, or none if this log does not contain \p from.
    [[nodiscard]] std::vector<DatabaseEntry> entriesAfter(const LogPoint &from, std::size_t maxEntries) const;

    /// Whether this log has the entry at \p point, or \p point is before the first entry.
    [[nodiscard]] bool contains(const LogPoint &point) const;

    /// Appends entries of the primary and applies them. Entries that do not follow the last one are ignored.
    void appendEntries(const std::vector<DatabaseEntry> &entries);

    /// Removes the entries after \p position because the primary does not have them, and rebuilds the values.
    void truncateAfter(Position position);

    /// Records that the log is a prefix of the log of the primary of \p term.
    void advanceSyncedTerm(Term term);

    [[nodiscard]] bool isPrimary() const;
    [[nodiscard]] Term highestTerm() const; ///< Returns the highest known term.
    [[nodiscard]] Term syncedTerm() const; ///< Returns the latest term whose log has this log as a prefix.
    [[nodiscard]] LogPoint point() const; ///< Returns the term and position of the last entry.

private:
    void applyStatement(const std::string &statement);

    bool isPrimary_ = false;
    Term highestTerm_ = 0;
    Term syncedTerm_ = 0;
    std::vector<DatabaseEntry> log_;
    std::map<std::string, std::string> values_;
};

} // namespace daisyrelay
