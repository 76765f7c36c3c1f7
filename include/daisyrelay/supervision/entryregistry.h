// The last report of each entry, and the division of the connections to backend servers among the entries.
#pragma once

#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/supervision/supervisiontiming.h"

#include <map>
#include <set>
#include <vector>

namespace daisyrelay {

/// An entry that has reported since this control VM became leader.
struct ReportingEntry {
    EntryReport report;
    Instant lastReportAt {};
    /// Maximum number of connections to each backend server that the entry may use.
    std::map<BackendId, std::uint32_t> granted;
    std::set<BackendId> homeOf; ///< Backend servers for which the entry is a home.
    std::uint64_t configSent = 0; ///< Version of the last configuration that was sent to the entry.
    bool isWholeConfigSent = false; ///< Whether that configuration was sent whole because the entry asked for it.
    std::uint64_t topologySent = 0; ///< Index of the last topology that was sent to the entry.
    Instant topologySentAt {};
    bool mayHoldLease = false; ///< The entry is registered as a lease holder.
};

/// Returns the number of connections to a backend server that entries may share; at least one.
[[nodiscard]] std::uint32_t usableConnections(const ServiceLimits &limits);

/// Assigns each entry an equal share of the connections and gives unused connections to the entries that request more.
///
/// Only a report of the entry itself lowers the count that is held against it, so the sum over all entries never
/// exceeds the limit.
class EntryRegistry
{
public:
    explicit EntryRegistry(SupervisionTiming timing);

    /// Discards all entries, homes and relays. Called when this control VM becomes the leader of \p term, which orders
    /// the versions of homes of different leaders.
    void reset(Instant now, Term term = 1);

    /// Records the report of \p entry. \returns false if a later report of the same run is known.
    bool recordReport(Instant now, const VmId &entry, const EntryReport &report);

    /// Removes entries that have not reported within SupervisionTiming::entryExpiry.
    void removeExpired(Instant now);

    /// Returns the quotas of \p entry that have to change. A raised quota is held against the entry immediately.
    std::vector<ConnectionQuota> grantQuotas(Instant now, const VmId &entry, const SupervisionState &state);

    /// Returns other entries that reported recently, a few from each zone.
    [[nodiscard]] std::vector<VmId> peersFor(Instant now, const VmId &entry) const;

    /// Reassigns the homes of backend servers and the relays of primaries. \returns whether any of them changed.
    bool assignHomes(Instant now, const SupervisionState &state);

    /// Returns the homes that an entry with the homes of \p knownVersion lacks, oldest changes first and at most
    /// MaxHomesPerUpdate of them. The reply is empty if it lacks none.
    [[nodiscard]] HomesUpdate homesSince(std::uint64_t knownVersion) const;
    [[nodiscard]] std::uint64_t homesVersion() const;

    /// Tells whether \p entry may have connections to \p backend.
    [[nodiscard]] bool mayConnect(const VmId &entry, const BackendId &backend) const;

    /// Tells whether any report since \p since confirms that \p backend is the primary of \p service.
    [[nodiscard]] bool isConfirmedPrimary(Instant since, const ServiceId &service, const BackendId &backend) const;

    /// Tells whether the last report of any entry could not reach \p backend.
    [[nodiscard]] bool isReportedUnreachable(const ServiceId &service, const BackendId &backend) const;

    /// Tells whether more than half of the entries that reported recently cannot reach \p backend.
    [[nodiscard]] bool isUnreachableFromMost(Instant now, const ServiceId &service, const BackendId &backend) const;

    [[nodiscard]] std::map<VmId, ReportingEntry> &sessions();
    /// Returns the interval between two reports of an entry, which grows with the number of entries.
    [[nodiscard]] Duration reportInterval() const;

private:
    /// Returns the number of connections to \p backend that all entries but \p except may use or have a share of.
    [[nodiscard]] std::uint32_t claimedByOthers(
        const VmId &except, const BackendId &backend, std::uint32_t usable, bool isStartup);
    /// Returns the larger of the entry's share and its granted quota.
    [[nodiscard]] std::uint32_t claimedBy(
        const VmId &entry, const ReportingEntry &session, const BackendId &backend, std::uint32_t usable) const;

    [[nodiscard]] std::uint32_t targetQuotaOf(
        const VmId &entry, const BackendId &backend, std::uint32_t usable, std::uint32_t requestedCount) const;
    [[nodiscard]] std::uint32_t shareOf(const VmId &entry, const BackendId &backend, std::uint32_t usable) const;

    /// What entries have reported about one primary.
    struct PrimaryEvidence {
        Instant confirmedAt {}; ///< Time of the last report that confirmed the role.
        std::set<VmId> unreachableFrom; ///< Entries whose last report could not reach the server.
    };

    void setGranted(const VmId &entry, ReportingEntry &session, const BackendId &backend, std::uint32_t connections);
    void recordEvidence(Instant now, const VmId &entry, const EntryReport &report);
    void forgetEvidence(const VmId &entry, const EntryReport &report);
    /// Returns whether entries still have the homes of a former leader and this one has assigned none.
    [[nodiscard]] bool isAwaitingHomes(Instant now) const;
    [[nodiscard]] bool isAvailable(Instant now, const VmId &entry) const;
    /// Servers with the same homes. An entry that commits at a primary also asks its replicas for receipts, so that the
    /// servers of a service with synchronous replicas share their homes, whichever of them becomes the primary.
    struct HomeGroup {
        std::vector<const BackendRecord *> backends;
        const BackendRecord *anchor = nullptr; ///< Homes are chosen near this server.
        std::size_t homeCount = HomesPerBackend; ///< Fewer if there are fewer connections.
        bool isShared = false; ///< The homes lie in different zones, so that a lost zone leaves one of them.
    };

    /// Returns the servers whose connections are too scarce for all entries.
    [[nodiscard]] std::vector<HomeGroup> groupsWithHomes(const SupervisionState &state) const;
    /// Returns the homes that the servers of \p group have, or none unless all of these are available and the same for
    /// each server that has any.
    [[nodiscard]] std::vector<VmId> currentHomes(Instant now, const HomeGroup &group) const;
    /// Returns up to HomeGroup::homeCount entries.
    [[nodiscard]] std::vector<VmId> chooseHomes(Instant now, const HomeGroup &group,
        const std::map<BackendId, std::vector<VmId>> &holders, const std::map<ZoneId, std::vector<VmId>> &byZone,
        const std::map<VmId, std::size_t> &homeCounts) const;
    void replaceHomes(Instant now, std::map<BackendId, std::vector<VmId>> homes);
    [[nodiscard]] std::map<BackendId, std::vector<VmId>> chooseRelays(Instant now) const;

    SupervisionTiming timing_;
    std::map<std::pair<ServiceId, BackendId>, PrimaryEvidence> evidence_;
    std::map<BackendId, std::vector<VmId>> homes_;
    std::map<BackendId, std::vector<VmId>> relays_; ///< Entries that reach a primary which other entries cannot reach.
    std::uint64_t homesVersion_ = 0;
    /// Version of the last change of each server's homes and relays; a server without any has an entry, too.
    std::map<BackendId, std::uint64_t> homesChangedAt_;
    std::uint64_t firstHomesVersion_ = 0; ///< Entries with older homes have those of another leader.
    /// Caches the sum of the claims of all entries on a backend server. Valid while entries and homes stay the same.
    struct Total {
        std::uint32_t usable = 0;
        std::uint32_t claims = 0;
    };

    std::map<BackendId, Total> totals_;
    Instant leaderSince_ {};
    std::map<VmId, ReportingEntry> sessions_;
};

} // namespace daisyrelay
