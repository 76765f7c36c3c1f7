// An entry's side of its lease with control.
#pragma once

#include "daisyrelay/routing.h"
#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// Renews the lease and counts it from the moment at which the request was sent.
class LeaseHolder
{
public:
    LeaseHolder(VmId vm, ZoneId zone, std::vector<VmId> controlVms);

    /// A request and the control VMs that it goes to; empty if none is due.
    struct Renewal {
        std::vector<VmId> to;
        LeaseRequest request;
    };

    /// \returns the renewal that is due at \p now.
    Renewal tick(Instant now, const std::vector<BackendView> &views, std::uint64_t configVersion);

    /// Takes in a grant. \returns whether the lease or its table changed.
    bool onGrant(Instant now, const VmId &from, const LeaseGrant &grant);

    [[nodiscard]] const LeaseState &state() const;

private:
    VmId vm_;
    ZoneId zone_;
    std::vector<VmId> controlVms_;
    VmId leader_; ///< The control VM that granted last.
    Instant grantedAt_ {};
    Instant renewAt_ {};
    std::uint64_t nextNonce_ = 1;
    std::map<std::uint64_t, Instant> sent_;
    LeaseState state_;
};

} // namespace daisyrelay
