// Connections that belong to workspaces: which one makes room for another, and which home serves which workspace.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

/// A workspace may use this part of the connections to a server, so that one whose transactions are idle, or which has
/// a backlog, leaves some to the others.
static constexpr std::uint32_t MaxShareDivisor = 2;

/// How many more statements than another home the home of a workspace may have in flight before others help out. Half a
/// dozen statements take as long as opening the connection that another home may need.
static constexpr std::size_t MaxHomeExcess = 6;

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

std::size_t ProxyCore::countQueued(const Service &service, const WorkspaceId &workspace, bool needsPrimary) const
{
    return static_cast<std::size_t>(std::count_if(service.queue.begin(), service.queue.end(), [&](const auto &key) {
        const Session &session = sessions_.at(std::get<SessionId>(key));
        return session.workspace == workspace && session.pending->needsPrimary == needsPrimary;
    }));
}

// Each workspace prefers one home of a server, so that few connections serve all of its statements there.
const VmId *ProxyCore::chooseWorkspaceHome(
    Instant now, const std::vector<VmId> &homes, const WorkspaceId &workspace) const
{
    const std::uint64_t workspaceHash = stableHash(workspace.value);
    const VmId *preferred = nullptr;
    const VmId *leastLoaded = nullptr;
    std::uint64_t highestRank = 0;
    const auto inFlightAt = [this](const VmId &home) {
        const auto state = homeStates_.find(home);
        return state == homeStates_.end() ? std::size_t { 0 } : state->second.inFlight;
    };
    for (const VmId &home : homes) {
        if (const auto state = homeStates_.find(home); state != homeStates_.end() && now < state->second.avoidUntil) {
            continue;
        }
        const std::uint64_t rank = combineHashes(stableHash(home.value), workspaceHash);
        if (preferred == nullptr || rank > highestRank) {
            preferred = &home;
            highestRank = rank;
        }
        if (leastLoaded == nullptr || inFlightAt(home) < inFlightAt(*leastLoaded)) {
            leastLoaded = &home;
        }
    }
    const bool isOverloaded = preferred != nullptr && inFlightAt(*preferred) > inFlightAt(*leastLoaded) + MaxHomeExcess;
    return isOverloaded ? leastLoaded : preferred;
}

} // namespace daisyrelay
