// Tells control which databases this entry still holds too many connections of.
#include "relayimpl.h"

namespace daisyrelay {

std::vector<BackendId> RelayCore::Impl::overShare(Instant now) const
{
    std::vector<BackendId> result;
    for (const auto &[backend, pool] : pools_) {
        std::size_t granted = 0;
        if (const HomeGrant *grant = lease_.grantOf(backend); grant != nullptr) {
            const bool home = grant->entry == options_.vm && lease_.liveAt(now);
            granted = grant->fixedConnections + (home ? grant->leasedConnections : 0);
        }
        if (pool.openConnections() > granted) {
            result.push_back(backend);
        }
    }
    return result;
}

std::vector<BackendId> RelayCore::overShare(Instant now) const
{
    return impl_->overShare(now);
}

} // namespace daisyrelay
