// Applies updates from control: configuration, backend servers, primaries and quotas.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

std::uint32_t ProxyCore::syncReplicasOf(const ServiceId &service) const
{
    const auto found = std::find_if(configuration_.services.begin(), configuration_.services.end(),
        [&](const ServiceLimits &limits) { return limits.service == service; });
    return found == configuration_.services.end() ? 0 : found->syncReplicas;
}

ProxyCore::Service &ProxyCore::serviceOf(const ServiceId &service)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        return found->second;
    }
    Service &added
        = services_
              .emplace(service,
                  Service { {}, {}, false, {}, 0, CommitReceipts(timing_.maxReplicaRecordAge),
                      FreshnessHistory(timing_.minSampleSpacing, timing_.maxSampleAge), {}, {}, {}, {}, {}, {} })
              .first->second;
    added.syncReplicas = syncReplicasOf(service);
    return added;
}

void ProxyCore::onControlUpdate(Instant now, const EntryUpdate &update)
{
    if (isOutdated(update)) {
        return;
    }
    lastControlUpdateAt_ = now;
    newestVersion_ = std::max(newestVersion_, update.configVersion);
    if (!update.configuration.empty()) {
        applyConfigurationUpdate(now, update.configuration);
    }
    // A report of a former run may have had the same sequence number.
    const bool isOwnReport = update.runId == 0 || update.runId == sessionIdBase_;
    const std::optional<Instant> sentAt = isOwnReport ? sentReports_.sentAt(update.sequence) : std::nullopt;
    if (sentAt) {
        configurationLease_.confirm(*sentAt, update.configVersion, configuration_.version);
        applyCoordinators(now, *sentAt, update.coordinators);
    }
    if (update.topology) {
        applyTopology(now, *update.topology);
    }
    if (sentAt) {
        confirmReplicas(update, *sentAt);
    }
    if (update.homes) {
        applyHomes(*update.homes);
        log_.log(
            now, "homes.changed", { { "version", homesVersion_ }, { "servers", std::uint64_t { homes_.size() } } });
    }
    controlTopologyIndex_ = update.topologyIndex;
    for (const ConnectionQuota &quota : update.quotas) {
        quotas_[quota.backend] = quota.connections;
        activePools_.insert(quota.backend);
        if (BackendPool *pool = findPool(quota.backend); pool != nullptr) {
            pool->setQuota(quota.connections);
            closeConnectionsAboveQuota(now, *pool);
        }
    }
    for (auto &[id, service] : services_) {
        service.isFailingOver = false;
    }
    for (const auto &[id, remainingMs] : update.failingOver) {
        Service &service = serviceOf(id);
        service.isFailingOver = true;
        service.failoverEndsAt = now + std::chrono::milliseconds(remainingMs);
    }
    applyLease(now, update);
    checkOpeningSessions(now);
    dispatchAll(now);
}

EntryUpdate ProxyCore::makeUpdateFor(const EntryReport &report) const
{
    EntryUpdate update;
    update.sequence = report.sequence;
    update.configVersion = configuration_.version;
    if (report.configVersion < configuration_.version) {
        update.configuration = encodeConfigurationUpdate(configuration_);
    }
    // While parts are missing, this entry cannot tell which backend servers exist.
    if (report.topologyIndex < topology_.index && topology_.index >= controlTopologyIndex_) {
        update.topology = completeTopology();
    }
    return update;
}

Topology ProxyCore::completeTopology() const
{
    Topology topology;
    topology.index = topology_.index;
    for (const auto &[id, pool] : pools_) {
        topology.backends.push_back(pool.record());
    }
    for (const auto &[id, service] : services_) {
        if (!service.primary.backend.empty()) {
            topology.primaries.push_back(service.primary);
        }
    }
    return topology;
}

void ProxyCore::onPeerUpdate(Instant now, const EntryUpdate &update)
{
    if (!update.configuration.empty()) {
        applyConfigurationUpdate(now, update.configuration);
    }
    if (update.topology) {
        applyTopology(now, *update.topology);
    }
    dispatchAll(now);
}

void ProxyCore::applyConfigurationUpdate(Instant now, const std::string &bytes)
{
    const Expected<ConfigurationUpdate> update = decodeConfigurationUpdate(bytes);
    if (!update) {
        metrics_.add("configurations_unreadable_total");
        log_.log(now, "config.unreadable", { { "error", std::string_view(update.error().detail) } });
        needsWholeConfiguration_ = true;
        return;
    }
    if (const auto *whole = std::get_if<RouteConfiguration>(&*update); whole != nullptr) {
        applyConfiguration(now, *whole);
        return;
    }
    const auto &change = std::get<ConfigurationChange>(*update);
    if (change.version <= configuration_.version) {
        return;
    }
    if (const Expected<RouteConfiguration> changed = applyChange(configuration_, change); changed) {
        applyConfiguration(now, *changed);
        return;
    }
    metrics_.add("configuration_changes_refused_total");
    log_.log(now, "config.change-refused",
        { { "version", change.version }, { "base", change.baseVersion }, { "current", configuration_.version } });
    needsWholeConfiguration_ = true;
}

