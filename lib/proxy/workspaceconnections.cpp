// Connections that belong to workspaces: which one makes room for another.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

/// A workspace may use this part of the connections to a server, so that one whose transactions are idle, or which has
/// a backlog, leaves some to the others.
static constexpr std::uint32_t MaxShareDivisor = 2;

// A statement waits for a connection that is about to be free rather than open one of its own, since opening takes
// longer than most statements and occupies the server.
void ProxyCore::openForWorkspace(Instant now, BackendPool &pool, const WorkspaceId &workspace, std::size_t queued)
{
    const std::size_t maxOpening = std::max<std::uint32_t>(pool.record().slots, 1);
    const std::size_t maxOpen = std::max<std::uint32_t>(pool.quota() / MaxShareDivisor, 2);
    while (pool.soonFreeCount(workspace) < queued && pool.openCount(workspace) < maxOpen
        && pool.openingCount() < maxOpening && pool.isOpeningAllowed(now)) {
        if (!pool.canOpen(now)) {
            const std::optional<ConnectionId> evictable = pool.findEvictable(workspace);
            if (pool.openCount() > pool.quota() || !evictable) {
                return;
            }
            metrics_.add("connections_evicted_total");
            closeConnection(now, pool, *evictable, ConnectionLoss::Broken);
            if (!pool.canOpen(now)) {
                return;
            }
        }
        openConnection(now, pool, workspace);
    }
}

} // namespace daisyrelay
