// Chooses the home of each database and divides its connections between the entries.
#pragma once

#include "daisyrelay/control/entrysessions.h"
#include "daisyrelay/control/leasetables.h"
#include "daisyrelay/control/shareledger.h"

namespace daisyrelay {

/// Keeps, for each database, the sum of all shares within the connections that it announced.
///
/// The registered entries in the availability zone of the database hold a fixed share each, which they keep without a
/// lease; the rest is leased to the home. A share grows only by what the ledger shows to be free.
class HomeAssigner
{
public:
    /// Forgets everything. The homes of the former leader stay in force until collectLeases() succeeds.
    void reset();

    /// \returns whether every entry has told what it holds, or has no lease; assign() must wait for that.
    bool collectLeases(Instant now, const std::map<VmId, ZoneId> &registered, const EntrySessions &sessions);

    [[nodiscard]] bool hasCollectedLeases() const;

    /// The entry applies the table of \p version, but for the databases in \p releasing.
    void confirmTable(const VmId &entry, std::uint64_t version, const std::vector<BackendId> &releasing);

    /// Updates the home and the shares of one database. \returns whether the table changed.
    bool assign(Instant now, const BackendAnnouncement &announcement, const std::map<VmId, ZoneId> &registered,
        const EntrySessions &sessions, LeaseTables &tables);

    /// Frees everything that was granted to an entry that is no longer registered.
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
    void learnShares(Instant now, Shares &shares, const BackendAnnouncement &announcement,
        const std::map<VmId, ZoneId> &registered, const EntrySessions &sessions);

    std::map<BackendId, Shares> shares_;
    std::map<VmId, std::size_t> homeCounts_;
    bool areLeasesCollected_ = false;
};

} // namespace daisyrelay
