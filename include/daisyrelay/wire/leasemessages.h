// Messages about the lease between an entry and the control VMs. An entry holds one lease, which covers the group terms
// and the home grants of the last LeaseTable that it received.
#pragma once

#include "daisyrelay/base.h"

#include <vector>

namespace daisyrelay {

/// Maximum number of term starts that a group remembers.
constexpr std::size_t MaxTermStarts = 16;

/// The database that may acknowledge writes of a group.
struct GroupTerm {
    GroupKey group;
    Term term = 0;
    BackendId primary; ///< Empty while the group has no primary.
    Position startPosition = 0; ///< Position at which the term began; positions from there on in older terms are lost.
    std::vector<LogPoint> starts; ///< Start of each of the latest terms, oldest first; at most MaxTermStarts.
    std::vector<BackendId> members; ///< Databases whose copies count for an acknowledgment, ordered.

    bool operator==(const GroupTerm &) const = default;

    /// Tells whether the data that a session saw at \p point is missing in the current term. A point in a term older
    /// than the history counts as lost, because a session must never silently read older data.
    [[nodiscard]] bool isLost(const LogPoint &point) const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, term, primary, startPosition, starts, members);
    }
};

/// Makes an entry the home of a database: only the home uses the leased part of the connections.
struct HomeGrant {
    BackendId backend;
    VmId entry; ///< Empty while the database has no home.
    std::uint32_t leasedConnections = 0; ///< For the home only, in addition to its fixed share.
    std::uint32_t fixedConnections = 0; ///< For the receiver of the table, also without a live lease.

    bool operator==(const HomeGrant &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, entry, leasedConnections, fixedConnections);
    }
};

/// The contents of a lease. A table sent to an entry has only the changes since \c baseVersion.
struct LeaseTable {
    Term leaderTerm = 0; ///< Consensus term of the control VM that made the table.
    std::uint64_t version = 0; ///< Orders the tables of one leader.
    /// Zero for a complete table; otherwise the table has the terms and homes that changed after this version.
    std::uint64_t baseVersion = 0;
    /// The homes of the former leader stay in force because this leader has not collected all leases yet.
    bool keepsPreviousHomes = false;
    std::vector<GroupTerm> terms;
    std::vector<HomeGrant> homes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(leaderTerm, version, baseVersion, keepsPreviousHomes, terms, homes);
    }
};

/// An entry's view of a backend server.
struct BackendView {
    BackendId backend;
    bool isReachable = true;
    std::uint32_t stalledMs = 0; ///< Age of the oldest statement without a response.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, isReachable, stalledMs);
    }
};

/// The heartbeat of an entry: renews its lease, confirms the applied table and reports failing databases.
struct LeaseRequest {
    VmId entry;
    ZoneId zone;
    std::uint64_t nonce = 0; ///< Identifies the request, so that the lease counts from the time it was sent.
    Term tableLeaderTerm = 0;
    std::uint64_t tableVersion = 0;
    bool needsFullTable = false; ///< The entry dropped rows when its lease expired.
    std::uint64_t configVersion = 0;
    /// Shares of the entry, which a new leader collects while it keeps the previous homes.
    std::vector<HomeGrant> homes;
    /// Databases to which the entry still holds more connections than the table grants.
    std::vector<BackendId> releasing;
    std::vector<BackendView> views; ///< Only the databases that appear to fail.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(
            entry, zone, nonce, tableLeaderTerm, tableVersion, needsFullTable, configVersion, homes, releasing, views);
    }
};

/// The leader's response. A grant with nonce zero sends a new table without extending the lease.
struct LeaseGrant {
    std::uint64_t nonce = 0;
    std::uint32_t durationMs = 0;
    LeaseTable table;
    std::uint64_t configVersion = 0;
    std::string configJson; ///< Empty if the entry already has this version.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(nonce, durationMs, table, configVersion, configJson);
    }
};

} // namespace daisyrelay
