#include "daisyrelay/routing/leasestate.h"

#include <algorithm>

namespace daisyrelay {

bool LeaseState::isValidAt(Instant now) const
{
    return now < validUntil;
}

const GroupTerm *LeaseState::findTerm(const GroupKey &group) const
{
    const auto found = std::find_if(
        table.terms.begin(), table.terms.end(), [&group](const GroupTerm &term) { return term.group == group; });
    return found == table.terms.end() ? nullptr : &*found;
}

const HomeGrant *LeaseState::findGrant(const BackendId &backend) const
{
    const auto found = std::find_if(table.homes.begin(), table.homes.end(),
        [&backend](const HomeGrant &grant) { return grant.backend == backend; });
    return found == table.homes.end() ? nullptr : &*found;
}

} // namespace daisyrelay
