// Chooses the home of each database and divides its connections among the entries.
#pragma once

#include "daisyrelay/control/entrysessions.h"
#include "daisyrelay/control/leasetables.h"
#include "daisyrelay/control/shareledger.h"

namespace daisyrelay {

/// Keeps the sum of all shares of a database within the connection limit that it announced.
///
/// The registered entries in the availability zone of the database hold a fixed share each, which they keep without a
/// lease. The home leases the rest. A share grows only by connections that are free according to the ledger.
class HomeAssigner
{
public:
    /// Removes all shares. The homes of the former leader stay in force until collectLeases() succeeds.
    void reset();

    /// \returns whether every entry has reported its shares or has no lease any more; assign() requires this.
    bool collectLeases(Instant now, const std::map<VmId, ZoneId> &registered, const EntrySessions &sessions);

    [[nodiscard]] bool hasCollectedLeases() const;

    /// Records that \p entry applies the table of \p version, except for the databases in \p releasing.
    void confirmTable(const VmId &entry, std::uint64_t version, const std::vector<BackendId> &releasing);

    /// Updates the home and the shares of one database. \returns whether the table changed.
    bool assign(Instant now, const BackendAnnouncement &announcement, const std::map<VmId, ZoneId> &registered,
        const EntrySessions &sessions, LeaseTables &tables);

    /// Frees all shares of an entry that is no longer registered.
    void removeEntry(const VmId &entry);

private:
    struct Shares {
        ShareLedger ledger;
        VmId home;
    };

    void endLeases(Instant now, Shares &shares, const EntrySessions &sessions);
    void chooseHome(
        Instant now, Shares &shares, const BackendAnnouncement &announcement, const EntrySessions &sessions);
    void setHome(Shares &shares, const VmId &home);
    static std::map<VmId, std::uint32_t> targetFixedShares(
        const BackendAnnouncement &announcement, std::uint32_t capacity, const std::map<VmId, ZoneId> &registered);
    static void shrink(Shares &shares, std::uint64_t version, const std::map<VmId, std::uint32_t> &targetFixed,
        std::uint32_t targetLeased);
    static bool mayLease(Instant now, const Shares &shares, const BackendId &backend, const EntrySessions &sessions);
    void restoreShares(Instant now, Shares &shares, const BackendAnnouncement &announcement,
        const std::map<VmId, ZoneId> &registered, const EntrySessions &sessions);

    std::map<BackendId, Shares> shares_;
    std::map<VmId, std::size_t> homeCounts_;
    bool areLeasesCollected_ = false;
};

} // namespace daisyrelay