void ProxyCore::applyConfiguration(Instant now, const RouteConfiguration &configuration)
{
    if (configuration.version <= configuration_.version) {
        return;
    }
    log_.log(now, "config.in-force",
        { { "version", configuration.version }, { "before", configuration_.version },
            { "routes", std::uint64_t { configuration.routes.size() } },
            { "workspaces", std::uint64_t { configuration.workspaces.size() } } });
    configuration_ = configuration;
    needsWholeConfiguration_ = false;
    metrics_.set("config_version", static_cast<std::int64_t>(configuration_.version));
    transactionIdleTimeout_ = configuration.transactionIdleTimeout;
    std::map<std::string, std::shared_ptr<const DatabaseRoute>, std::less<>> routes;
    for (const DatabaseRoute &route : configuration.routes) {
        routes.emplace(route.database, std::make_shared<const DatabaseRoute>(route));
        serviceOf(route.service);
    }
    routes_ = std::move(routes);
    for (auto &[id, service] : services_) {
        service.syncReplicas = syncReplicasOf(id);
    }
    directory_ = std::make_shared<const WorkspaceDirectory>(configuration);
    endRevokedSessions(now);
    rateLimits_.setLimits(now, configuration.workspaces);
    coordinator_.setLimits(now, configuration.workspaces);
}

void ProxyCore::dispatchAll(Instant now)
{
    for (auto &[id, service] : services_) {
        if (!service.queue.empty()) {
            dispatch(now, id);
        }
    }
}

// Homes of a former leader stay in use until this one has sent all of its own.
void ProxyCore::applyHomes(const HomesUpdate &update)
{
    if (update.replacesAll) {
        formerHomes_.clear();
        for (const auto &[backend, entries] : homes_) {
            formerHomes_.insert(backend);
        }
    }
    homesVersion_ = update.version;
    for (const BackendHomes &homes : update.homes) {
        formerHomes_.erase(homes.backend);
        if (homes.entries.empty()) {
            homes_.erase(homes.backend);
        } else {
            homes_[homes.backend] = homes.entries;
        }
    }
    if (update.isLast) {
        for (const BackendId &backend : std::exchange(formerHomes_, {})) {
            homes_.erase(backend);
        }
    }
    updateInFlightLimits();
}

void ProxyCore::removePool(Instant now, const BackendId &id)
{
    BackendPool *pool = findPool(id);
    if (pool == nullptr) {
        return;
    }
    log_.log(now, "backend.gone", { { "backend", std::string_view(id.value) }, { "index", topology_.index } });
    while (!pool->connections().empty()) {
        const ConnectionId connection = pool->connections().begin()->first;
        actions_.emplace_back(CloseBackendConnection { connection });
        onConnectionLost(now, connection, ConnectionLoss::Broken);
    }
    serviceOf(pool->record().service).backends.erase(id);
    quotas_.erase(id);
    activePools_.erase(id);
    pools_.erase(id);
}

void ProxyCore::applyTopology(Instant now, const Topology &topology)
{
    if (topology.index <= topology_.index) {
        return;
    }
    const bool isComplete = topology.baseIndex == 0;
    const bool isFirst = topology_.index == 0 && topology.baseIndex == 1;
    if (!isComplete && topology_.index < topology.baseIndex && !isFirst) {
        metrics_.add("topologies_refused_total"); // Changes in between are missing.
        return;
    }
    topology_.index = topology.index;
    std::set<BackendId> present;
    for (const BackendRecord &record : topology.backends) {
        present.insert(record.id);
        if (const BackendPool *pool = findPool(record.id);
            pool != nullptr && pool->record().service != record.service) {
            metrics_.add("backends_moved_total");
            removePool(now, record.id);
        }
        if (BackendPool *pool = findPool(record.id); pool != nullptr) {
            pool->update(now, record);
        } else {
            BackendPool &added = pools_.emplace(record.id, BackendPool(now, record, timing_)).first->second;
            added.setQuota(quotas_[record.id]);
            serviceOf(record.service).backends.insert(record.id);
        }
    }
    std::vector<BackendId> removed = topology.removed;
    for (const auto &[id, pool] : pools_) {
        if (isComplete && !present.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const BackendId &id : removed) {
        removePool(now, id);
    }
    updateInFlightLimits();
    for (const PrimaryRecord &primary : topology.primaries) {
        Service &service = serviceOf(primary.service);
        if (service.primary != primary) {
            log_.log(now, "primary.changed",
                { { "service", std::string_view(primary.service.value) },
                    { "backend", std::string_view(primary.backend.value) },
                    { "before", std::string_view(service.primary.backend.value) },
                    { "generation", primary.generation } });
            service.primary = primary;
            service.lastSampledAt = {};
            for (const SessionId session : service.receipts.takeAll()) {
                handleLostResponse(now, *findSession(session), "primary-replaced");
            }
        }
    }
}

} // namespace daisyrelay
