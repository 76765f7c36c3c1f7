// Applies updates from control: configuration, backend servers, primaries and quotas.
#include "daisyrelay/proxy/proxycore.h"

namespace daisyrelay {

ProxyCore::Service &ProxyCore::serviceOf(const ServiceId &service)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        return found->second;
    }
    return services_
        .emplace(service,
            Service { {}, false, FreshnessHistory(timing_.minSampleSpacing, timing_.maxSampleAge), {}, {}, 0, {}, {} })
        .first->second;
}

void ProxyCore::onControlUpdate(Instant now, const EntryUpdate &update)
{
    if (isOutdated(update)) {
        return;
    }
    lastControlUpdateAt_ = now;
    if (update.configuration) {
        applyConfiguration(now, *update.configuration);
    }
    if (update.topology) {
        applyTopology(now, *update.topology);
    }
    if (update.homes) {
        homes_.clear();
        homesVersion_ = update.homesVersion;
        for (const BackendHomes &homes : *update.homes) {
            homes_[homes.backend] = homes.entries;
        }
        log_.log(
            now, "homes.changed", { { "version", homesVersion_ }, { "servers", std::uint64_t { homes_.size() } } });
    }
    for (const ConnectionQuota &quota : update.quotas) {
        quotas_[quota.backend] = quota.connections;
        if (BackendPool *pool = findPool(quota.backend); pool != nullptr) {
            pool->setQuota(quota.connections);
            closeConnectionsAboveQuota(now, *pool);
        }
    }
    for (auto &[id, service] : services_) {
        service.isFailingOver = false;
    }
    for (const ServiceId &service : update.failingOver) {
        serviceOf(service).isFailingOver = true;
    }
    applyLease(now, update);
    checkOpeningSessions(now);
    for (auto &[id, service] : services_) {
        dispatch(now, id);
    }
}

EntryUpdate ProxyCore::makeUpdateFor(const EntryReport &report) const
{
    EntryUpdate update;
    update.sequence = report.sequence;
    update.configVersion = configuration_.version;
    if (report.configVersion < configuration_.version) {
        update.configuration = configuration_;
    }
    if (report.topologyIndex < topology_.index) {
        update.topology = topology_;
    }
    return update;
}

void ProxyCore::onPeerUpdate(Instant now, const EntryUpdate &update)
{
    if (update.configuration) {
        applyConfiguration(now, *update.configuration);
    }
    if (update.topology) {
        applyTopology(now, *update.topology);
    }
    for (auto &[id, service] : services_) {
        dispatch(now, id);
    }
}

void ProxyCore::applyConfiguration(Instant now, const RouteConfiguration &configuration)
{
    if (configuration.version <= configuration_.version) {
        return;
    }
    log_.log(now, "config.in-force",
        { { "version", configuration.version }, { "before", configuration_.version },
            { "routes", std::uint64_t { configuration.routes.size() } } });
    configuration_ = configuration;
    metrics_.set("config_version", static_cast<std::int64_t>(configuration_.version));
    transactionIdleTimeout_ = configuration.transactionIdleTimeout;
    std::map<std::string, std::shared_ptr<const DatabaseRoute>, std::less<>> routes;
    for (const DatabaseRoute &route : configuration.routes) {
        routes.emplace(route.database, std::make_shared<const DatabaseRoute>(route));
        serviceOf(route.service);
    }
    routes_ = std::move(routes);
}

void ProxyCore::applyTopology(Instant now, const Topology &topology)
{
    if (topology.index <= topology_.index) {
        return;
    }
    topology_ = topology;
    std::set<BackendId> present;
    for (const BackendRecord &record : topology.backends) {
        present.insert(record.id);
        if (BackendPool *pool = findPool(record.id); pool != nullptr) {
            pool->update(now, record);
        } else {
            BackendPool &added = pools_.emplace(record.id, BackendPool(now, record, timing_)).first->second;
            added.setQuota(quotas_[record.id]);
        }
    }
    for (auto at = pools_.begin(); at != pools_.end();) {
        if (present.contains(at->first)) {
            ++at;
            continue;
        }
        log_.log(
            now, "backend.gone", { { "backend", std::string_view(at->first.value) }, { "index", topology.index } });
        while (!at->second.connections().empty()) {
            const ConnectionId connection = at->second.connections().begin()->first;
            actions_.emplace_back(CloseBackendConnection { connection });
            onConnectionLost(now, connection, ConnectionLoss::Broken);
        }
        quotas_.erase(at->first);
        at = pools_.erase(at);
    }
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
        }
    }
}

} // namespace daisyrelay
