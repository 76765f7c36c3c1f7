// Messages of the lease between an entry and the control VMs. An entry holds one lease, which covers the group terms
// and the home grants of the last LeaseTable that it was told of.
#pragma once

#include "daisyrelay/base.h"

#include <vector>

namespace daisyrelay {

/// How many beginnings of terms a group remembers.
constexpr std::size_t MaxTermStarts = 16;

/// Which database may acknowledge writes of a group.
struct GroupTerm {
    GroupKey group;
    Term term = 0;
    BackendId primary; ///< Empty while the group has no primary.
    Position startPosition = 0; ///< Where the term began; positions of older terms from there on are lost.
    std::vector<LogPoint> starts; ///< Where each of the latest terms began, oldest first; at most MaxTermStarts.
    std::vector<BackendId> members; ///< The databases whose copy counts for an acknowledgment, ordered.

    bool operator==(const GroupTerm &) const = default;

    /// Tells whether what a session saw at \p point is gone from the current term. A point of a term that is older
    /// than the history counts as lost, since a reader must never be served older data silently.
    [[nodiscard]] bool isLost(const LogPoint &point) const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, term, primary, startPosition, starts, members);
    }
};

/// Makes one entry the home of a database: the only one that uses the leased part of its connections.
struct HomeGrant {
    BackendId backend;
    VmId entry; ///< Empty while the database has no home.
    std::uint32_t leasedConnections = 0; ///< For the home alone, beside its fixed share.
    std::uint32_t fixedConnections = 0; ///< For the entry that the table was sent to, also without a live lease.

    bool operator==(const HomeGrant &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, entry, leasedConnections, fixedConnections);
    }
};

/// Everything that a lease covers. On its way to an entry it holds only what changed since \c baseVersion.
struct LeaseTable {
    Term leaderTerm = 0; ///< Consensus term of the control VM that made the table.
    std::uint64_t version = 0; ///< Order of the tables of one leader.
    std::uint64_t baseVersion = 0; ///< Zero: complete. Else terms and homes that changed after this version.
    bool keepsPreviousHomes
        = false; ///< The homes of the former leader stay as they are, until this one has learned them.
    std::vector<GroupTerm> terms;
    std::vector<HomeGrant> homes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(leaderTerm, version, baseVersion, keepsPreviousHomes, terms, homes);
    }
};

/// How one entry sees a backend server.
struct BackendView {
    BackendId backend;
    bool reachable = true;
    std::uint32_t stalledMs = 0; ///< Age of the oldest unanswered statement.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, reachable, stalledMs);
    }
};

/// An entry's heartbeat: renews its lease, confirms the table that it applies, and reports what it sees.
struct LeaseRequest {
    VmId entry;
    ZoneId zone;
    std::uint64_t nonce = 0; ///< Names the request, so that the grant is counted from its sending.
    Term tableLeaderTerm = 0;
    std::uint64_t tableVersion = 0;
    bool needsFullTable = false; ///< The entry dropped rows when its lease ran out.
    std::uint64_t configVersion = 0;
    std::vector<HomeGrant> homes; ///< Shares that the entry holds, for a new leader to learn while it keeps homes.
    std::vector<BackendId> releasing; ///< Databases of which it still holds more connections than the table grants.
    std::vector<BackendView> views; ///< Only of the databases that look bad.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(
            entry, zone, nonce, tableLeaderTerm, tableVersion, needsFullTable, configVersion, homes, releasing, views);
    }
};

/// The leader's answer. Nonce zero pushes a new table without extending the lease.
struct LeaseGrant {
    std::uint64_t nonce = 0;
    std::uint32_t durationMs = 0;
    LeaseTable table;
    std::uint64_t configVersion = 0;
    std::string configJson; ///< Empty if the entry has this version already.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(nonce, durationMs, table, configVersion, configJson);
    }
};

} // namespace daisyrelay
