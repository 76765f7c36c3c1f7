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
    Expected<std::string> execute(const std::string &statement);

    /// Runs a read-only statement.
    [[nodiscard]] Expected<std::string> read(const std::string &statement) const;

    /// Makes this database the primary of \p term. \returns false if a higher term is known.
    bool promote(Term term);

    /// Makes this database a replica in \p term. \returns false if a higher term is known.
    bool follow(Term term);

    /// Returns the entries after \p from, at most \p most; empty if \p from does not match this log.
    [[nodiscard]] std::vector<DatabaseEntry> entriesAfter(const LogPoint &from, std::size_t most) const;

    /// Whether this log holds \p point.
    [[nodiscard]] bool holds(const LogPoint &point) const;

    /// Appends entries of the primary.
    void append(const std::vector<DatabaseEntry> &entries);

    /// Drops the entries after \p position, which the primary does not have.
    void truncate(Position position);

    /// The replica's log is a prefix of the log of the primary of \p term.
    void joined(Term term);

    [[nodiscard]] bool isPrimary() const;
    [[nodiscard]] Term knownTerm() const; ///< The highest term heard of.
    [[nodiscard]] Term joinedTerm() const; ///< The term whose log this one is a prefix of.
    [[nodiscard]] LogPoint point() const; ///< Term and position of the last entry.

private:
    void apply(const std::string &statement);

    bool primary_ = false;
    Term knownTerm_ = 0;
    Term joinedTerm_ = 0;
    std::vector<DatabaseEntry> log_;
    std::map<std::string, std::string> values_;
};

} // namespace daisyrelay
