// What the leader knows of each entry, and how the connections to backend servers are divided among them.
#pragma once

#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/supervision/supervisiontiming.h"

#include <map>
#include <set>
#include <vector>

namespace daisyrelay {

/// One entry since the leader began to lead.
struct ReportingEntry {
    EntryReport report;
    Instant lastReportAt {};
    std::map<BackendId, std::uint32_t> granted; ///< The most that it may count on.
    std::uint64_t configSent = 0;
    std::uint64_t topologySent = 0;
    Instant configSentAt {};
    Instant topologySentAt {};
};

/// Divides the connections: an equal share for each entry, and what is left goes to those that ask for it.
///
/// Only the entry itself lowers what it counts on, so that the sum over all entries never exceeds the limit.
class EntryRegistry
{
public:
    explicit EntryRegistry(SupervisionTiming timing);

    void reset(Instant now);

    /// Takes in a report. \returns false if a later one of the same run is known.
    bool recordReport(Instant now, const VmId &entry, const EntryReport &report);

    /// Forgets entries that are gone.
    void removeExpired(Instant now);

    /// Returns the quotas of \p entry that have to change, and counts on raised ones from now on.
    std::vector<ConnectionQuota> grantQuotas(Instant now, const VmId &entry, const SupervisionState &state);

    /// Returns some entries other than \p entry that were heard lately, from different zones if there are.
    [[nodiscard]] std::vector<VmId> peersFor(Instant now, const VmId &entry) const;

    /// Chooses anew which entries are homes. \returns whether any changed.
    bool assignHomes(Instant now, const SupervisionState &state);

    [[nodiscard]] std::vector<BackendHomes> homes() const;
    [[nodiscard]] std::uint64_t homesVersion() const;

    /// Tells whether any entry proves that \p backend leads.
    [[nodiscard]] bool isConfirmedPrimary(Instant since, const ServiceId &service, const BackendId &backend) const;

    /// Tells whether most entries that were heard lately can not reach \p backend.
    [[nodiscard]] bool isUnreachableFromMost(Instant now, const ServiceId &service, const BackendId &backend) const;

    [[nodiscard]] std::map<VmId, ReportingEntry> &sessions();
    [[nodiscard]] Duration reportInterval() const;

private:
    [[nodiscard]] std::uint32_t claimedByOthers(
        const VmId &except, const BackendId &backend, std::uint32_t usable, bool isStartup);
    [[nodiscard]] std::uint32_t claimedBy(
        const VmId &entry, const ReportingEntry &session, const BackendId &backend, std::uint32_t usable) const;

    [[nodiscard]] std::uint32_t targetQuotaOf(
        const VmId &entry, const BackendId &backend, std::uint32_t usable, std::uint32_t requestedCount) const;
    [[nodiscard]] std::uint32_t shareOf(const VmId &entry, const BackendId &backend, std::uint32_t usable) const;

    SupervisionTiming timing_;
    [[nodiscard]] std::map<BackendId, std::vector<VmId>> chooseRelays(Instant now) const;

    std::map<BackendId, std::vector<VmId>> homes_;
    std::map<BackendId, std::vector<VmId>> relays_; ///< Entries that reach a primary which others do not.
    std::uint64_t homesVersion_ = 0;
    /// The sum of the claims of all entries on a backend server, as long as neither entries nor homes change.
    struct Total {
        std::uint32_t usable = 0;
        std::uint32_t claims = 0;
    };

    std::map<BackendId, Total> totals_;
    Instant leaderSince_ {};
    std::map<VmId, ReportingEntry> sessions_;
};

} // namespace daisyrelay
