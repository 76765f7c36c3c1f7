#include "daisyrelay/supervision/entryregistry.h"

#include <algorithm>

namespace daisyrelay {

std::uint32_t usableConnections(const ServiceLimits &limits)
{
    return limits.maxConnections > ReservedConnections ? limits.maxConnections - ReservedConnections : 1;
}

EntryRegistry::EntryRegistry(SupervisionTiming timing) : timing_(timing)
{
}

void EntryRegistry::reset(Instant now, Term term)
{
    constexpr unsigned CounterBits = 32;
    firstHomesVersion_ = (term << CounterBits) + 1;
    leaderSince_ = now;
    sessions_.clear();
    homes_.clear();
    relays_.clear();
    totals_.clear();
    evidence_.clear();
    homesChangedAt_.clear();
    // Entries keep the homes of the former leader until this leader has assigned its own.
    homesVersion_ = 0;
}

bool EntryRegistry::recordReport(Instant now, const VmId &entry, const EntryReport &report)
{
    if (!sessions_.contains(entry)) {
        totals_.clear();
    }
    ReportingEntry &session = sessions_[entry];
    if (session.report.runId == report.runId && report.sequence <= session.report.sequence) {
        return false;
    }
    if (session.report.runId != report.runId) {
        // The sockets of the previous run were closed when its process ended.
        forgetEvidence(entry, session.report);
        session = {};
        for (const auto &[backend, homes] : homes_) {
            if (std::find(homes.begin(), homes.end(), entry) != homes.end()) {
                session.homeOf.insert(backend);
            }
        }
        totals_.clear();
    }
    forgetEvidence(entry, session.report);
    session.report = report;
    session.lastReportAt = now;
    recordEvidence(now, entry, report);
    std::map<BackendId, std::uint32_t> held;
    for (const ConnectionQuota &quota : report.heldQuotas) {
        held[quota.backend] = quota.connections;
    }
    for (const auto &[backend, connections] : session.granted) {
        if (!held.contains(backend)) {
            setGranted(entry, session, backend, 0);
        }
    }
    for (const auto &[backend, connections] : held) {
        setGranted(entry, session, backend, connections);
    }
    session.granted = std::move(held);
    return true;
}

void EntryRegistry::removeExpired(Instant now)
{
    const std::size_t sizeBefore = sessions_.size();
    std::erase_if(sessions_, [this, now](const auto &session) {
        if (now - session.second.lastReportAt <= timing_.entryExpiry) {
            return false;
        }
        forgetEvidence(session.first, session.second.report);
        return true;
    });
    if (sessions_.size() != sizeBefore) {
        totals_.clear();
    }
}

void EntryRegistry::recordEvidence(Instant now, const VmId &entry, const EntryReport &report)
{
    for (const PrimaryObservation &observation : report.primaries) {
        PrimaryEvidence &evidence = evidence_[{ observation.service, observation.backend }];
        if (observation.isConfirmed) {
            evidence.confirmedAt = now;
        }
        if (observation.isUnreachable) {
            evidence.unreachableFrom.insert(entry);
        }
    }
}

void EntryRegistry::forgetEvidence(const VmId &entry, const EntryReport &report)
{
    for (const PrimaryObservation &observation : report.primaries) {
        const auto found = evidence_.find({ observation.service, observation.backend });
        if (observation.isUnreachable && found != evidence_.end()) {
            found->second.unreachableFrom.erase(entry);
        }
    }
}

// Keeps the cached sum of claims valid while the quota changes.
void EntryRegistry::setGranted(
    const VmId &entry, ReportingEntry &session, const BackendId &backend, std::uint32_t connections)
{
    const auto total = totals_.find(backend);
    if (total == totals_.end()) {
        session.granted[backend] = connections;
        return;
    }
    total->second.claims -= claimedBy(entry, session, backend, total->second.usable);
    session.granted[backend] = connections;
    total->second.claims += claimedBy(entry, session, backend, total->second.usable);
}

// An entry that has not requested connections yet still has a claim to its share, so that faster entries cannot take
// it.
std::uint32_t EntryRegistry::claimedBy(
    const VmId &entry, const ReportingEntry &session, const BackendId &backend, std::uint32_t usable) const
{
    const auto found = session.granted.find(backend);
    return std::max(shareOf(entry, backend, usable), found == session.granted.end() ? 0 : found->second);
}

std::uint32_t EntryRegistry::claimedByOthers(
    const VmId &except, const BackendId &backend, std::uint32_t usable, bool isStartup)
{
    if (isStartup) {
        std::uint32_t sum = 0;
        for (const auto &[vm, session] : sessions_) {
            const auto found = session.granted.find(backend);
            sum += vm == except || found == session.granted.end() ? 0 : found->second;
        }
        return sum;
    }
    Total &total = totals_[backend];
    if (total.usable != usable) {
        total = { usable, 0 };
        for (const auto &[vm, session] : sessions_) {
            total.claims += claimedBy(vm, session, backend, usable);
        }
    }
    return total.claims - claimedBy(except, sessions_.at(except), backend, usable);
}

std::uint32_t EntryRegistry::shareOf(const VmId &entry, const BackendId &backend, std::uint32_t usable) const
{
    const auto homes = homes_.find(backend);
    if (homes == homes_.end()) {
        return static_cast<std::uint32_t>(usable / sessions_.size());
    }
    const bool isHome = std::find(homes->second.begin(), homes->second.end(), entry) != homes->second.end();
    return isHome ? static_cast<std::uint32_t>(usable / homes->second.size()) : 0;
}

std::uint32_t EntryRegistry::targetQuotaOf(
    const VmId &entry, const BackendId &backend, std::uint32_t usable, std::uint32_t requestedCount) const
{
    const std::uint32_t share = shareOf(entry, backend, usable);
    return homes_.contains(backend) ? share : std::max(share, requestedCount);
}

/// Returns the backend servers for which the entry's quota may have to change. If there are many, an entry gets a share
/// of the connections only to those that it requests.
static std::set<BackendId> quotaCandidates(const ReportingEntry &session, const SupervisionState &state)
{
    std::set<BackendId> candidates;
    if (state.backends().size() <= MaxBackendsWithShares) {
        for (const auto &[id, backend] : state.backends()) {
            candidates.insert(id);
        }
        return candidates;
    }
    candidates = session.homeOf;
    for (const ConnectionQuota &quota : session.report.requestedQuotas) {
        candidates.insert(quota.backend);
    }
    for (const auto &[id, connections] : session.granted) {
        candidates.insert(id);
    }
    return candidates;
}

std::vector<ConnectionQuota> EntryRegistry::grantQuotas(Instant now, const VmId &entry, const SupervisionState &state)
{
    std::vector<ConnectionQuota> changes;
    const auto found = sessions_.find(entry);
    if (found == sessions_.end()) {
        return changes;
    }
    // The number of entries is unknown until all had time to report, so each gets one connection until then. Homes of
    // the former leader keep their connections until this leader has assigned homes.
    const bool isStartup = now - leaderSince_ < timing_.quotaGrantDelay || isAwaitingHomes(now);
    ReportingEntry &session = found->second;
    if (isAwaitingHomes(now) && session.report.homesVersion != 0) {
        // The connections belong to homes of the former leader, some of which may not have reported yet.
        return changes;
    }
    std::map<BackendId, std::uint32_t> requestedQuotas;
    for (const ConnectionQuota &quota : session.report.requestedQuotas) {
        requestedQuotas[quota.backend] = quota.connections;
    }
    for (const BackendId &id : quotaCandidates(session, state)) {
        const BackendRecord *backend = state.find(id);
        if (backend == nullptr) {
            continue;
        }
        const ServiceLimits *limits = state.limitsOf(backend->service);
        if (limits == nullptr) {
            continue;
        }
        const std::uint32_t usable = usableConnections(*limits);
        const auto requested = requestedQuotas.find(id);
        const std::uint32_t requestedCount = requested == requestedQuotas.end() ? 0 : requested->second;
        const std::uint32_t target = isStartup ? 1 : targetQuotaOf(entry, id, usable, requestedCount);
        const auto granted = session.granted.find(id);
        const std::uint32_t current = granted == session.granted.end() ? 0 : granted->second;
        const std::uint32_t claimed = claimedByOthers(entry, id, usable, isStartup);
        const std::uint32_t available = usable > claimed ? usable - claimed : 0;
        const std::uint32_t quota = std::min(target, available);
        if (quota == current || (isStartup && quota < current)) {
            continue;
        }
        changes.push_back({ id, quota });
        // A lowered quota counts at its old value until the entry reports that it closed the connections.
        if (quota > current) {
            setGranted(entry, session, id, quota);
        }
    }
    return changes;
}

bool EntryRegistry::mayConnect(const VmId &entry, const BackendId &backend) const
{
    const auto session = sessions_.find(entry);
    if (session == sessions_.end()) {
        return true;
    }
    const auto granted = session->second.granted.find(backend);
    return granted != session->second.granted.end() && granted->second > 0;
}

bool EntryRegistry::isConfirmedPrimary(Instant since, const ServiceId &service, const BackendId &backend) const
{
    const auto found = evidence_.find({ service, backend });
    return found != evidence_.end() && found->second.confirmedAt >= since;
}

bool EntryRegistry::isReportedUnreachable(const ServiceId &service, const BackendId &backend) const
{
    const auto found = evidence_.find({ service, backend });
    return found != evidence_.end() && !found->second.unreachableFrom.empty();
}

bool EntryRegistry::isUnreachableFromMost(Instant now, const ServiceId &service, const BackendId &backend) const
{
    const auto found = evidence_.find({ service, backend });
    if (found == evidence_.end() || found->second.unreachableFrom.empty()) {
        return false;
    }
    std::size_t reporting = 0;
    std::size_t unreachable = 0;
    for (const auto &[vm, session] : sessions_) {
        if (now - session.lastReportAt <= timing_.maxEntrySilence) {
            ++reporting;
            unreachable += found->second.unreachableFrom.contains(vm) ? 1 : 0;
        }
    }
    return 2 * unreachable > reporting;
}

std::map<VmId, ReportingEntry> &EntryRegistry::sessions()
{
    return sessions_;
}

Duration EntryRegistry::reportInterval() const
{
    const Duration interval = timing_.minReportSpacing * static_cast<std::int64_t>(sessions_.size());
    return std::clamp<Duration>(interval, timing_.minReportInterval, 5 * timing_.minReportInterval);
}

} // namespace daisyrelay
