#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>
#include <array>

namespace daisyrelay {

std::string_view responseCodeName(ResponseCode code)
{
    static constexpr std::array<std::string_view, 14> Names { "ok", "busy", "aborted", "lagging", "not-primary",
        "wrong-backend", "connection-limit", "unknown-statement", "bad-message", "unknown-database", "unauthorized",
        "failed", "timed-out", "in-doubt" };
    return Names.at(static_cast<std::size_t>(code));
}

ProxyCore::ProxyCore(ZoneId zone, EventLog &log, Metrics &metrics, std::uint64_t sessionIdBase, ProxyTiming timing,
    FencingPolicy fencing, Duration revocationBound, RateLimitOptions rateLimits)
    : zone_(std::move(zone))
    , log_(log)
    , metrics_(metrics)
    , timing_(timing)
    , directory_(std::make_shared<const WorkspaceDirectory>())
    , configurationLease_(revocationBound)
    , rateLimits_(sessionIdBase, rateLimits)
    , coordinator_(rateLimits)
    , sessionIdBase_(sessionIdBase)
    , nextSequence_(sessionIdBase / 2 + 1) // Leaves room to count up from any base.
    , lease_(fencing)
{
}

void ProxyCore::onSessionClosed(Instant now, SessionId id)
{
    std::erase_if(openingSessions_, [id](const OpeningSession &opening) { return opening.id == id; });
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    Session &session = found->second;
    endForwarded(session);
    if (session.pending) {
        dequeue(session);
        activeSessions_.erase(id);
        serviceOf(session.pending->route->service).receipts.remove(id);
    }
    const ConnectionId connection = session.pending && session.pending->connection != 0
        ? session.pending->connection
        : (session.transaction ? session.transaction->connection : 0);
    if (const auto at = connections_.find(connection); connection != 0 && at != connections_.end()) {
        BackendPool &pool = *findPool(at->second);
        BackendConnection &backendConnection = *pool.find(connection);
        backendConnection.session = 0;
        if (backendConnection.state == BackendConnection::State::InTransaction) {
            rollBackConnection(now, backendConnection);
        }
    }
    sessions_.erase(found);
}

bool ProxyCore::isReady(Instant now) const
{
    // With more backend servers, control grants quotas only on request.
    constexpr std::size_t MaxPoolsWithQuota = 128;
    return configuration_.version > 0 && topology_.index > 0 && !drain_ && !isolatedSince_
        && (!directory_->requiresKeys() || configurationLease_.isValid(now))
        && (!homes_.empty()
            || std::any_of(quotas_.begin(), quotas_.end(), [](const auto &quota) { return quota.second > 0; })
            || pools_.size() > MaxPoolsWithQuota);
}

void ProxyCore::fillReport(Instant now, EntryReport &report) const
{
    report.zone = zone_;
    report.configVersion = configuration_.version;
    report.needsWholeConfiguration = needsWholeConfiguration_;
    report.topologyIndex = topology_.index;
    report.homesVersion = homesVersion_;
    report.isLeaving = drain_.has_value();
    report.released = lease_.released();
    fillCoordinatorReport(now, report.coordinators);
    for (const BackendId &id : activePools_) {
        const BackendPool *active = findPool(id);
        if (active == nullptr) {
            continue;
        }
        const BackendPool &pool = *active;
        const auto openCount = static_cast<std::uint32_t>(pool.openCount());
        if (const std::uint32_t heldCount = std::max(pool.quota(), openCount); heldCount > 0) {
            report.heldQuotas.push_back({ id, heldCount });
        }
        if (const std::uint32_t demand = pool.recentDemand(now); demand > 0) {
            report.requestedQuotas.push_back({ id, demand });
        }
    }
    for (const auto &[id, service] : services_) {
        const BackendPool *pool = findPool(service.primary.backend);
        if (pool == nullptr || pool->quota() == 0) {
            continue;
        }
        // Only a response that confirms this primary counts; a former primary still responds.
        const PositionSample *newest = service.freshness.newest();
        constexpr Duration MaxConfirmationAge = std::chrono::milliseconds(200);
        const bool isConfirmed = newest != nullptr && newest->generation == service.primary.generation
            && now - newest->sentAt < MaxConfirmationAge;
        report.primaries.push_back({ id, service.primary.backend, isConfirmed, pool->isUnreachable(now) });
    }
}

bool ProxyCore::isBusy() const
{
    return drain_ || !activeSessions_.empty()
        || std::any_of(activePools_.begin(), activePools_.end(),
            [this](const BackendId &id) {
                const BackendPool *pool = findPool(id);
                return pool != nullptr && pool->inUseCount() + pool->openingCount() > 0;
            })
        || std::any_of(
            services_.begin(), services_.end(), [](const auto &entry) { return !entry.second.queue.empty(); });
}

std::vector<ProxyAction> ProxyCore::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t ProxyCore::sessionCount() const
{
    return sessions_.size();
}

BackendPool *ProxyCore::findPool(const BackendId &backend)
{
    const auto found = pools_.find(backend);
    return found == pools_.end() ? nullptr : &found->second;
}

const BackendPool *ProxyCore::findPool(const BackendId &backend) const
{
    const auto found = pools_.find(backend);
    return found == pools_.end() ? nullptr : &found->second;
}

std::shared_ptr<const DatabaseRoute> ProxyCore::findRoute(const std::string &database) const
{
    const auto found = routes_.find(database);
    return found == routes_.end() ? nullptr : found->second;
}

Session *ProxyCore::findSession(SessionId session)
{
    const auto found = sessions_.find(session);
    return found == sessions_.end() ? nullptr : &found->second;
}

} // namespace daisyrelay
