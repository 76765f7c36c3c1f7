// Rejects statements that cannot run in time as soon as they arrive, and tells other entries about the load here.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

bool ProxyCore::predictsLatency(const Session &session) const
{
    return session.origin.has_value() || !homes_.empty();
}

// Statements that wait for a failover are not rejected here: their wait does not depend on the load.
std::optional<Duration> ProxyCore::predictLatency(
    Instant now, const Service &service, std::uint32_t priority, bool needsPrimary) const
{
    double statementsPerTick = 0;
    Duration serviceTime {};
    bool hasCapacity = false;
    std::size_t poolCount = 0;
    for (const BackendId &id : service.backends) {
        const BackendPool &pool = pools_.at(id);
        if (pool.quota() == 0) {
            continue;
        }
        ++poolCount;
        if (!pool.isUsable(now) || pool.isUnresponsive(now) || (needsPrimary && id != service.primary.backend)) {
            continue;
        }
        const Duration interval = std::max<Duration>(pool.predictWait(now, 1), std::chrono::microseconds(1));
        statementsPerTick += 1 / static_cast<double>(interval.count());
        serviceTime = std::max(serviceTime, pool.meanTime());
        hasCapacity = hasCapacity || pool.hasCapacity(now);
    }
    if (statementsPerTick == 0) {
        return std::nullopt;
    }
    // With a single server, reads and writes wait for the same slots.
    const bool sharesSlots = poolCount < 2;
    const std::size_t ahead = service.queue.countUpTo(priority, needsPrimary, sharesSlots);
    if (ahead == 0 && hasCapacity) {
        return serviceTime;
    }
    double ticksPerStatement = 1 / statementsPerTick;
    if (const std::optional<Duration> measured = service.queue.startInterval(); measured && sharesSlots) {
        // Other homes use the server, too.
        ticksPerStatement = std::max(ticksPerStatement, static_cast<double>(measured->count()));
    }
    return serviceTime + Duration(static_cast<Duration::rep>(static_cast<double>(ahead + 1) * ticksPerStatement));
}

bool ProxyCore::rejectIfTooLate(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    if (!predictsLatency(session) || !hasLocalServer(pending.route->service)) {
        return false;
    }
    const std::optional<Duration> latency
        = predictLatency(now, serviceOf(pending.route->service), pending.route->priority, pending.needsPrimary);
    Service &service = serviceOf(pending.route->service);
    if (!latency || (!session.origin && mustForwardToPrimary(now, service))) {
        return false;
    }
    // Statements that are late yield to others, so that most of them never run.
    const bool isTooLate = *latency > (pending.queueDeadline - now) * timing_.onTimeFraction;
    if (isTooLate) {
        service.admission.recordWait(now, pending.route->priority, 1);
    }
    const bool isAdmitted = service.admission.admit(now, pending.route->priority) || service.queue.empty();
    if (!isTooLate && isAdmitted) {
        return false;
    }
    pending.isOverloaded = true;
    reject(now, session, ResponseCode::Busy, isTooLate ? "queue-too-long" : "class-refused",
        std::max(*latency, service.admission.readmittedAfter(pending.route->priority)));
    return true;
}

bool ProxyCore::rejectIfHopeless(Instant now, Session &session, const BackendId &backend)
{
    PendingStatement &pending = *session.pending;
    const std::optional<Duration> wait
        = homeLoads_.waitIfHopeless(now, backend, homes_.at(backend), pending.route->priority,
            std::chrono::duration_cast<Duration>((pending.queueDeadline - now) * timing_.onTimeFraction));
    if (!wait) {
        return false;
    }
    pending.isOverloaded = true;
    reject(now, session, ResponseCode::Busy, "homes-overloaded", std::min(*wait, pending.shortestWait.value_or(*wait)));
    return true;
}

HomeLoad ProxyCore::makeHomeLoad(Instant now, const PendingStatement &pending)
{
    HomeLoad load;
    load.runId = sessionIdBase_;
    load.sequence = nextLoadReport_++;
    load.heldMs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - pending.arrivedAt).count());
    const Service &service = serviceOf(pending.route->service);
    for (std::uint32_t priority = 0; priority < HomeLoad::Priorities; ++priority) {
        const std::optional<Duration> latency = predictLatency(now, service, priority, pending.needsPrimary);
        const bool isRefused = service.admission.admittedFraction(priority) == 0;
        const Duration wait = latency.value_or(Duration::zero())
            + (isRefused ? service.admission.readmittedAfter(priority) : Duration::zero());
        load.waitMs.at(priority)
            = static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    }
    return load;
}

