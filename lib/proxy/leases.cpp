// The lease on the primaries: grants, withdrawals, and the release of a withdrawn primary.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

bool ProxyCore::isOutdated(const EntryUpdate &update)
{
    if (update.number == 0) {
        return false;
    }
    const auto order = std::pair(update.leaderTerm, update.number);
    if (order <= std::pair(updateTerm_, updateNumber_)) {
        metrics_.add("updates_outdated_total");
        return true;
    }
    std::tie(updateTerm_, updateNumber_) = order;
    return false;
}

void ProxyCore::recordReport(Instant now, std::uint64_t sequence)
{
    lease_.recordReport(now, sequence);
    sentReports_.record(now, sequence);
}

void ProxyCore::applyLease(Instant now, const EntryUpdate &update)
{
    const bool isTopologyCurrent = topology_.index >= update.topologyIndex;
    for (const ServiceId &service : lease_.setWithdrawn(update.withdrawn, !isTopologyCurrent)) {
        withdrawnAt_[service] = now;
        metrics_.add("primaries_withdrawn_total");
        log_.log(now, "lease.withdrawn",
            { { "service", std::string_view(service.value) },
                { "primary", std::string_view(serviceOf(service).primary.backend.value) },
                { "generation", serviceOf(service).primary.generation }, { "update", update.number } });
        abortLeasedTransactions(now, service);
    }
    std::erase_if(withdrawnAt_, [this](const auto &entry) { return !lease_.isWithdrawn(entry.first); });
    // Under an older topology the lease would cover a primary that has been replaced.
    const bool isOwnReport = update.runId == 0 || update.runId == sessionIdBase_;
    if (update.lease != LeaseDurations {} && isTopologyCurrent && isOwnReport) {
        if (!lease_.extend(update.sequence, update.lease)) {
            metrics_.add("leases_ignored_total");
        }
    }
    releaseWithdrawn(now);
}

// Transactions without an exchange in flight end here; the others end with their exchange.
void ProxyCore::abortLeasedTransactions(Instant now, const ServiceId &service)
{
    BackendPool *pool = findPool(serviceOf(service).primary.backend);
    if (pool == nullptr) {
        return;
    }
    std::vector<ConnectionId> idle;
    for (const auto &[id, connection] : pool->connections()) {
        if (connection.needsLease && connection.state == BackendConnection::State::InTransaction) {
            idle.push_back(id);
        }
    }
    for (const ConnectionId id : idle) {
        actions_.emplace_back(CloseBackendConnection { id });
        onConnectionLost(now, id, ConnectionLoss::Broken);
    }
}

void ProxyCore::releaseWithdrawn(Instant now)
{
    if (const bool isAlive = lease_.isAlive(now); isAlive != wasLeaseAlive_) {
        wasLeaseAlive_ = isAlive;
        log_.log(now, isAlive ? "lease.gained" : "lease.expired",
            { { "control_silent_ms", lastControlUpdateAt_ ? now - *lastControlUpdateAt_ : Duration::zero() },
                { "topology_index", topology_.index }, { "term", updateTerm_ } });
        metrics_.add(isAlive ? "leases_gained_total" : "leases_expired_total");
    }
    for (const ServiceId &service : lease_.unreleased()) {
        std::vector<ConnectionId> inFlight;
        if (BackendPool *pool = findPool(serviceOf(service).primary.backend); pool != nullptr) {
            for (const auto &[id, connection] : pool->connections()) {
                if (connection.needsLease && connection.state != BackendConnection::State::Idle) {
                    inFlight.push_back(id);
                }
            }
        }
        const Duration waited = now - withdrawnAt_[service];
        if (!inFlight.empty() && waited < timing_.maxReleaseDelay) {
            continue;
        }
        for (const ConnectionId id : inFlight) {
            actions_.emplace_back(CloseBackendConnection { id });
            onConnectionLost(now, id, ConnectionLoss::Broken);
        }
        lease_.release(service);
        withdrawnAt_.erase(service);
        log_.log(now, "lease.released",
            { { "service", std::string_view(service.value) }, { "after_ms", waited },
                { "cut_off", std::uint64_t { inFlight.size() } } });
        actions_.emplace_back(SendReportNow {});
    }
}

// If the primary is unknown, the shorter lease applies.
bool ProxyCore::isPrimaryInOwnZone(const Service &service) const
{
    const auto pool = pools_.find(service.primary.backend);
    return pool == pools_.end() || pool->second.record().zone == zone_;
}

bool ProxyCore::canUsePrimary(Instant now, const ServiceId &service) const
{
    const auto found = services_.find(service);
    return lease_.canSend(now, service, found == services_.end() || isPrimaryInOwnZone(found->second));
}

bool ProxyCore::isLeaseValid(Instant now, const BackendPool &pool, const BackendConnection &connection) const
{
    if (!connection.needsLease || lease_.policy() == FencingPolicy::Platform) {
        return true;
    }
    const ServiceId &service = pool.record().service;
    const auto found = services_.find(service);
    return found != services_.end() && connection.generation != 0
        && connection.generation == found->second.primary.generation
        && lease_.canDeliver(now, service, pool.record().zone == zone_);
}

bool ProxyCore::rejectDuringFailover(Instant now, Session &session, const Service &service)
{
    if (!service.isFailingOver || service.failoverEndsAt <= session.pending->queueDeadline) {
        return false;
    }
    reject(now, session, ResponseCode::Busy, "failing-over", returns_.nextDelay(service.failoverEndsAt - now));
    return true;
}

ProxyCore::Placement ProxyCore::waitForLease(Instant now, Session &session, const Service &service)
{
    const bool isAlive = lease_.isAlive(now, isPrimaryInOwnZone(service));
    if (session.origin && !isAlive) {
        // The entry that forwarded the statement can try another home.
        reject(now, session, ResponseCode::WrongBackend, "no-lease", timing_.busyBackoff);
        return Placement::Rejected;
    }
    if (rejectDuringFailover(now, session, service)) {
        return Placement::Rejected;
    }
    // A withdrawal ends with the failover. A lease that has expired is not expected back soon.
    if (isAlive && service.isFailingOver && now < session.pending->queueDeadline) {
        return Placement::Waiting;
    }
    constexpr Duration RetryAfter = std::chrono::milliseconds(250); // Approximate remaining time of a failover.
    reject(now, session, ResponseCode::Busy, "no-lease", RetryAfter);
    return Placement::Rejected;
}

} // namespace daisyrelay
