#include "daisyrelay/supervision/entryregistry.h"

#include <algorithm>

namespace daisyrelay {

EntryRegistry::EntryRegistry(SupervisionTiming timing) : timing_(timing)
{
}

void EntryRegistry::reset(Instant now)
{
    leaderSince_ = now;
    sessions_.clear();
    homes_.clear();
    relays_.clear();
    totals_.clear();
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
        session = {};
        totals_.clear();
    }
    session.report = report;
    session.lastReportAt = now;
    std::map<BackendId, std::uint32_t> held;
    for (const ConnectionQuota &quota : report.heldQuotas) {
        held[quota.backend] = quota.connections;
    }
    if (session.granted != held) {
        for (const auto &[backend, connections] : session.granted) {
            totals_.erase(backend);
        }
        for (const auto &[backend, connections] : held) {
            totals_.erase(backend);
        }
        session.granted = std::move(held);
    }
    return true;
}

void EntryRegistry::removeExpired(Instant now)
{
    if (std::erase_if(sessions_,
            [this, now](const auto &session) { return now - session.second.lastReportAt > timing_.entryExpiry; })
        > 0) {
        totals_.clear();
    }
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

/// Ranks entries for a backend server in the same order on each leader.
static std::uint64_t stableRank(const VmId &entry, const BackendId &backend)
{
    constexpr std::uint64_t Basis = 14695981039346656037ULL; // FNV-1a offset basis.
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = Basis;
    for (const char character : entry.value + "/" + backend.value) {
        hash = (hash ^ static_cast<unsigned char>(character)) * Prime;
    }
    return hash;
}

// If every entry can hold a few connections, statements need no forwarding. If connections are too scarce for that, a
// few entries in the zone of the server hold all of them, so that none is idle while another entry waits for one.
bool EntryRegistry::assignHomes(Instant now, const SupervisionState &state)
{
    std::map<BackendId, std::vector<VmId>> chosen;
    std::map<VmId, std::size_t> homeCounts;
    const bool anyEntryHasHomes = std::any_of(
        sessions_.begin(), sessions_.end(), [](const auto &entry) { return entry.second.report.homesVersion != 0; });
    if (homesVersion_ == 0
        && now - leaderSince_ < (anyEntryHasHomes ? timing_.homeAssignmentDelay : timing_.quotaGrantDelay)) {
        return false;
    }
    for (const auto &[id, backend] : state.backends()) {
        const ServiceLimits *limits = state.limitsOf(backend.service);
        if (limits == nullptr
            || limits->maxConnections >= ReservedConnections + MinDirectConnections * sessions_.size()) {
            continue;
        }
        // Prefers entries that hold connections, so that a new leader or a lost entry moves as few homes as possible.
        const auto score = [&, &id = id, &zone = backend.zone](const VmId &vm, const ReportingEntry &entry) {
            const bool isUnavailable = entry.report.isLeaving || now - entry.lastReportAt > timing_.maxEntrySilence;
            const auto granted = entry.granted.find(id);
            const bool holdsConnections = granted != entry.granted.end() && granted->second >= MinDirectConnections;
            return std::tuple(
                isUnavailable, !holdsConnections, entry.report.zone != zone, homeCounts[vm], stableRank(vm, id));
        };
        std::vector<std::pair<decltype(score(VmId {}, ReportingEntry {})), VmId>> ranked;
        for (const auto &[vm, entry] : sessions_) {
            ranked.emplace_back(score(vm, entry), vm);
        }
        std::sort(ranked.begin(), ranked.end());
        for (std::size_t index = 0; index < ranked.size() && index < HomesPerBackend; ++index) {
            chosen[id].push_back(ranked[index].second);
            ++homeCounts[ranked[index].second];
        }
    }
    std::map<BackendId, std::vector<VmId>> relays = chooseRelays(now);
    if (chosen == homes_ && relays == relays_) {
        return false;
    }
    relays_ = std::move(relays);
    homes_ = std::move(chosen);
    totals_.clear();
    homesVersion_ = std::max(homesVersion_ + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    return true;
}

// If only some entries can reach a primary, these relay the statements of the others.
std::map<BackendId, std::vector<VmId>> EntryRegistry::chooseRelays(Instant now) const
{
    std::map<BackendId, std::vector<VmId>> relays;
    std::set<BackendId> unreachable;
    for (const auto &[vm, session] : sessions_) {
        if (session.report.isLeaving || now - session.lastReportAt > timing_.maxEntrySilence) {
            continue;
        }
        for (const PrimaryObservation &observation : session.report.primaries) {
            if (observation.isUnreachable) {
                unreachable.insert(observation.backend);
                continue;
            }
            // A current relay keeps the role while it can reach the primary.
            const auto previous = relays_.find(observation.backend);
            const bool isRelay = previous != relays_.end()
                && std::find(previous->second.begin(), previous->second.end(), vm) != previous->second.end();
            const bool canBecomeRelay = previous == relays_.end() && observation.isConfirmed;
            if ((isRelay || canBecomeRelay) && relays[observation.backend].size() < RelaysPerPrimary) {
                relays[observation.backend].push_back(vm);
            }
        }
    }
    std::erase_if(
        relays, [&](const auto &entry) { return !unreachable.contains(entry.first) || entry.second.empty(); });
    return relays;
}

std::vector<VmId> EntryRegistry::peersFor(Instant now, const VmId &entry) const
{
    std::map<ZoneId, std::vector<VmId>> byZone;
    for (const auto &[vm, session] : sessions_) {
        if (vm != entry && now - session.lastReportAt < timing_.maxEntrySilence) {
            byZone[session.report.zone].push_back(vm);
        }
    }
    constexpr std::size_t PeersOfZone = 2;
    std::vector<VmId> peers;
    for (const auto &[zone, vms] : byZone) {
        const std::size_t offset = stableRank(entry, BackendId {}) % vms.size();
        for (std::size_t index = 0; index < vms.size() && index < PeersOfZone; ++index) {
            peers.push_back(vms[(offset + index) % vms.size()]);
        }
    }
    return peers;
}

std::vector<BackendHomes> EntryRegistry::homes() const
{
    std::vector<BackendHomes> list;
    for (const auto &[backend, entries] : homes_) {
        list.push_back({ backend, entries });
    }
    for (const auto &[backend, entries] : relays_) {
        if (!homes_.contains(backend)) {
            list.push_back({ backend, entries });
        }
    }
    return list;
}

std::uint64_t EntryRegistry::homesVersion() const
{
    return homesVersion_;
}

std::vector<ConnectionQuota> EntryRegistry::grantQuotas(Instant now, const VmId &entry, const SupervisionState &state)
{
    std::vector<ConnectionQuota> changes;
    const auto found = sessions_.find(entry);
    if (found == sessions_.end()) {
        return changes;
    }
    // The number of entries is unknown until all had time to report, so each gets one connection until then.
    const bool isStartup = now - leaderSince_ < timing_.quotaGrantDelay;
    ReportingEntry &session = found->second;
    for (const auto &[id, backend] : state.backends()) {
        const ServiceLimits *limits = state.limitsOf(backend.service);
        if (limits == nullptr) {
            continue;
        }
        const std::uint32_t usable
            = limits->maxConnections > ReservedConnections ? limits->maxConnections - ReservedConnections : 1;
        const auto requestedQuota
            = std::find_if(session.report.requestedQuotas.begin(), session.report.requestedQuotas.end(),
                [&id = id](const ConnectionQuota &quota) { return quota.backend == id; });
        const std::uint32_t requestedCount
            = requestedQuota == session.report.requestedQuotas.end() ? 0 : requestedQuota->connections;
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
            totals_.erase(id);
            session.granted[id] = quota;
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
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const auto &entry) {
        const ReportingEntry &session = entry.second;
        return session.lastReportAt >= since
            && std::any_of(session.report.primaries.begin(), session.report.primaries.end(),
                [&](const PrimaryObservation &observation) {
                    return observation.service == service && observation.backend == backend && observation.isConfirmed;
                });
    });
}

bool EntryRegistry::isUnreachableFromMost(Instant now, const ServiceId &service, const BackendId &backend) const
{
    std::size_t reporting = 0;
    std::size_t unreachable = 0;
    for (const auto &[vm, session] : sessions_) {
        if (now - session.lastReportAt > timing_.maxEntrySilence) {
            continue;
        }
        ++reporting;
        unreachable += std::any_of(session.report.primaries.begin(), session.report.primaries.end(),
                           [&](const PrimaryObservation &observation) {
                               return observation.service == service && observation.backend == backend
                                   && observation.isUnreachable;
                           })
            ? 1
            : 0;
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
