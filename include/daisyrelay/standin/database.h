// The state of one stand-in database: an ordered log of statements and the values that it makes.
#pragma once

#include "daisyrelay/base.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisyrelay {

/// One entry of the database's log.
struct DatabaseEntry {
    Term term = 0;
    Position position = 0;
    std::string statement; ///< Empty for the entry that starts a term.
};

/// Holds no clock and no socket.
class Database
{
public:
    /// Runs "put KEY VALUE", "add KEY NUMBER" or "get KEY". \returns the result as JSON.
    Expected<std::string> executeStatement(const std::string &statement);

    /// Runs a read-only statement.
    [[nodiscard]] Expected<std::string> executeRead(const std::string &statement) const;

    /// Makes this database the primary of \p term. \returns false if a higher term is known.
    bool becomePrimary(Term term);

    /// Makes this database a replica in \p term. \returns false if a higher term is known.
    bool becomeReplica(Term term);

    /// Returns the entries after \p from, at most \p maxEntries; empty if \p from does not match this log.
    [[nodiscard]] std::vector<DatabaseEntry> entriesAfter(const LogPoint &from, std::size_t maxEntries) const;

    /// Whether this log holds \p point.
    [[nodiscard]] bool contains(const LogPoint &point) const;

    /// Appends entries of the primary.
    void appendEntries(const std::vector<DatabaseEntry> &entries);

    /// Drops the entries after \p position, which the primary does not have.
    void truncateAfter(Position position);

    /// The replica's log is a prefix of the log of the primary of \p term.
    void advanceSyncedTerm(Term term);

    [[nodiscard]] bool isPrimary() const;
    [[nodiscard]] Term highestTerm() const; ///< The highest term heard of.
    [[nodiscard]] Term syncedTerm() const; ///< The term whose log this one is a prefix of.
    [[nodiscard]] LogPoint point() const; ///< Term and position of the last entry.

private:
    void applyStatement(const std::string &statement);

    bool isPrimary_ = false;
    Term highestTerm_ = 0;
    Term syncedTerm_ = 0;
    std::vector<DatabaseEntry> log_;
    std::map<std::string, std::string> values_;
};

} // namespace daisyrelay
