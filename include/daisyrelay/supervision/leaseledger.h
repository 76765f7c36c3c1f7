// The leases on primaries that control has granted to entries, and their withdrawal before a promotion.
#pragma once

#include "daisyrelay/base.h"
#include "daisyrelay/supervision/leaseholdertable.h"
#include "daisyrelay/wire.h"

#include <functional>
#include <map>
#include <vector>

namespace daisyrelay {

/// Tells when no entry can use the primary of a service any more. An entry holds one lease, which covers the primaries
/// of all services except those that are withdrawn. A withdrawal is complete once each entry that held a lease when it
/// began has released the service, has restarted, or has let that lease expire.
///
/// Under FencingPolicy::Platform nothing is granted and each withdrawal is complete immediately.
class LeaseLedger
{
public:
    /// Tells whether an entry may have a connection to the primary of the service that is withdrawn.
    using CanUse = std::function<bool(const VmId &entry)>;

    LeaseLedger(FencingPolicy policy, LeaseDurations durations);

    [[nodiscard]] FencingPolicy policy() const;

    /// Called when this control VM becomes the leader. Former leaders may have granted leases until \p now to each
    /// entry of \p holders and, unless \p areHoldersComplete, to entries that are unknown to this leader.
    void reset(Instant now, const LeaseHolderTable &holders, bool areHoldersComplete);

    /// Grants or extends the lease of the run \p runId of \p entry in \p zone.
    /// \returns the durations, which the entry counts from the time at which it sent its report; zero if the policy
    /// needs no leases. An entry that may not tell its own zone apart counts with the longer duration for all
    /// primaries.
    LeaseDurations grant(
        Instant now, const VmId &entry, std::uint64_t runId, const ZoneId &zone, bool knowsOwnZone = true);

    /// Records the releases in a report of the run \p runId of \p entry. A release of another withdrawal is ignored.
    /// \returns the number of ignored releases.
    std::size_t recordReport(const VmId &entry, std::uint64_t runId, const std::vector<PrimaryWithdrawal> &released);

    /// Begins the withdrawal \p id of \p service, unless one is in progress. \p primaryZone is the availability zone of
    /// its primary; empty if unknown. Only entries for which \p canUse returns true are waited for.
    void withdraw(
        Instant now, const ServiceId &service, std::uint64_t id, const ZoneId &primaryZone, const CanUse &canUse);

    /// Ends the withdrawal of \p service; later grants cover it again.
    void restore(const ServiceId &service);

    [[nodiscard]] bool isWithdrawn(const ServiceId &service) const;

    /// Tells whether no entry can use the primary of \p service. Requires a withdrawal in progress.
    [[nodiscard]] bool isReleased(Instant now, const ServiceId &service) const;

    /// Returns the entries that a withdrawal still waits for; an empty name stands for unknown entries.
    [[nodiscard]] std::vector<VmId> outstanding(Instant now, const ServiceId &service) const;

    /// Returns when the last lease expires that a withdrawal still waits for; \p now if there is none.
    [[nodiscard]] Instant expiresAt(Instant now, const ServiceId &service) const;

    [[nodiscard]] std::vector<PrimaryWithdrawal> withdrawals() const;

private:
    struct Lease {
        std::uint64_t runId = 0; ///< Zero until the entry has reported to this leader.
        ZoneId zone; ///< Availability zone of the entry; empty if unknown.
        Instant expiresAt {};
        Instant ownZoneExpiresAt {};
    };

    /// A lease granted before a withdrawal and not released.
    struct Holder {
        std::uint64_t runId = 0;
        Instant expiresAt {};
    };

    struct Withdrawal {
        std::uint64_t id = 0;
        std::map<VmId, Holder> holders;
    };

    [[nodiscard]] Lease makeLease(Instant now, std::uint64_t runId, const ZoneId &zone) const;

    FencingPolicy policy_;
    LeaseDurations durations_;
    Instant unknownUntil_ {}; ///< Leases of unknown entries have expired by then.
    std::map<VmId, Lease> leases_;
    std::map<ServiceId, Withdrawal> withdrawals_;
};

} // namespace daisyrelay
