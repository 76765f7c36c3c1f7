// The lease of this entry on the primaries, as granted by control.
#pragma once

#include "daisyrelay/base.h"
#include "daisyrelay/proxy/sentreports.h"
#include "daisyrelay/wire.h"

#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

/// Decides whether a primary may be sent statements and whether its responses may be delivered. A response counts only
/// if the lease is alive when it arrives, because the server may have been replaced otherwise.
///
/// Under FencingPolicy::Platform both are always allowed.
class PrimaryLease
{
public:
    explicit PrimaryLease(FencingPolicy policy);

    [[nodiscard]] FencingPolicy policy() const;

    /// Records that report \p sequence is being sent. Leases are counted from then.
    void recordReport(Instant now, std::uint64_t sequence);

    /// Extends the lease that was granted in response to report \p sequence. \returns false if the report is unknown or
    /// the lease already lasts longer.
    bool extend(std::uint64_t sequence, const LeaseDurations &durations);

    /// Applies the current withdrawals. A withdrawal that is not among them has ended, unless \p keepsOthers: the entry
    /// may not know the primary yet for which it has ended. \returns the services whose withdrawal is new.
    std::vector<ServiceId> setWithdrawn(const std::vector<PrimaryWithdrawal> &withdrawals, bool keepsOthers = false);

    /// Records that no exchange with the primary of \p service is in flight any more. \returns false unless this
    /// releases a withdrawn service for the first time.
    bool release(const ServiceId &service);

    /// Tells whether the longer lease, that on primaries in other availability zones, has not expired.
    [[nodiscard]] bool isAlive(Instant now) const;

    /// Tells whether the lease has not expired that applies to a primary. \p isOwnZone tells whether the primary is in
    /// the availability zone of this entry.
    [[nodiscard]] bool isAlive(Instant now, bool isOwnZone) const;

    /// Tells whether a statement may be sent to the primary of \p service.
    [[nodiscard]] bool canSend(Instant now, const ServiceId &service, bool isOwnZone) const;

    /// Tells whether a response of the primary of \p service that arrives at \p now is valid.
    [[nodiscard]] bool canDeliver(Instant now, const ServiceId &service, bool isOwnZone) const;

    [[nodiscard]] bool isWithdrawn(const ServiceId &service) const;

    /// Returns the withdrawn services that are not released yet.
    [[nodiscard]] std::vector<ServiceId> unreleased() const;

    /// Returns the releases to report to control.
    [[nodiscard]] std::vector<PrimaryWithdrawal> released() const;

private:
    struct Withdrawal {
        std::uint64_t id = 0;
        bool isReleased = false;
    };

    FencingPolicy policy_;
    std::optional<Instant> expiresAt_;
    std::optional<Instant> ownZoneExpiresAt_;
    SentReports sentReports_;
    std::map<ServiceId, Withdrawal> withdrawals_;
};

} // namespace daisyrelay