void ProxyCore::recordHomeLoad(Instant now, const VmId &home, const PendingStatement &pending, const HomeLoad &load)
{
    if (load.runId == 0) {
        return; // The home did not run the statement and has nothing to report.
    }
    const LoadReportFault fault = homeLoads_.recordLoad(now, home, pending.backend, pending.sentAt, load);
    if (fault != LoadReportFault::None) {
        metrics_.add("home_loads_ignored_total{reason=\"" + std::string(loadReportFaultName(fault)) + "\"}");
    }
}

void ProxyCore::onHomeProbe(const VmId &from, const HomeProbe &probe)
{
    actions_.emplace_back(SendToEntry { from, HomeProbeResponse { probe.sequence } });
}

void ProxyCore::onHomeProbeResponse(Instant now, const VmId &from)
{
    homeLoads_.recordHeard(now, from);
}

void ProxyCore::onHomeLost(Instant now, const VmId &home, std::string_view reason)
{
    homeLoads_.recordUnreachable(now, home);
    metrics_.add("homes_lost_total{reason=\"" + std::string(reason) + "\"}");
    const std::vector<SessionId> active(activeSessions_.begin(), activeSessions_.end());
    for (const SessionId id : active) {
        if (Session *session = findSession(id);
            session != nullptr && session->pending && session->pending->home == home) {
            handleLostResponse(now, *session, reason);
        }
    }
}

void ProxyCore::onEntryDisconnected(Instant now, const VmId &entry)
{
    onHomeLost(now, entry, "home-disconnected");
    // The entry has given up the statements that it forwarded here. Those that wait have not run.
    std::vector<std::pair<VmId, std::uint64_t>> dropped;
    for (auto at = forwardedSessions_.lower_bound({ entry, 0 });
         at != forwardedSessions_.end() && at->first.first == entry; ++at) {
        const Session *session = findSession(at->second);
        if (session != nullptr && session->pending && session->pending->connection == 0
            && session->pending->role != PendingStatement::Role::Next) {
            dropped.push_back(at->first);
        }
    }
    for (const auto &key : dropped) {
        onSessionClosed(now, forwardedSessions_.at(key));
        forwardedSessions_.erase(key);
    }
    metrics_.add("guests_dropped_total", dropped.size());
}

void ProxyCore::recordQueueTime(Instant now, const Session &session)
{
    const PendingStatement &pending = *session.pending;
    if (pending.role == PendingStatement::Role::Next || !predictsLatency(session)) {
        return;
    }
    const Duration permitted
        = std::max<Duration>(pending.queueDeadline - pending.arrivedAt, std::chrono::milliseconds(1));
    serviceOf(pending.route->service)
        .admission.recordWait(now, pending.route->priority,
            static_cast<double>((now - pending.arrivedAt).count()) / static_cast<double>(permitted.count()));
}

// The queue at a server is in order of arrival. Statements wait here instead, where urgent ones pass the others.
void ProxyCore::updateInFlightLimits()
{
    constexpr std::size_t InFlightPerSlot = 2; // One runs, and one has arrived when that ends.
    constexpr std::size_t MinInFlight = 3; // Not all homes have statements at the same time.
    for (auto &[id, pool] : pools_) {
        const auto homes = homes_.find(id);
        const std::size_t homeCount = homes == homes_.end() ? 0 : homes->second.size();
        const std::size_t total = InFlightPerSlot * pool.record().slots;
        pool.setInFlightLimit(
            homeCount == 0 || total == 0 ? 0 : std::max((total + homeCount - 1) / homeCount, MinInFlight));
    }
}

void ProxyCore::forgetEndedSessions(Instant now)
{
    static constexpr Duration Retention
        = std::chrono::seconds(2); // Statements that take longer to arrive have passed their deadline.
    std::erase_if(endedSessions_, [now](const auto &ended) { return now - ended.second.endedAt > Retention; });
}

} // namespace daisyrelay
