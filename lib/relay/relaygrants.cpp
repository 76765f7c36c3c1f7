// Tells control which databases this entry still holds too many connections of.
#include "relayimpl.h"

namespace daisyrelay {

std::vector<BackendId> RelayCore::Impl::backendsOverGrant(Instant now) const
{
    std::vector<BackendId> result;
    for (const auto &[backend, pool] : pools_) {
        const HomeGrant *grant = lease_.findGrant(backend);
        const std::size_t granted = grant == nullptr ? 0 : grantedConnections(now, *grant);
        if (pool.openConnectionCount() > granted) {
            result.push_back(backend);
        }
    }
    return result;
}

std::vector<BackendId> RelayCore::backendsOverGrant(Instant now) const
{
    return impl_->backendsOverGrant(now);
}

} // namespace daisyrelay
