// The entry's side of the lease protocol.
#pragma once

#include "daisyrelay/routing.h"
#include "daisyrelay/wire.h"

#include <map>
#include <set>
#include <vector>

namespace daisyrelay {

/// Renews the lease of one entry. Its duration counts from the time at which the request was sent.
class LeaseHolder
{
public:
    /// \p firstNonce must differ between runs of one VM, so that a grant to an earlier run renews nothing.
    LeaseHolder(VmId vm, ZoneId zone, std::vector<VmId> controlVms, std::uint64_t firstNonce = 1);

    /// A request and its receivers, which are empty if no request is due.
    struct Renewal {
        std::vector<VmId> to;
        LeaseRequest request;
    };

    /// \p releasing lists the databases to which this entry holds more connections than the table grants. \returns the
    /// renewal that is due at \p now.
    Renewal tick(Instant now, const std::vector<BackendView> &views, std::uint64_t configVersion,
        const std::vector<BackendId> &releasing = {});

    /// Applies a grant. \returns whether the lease or its table changed.
    bool onGrant(Instant now, const VmId &from, const LeaseGrant &grant);

    [[nodiscard]] const LeaseState &state() const;

private:
    void mergeTable(const LeaseTable &table);
    void dropExpiredLease(Instant now);

    VmId vm_;
    ZoneId zone_;
    std::vector<VmId> controlVms_;
    VmId leader_; ///< Control VM that sent the last grant.
    Instant grantedAt_ {};
    Instant renewAt_ {};
    std::set<BackendId> suspectBackends_; ///< Databases reported as failing in the last heartbeat.
    bool needsFullTable_ = false; ///< Shares were dropped with the lease; only a complete table restores them.
    std::uint64_t nextNonce_ = 1;
    std::map<std::uint64_t, Instant> sentAt_;
    LeaseState state_;
};

} // namespace daisyrelay
