// Rejects statements that cannot run in time as soon as they arrive, and tells other entries about the load here.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

/// Part of the permitted wait that a statement may be predicted to wait when it arrives at a home. Waits vary, and a
/// statement that is late yields to others, so that it would mostly wait in vain; a part is enough to keep the servers
/// busy.
static constexpr double MaxWaitFraction = 0.4;
/// The same for the time until the response, as entries judge it by the reports of homes.
static constexpr double MaxLatencyFraction = 0.5;

bool ProxyCore::predictsLatency(const Session &session) const
{
    return session.origin.has_value() || !homes_.empty();
}

// Statements that wait for a failover are not rejected here: their wait does not depend on the load.
std::optional<PredictedLatency> ProxyCore::predictLatency(
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
        return PredictedLatency { Duration::zero(), serviceTime };
    }
    double ticksPerStatement = 1 / statementsPerTick;
    if (const std::optional<Duration> measured = service.queue.startInterval(); measured && sharesSlots) {
        // Other homes use the server, too.
        ticksPerStatement = std::max(ticksPerStatement, static_cast<double>(measured->count()));
    }
    // More urgent statements that arrive later pass the new one.
    constexpr double MinShare = 0.1;
    ticksPerStatement /= std::max(1 - service.queue.moreUrgentShare(priority), MinShare);
    return PredictedLatency { Duration(static_cast<Duration::rep>(static_cast<double>(ahead + 1) * ticksPerStatement)),
        serviceTime };
}

bool ProxyCore::rejectIfTooLate(Instant now, Session &session)
{
    PendingStatement &pending = *session.pending;
    if (!predictsLatency(session) || !hasLocalServer(pending.route->service)) {
        return false;
    }
    const std::optional<PredictedLatency> latency
        = predictLatency(now, serviceOf(pending.route->service), pending.route->priority, pending.needsPrimary);
    Service &service = serviceOf(pending.route->service);
    if (!latency || (!session.origin && mustForwardToPrimary(now, service))) {
        return false;
    }
    const Duration permitted
        = std::max<Duration>(pending.queueDeadline - now - latency->serviceTime, std::chrono::milliseconds(1));
    const double waitFraction = static_cast<double>(latency->wait.count()) / static_cast<double>(permitted.count());
    const bool isTooLate = waitFraction > MaxWaitFraction;
    if (isTooLate) {
        service.admission.recordWait(now, pending.route->priority, waitFraction);
    }
    const bool isAdmitted = service.admission.admit(now, pending.route->priority) || service.queue.empty();
    if (!isTooLate && isAdmitted) {
        return false;
    }
    pending.isOverloaded = true;
    const Duration retryAfter
        = std::max(latency->wait + latency->serviceTime, service.admission.readmittedAfter(pending.route->priority));
    reject(now, session, ResponseCode::Busy, isTooLate ? "queue-too-long" : "class-refused",
        std::min(retryAfter, timing_.maxOverloadRetryAfter));
    return true;
}

bool ProxyCore::rejectIfHopeless(Instant now, Session &session, const BackendId &backend)
{
    PendingStatement &pending = *session.pending;
    const std::optional<Duration> wait
        = homeLoads_.waitIfHopeless(now, backend, homes_.at(backend), pending.route->priority,
            std::chrono::duration_cast<Duration>((pending.queueDeadline - now) * MaxLatencyFraction));
    if (!wait) {
        return false;
    }
    pending.isOverloaded = true;
    const Duration retryAfter = std::min(*wait, pending.shortestWait.value_or(*wait));
    reject(now, session, ResponseCode::Busy, "homes-overloaded", std::min(retryAfter, timing_.maxOverloadRetryAfter));
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
        const PredictedLatency latency
            = predictLatency(now, service, priority, pending.needsPrimary).value_or(PredictedLatency {});
        const bool isRefused = service.admission.admittedFraction(priority) == 0;
        const Duration wait = latency.wait + latency.serviceTime
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
    const auto found = forwardedSessions_.find({ from, probe.sessionId });
    const Session *session = found == forwardedSessions_.end() ? nullptr : findSession(found->second);
    const bool isPending
        = session != nullptr && session->pending && session->origin && session->origin->sequence == probe.sequence;
    actions_.emplace_back(SendToEntry { from, HomeProbeResponse { probe.sessionId, probe.sequence, isPending } });
}

void ProxyCore::onHomeProbeResponse(Instant now, const VmId &from, const HomeProbeResponse &response)
{
    homeLoads_.recordHeard(now, from);
    Session *session = findSession(response.sessionId - sessionIdBase_);
    if (!response.isPending && session != nullptr && session->pending && session->pending->home == from
        && session->pending->sequence == response.sequence) {
        handleLostResponse(now, *session, "message-lost");
    }
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
