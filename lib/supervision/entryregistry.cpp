#include "daisyrelay/supervision/entryregistry.h"

#include <algorithm>

namespace daisyrelay {

EntryRegistry::EntryRegistry(SupervisionTiming timing) : timing_(timing)
{
}

void EntryRegistry::reset(Instant now)
{
    since_ = now;
    sessions_.clear();
    homes_.clear();
    relays_.clear();
    totals_.clear();
    // Entries keep what the former leader told them until this one knows better.
    homesVersion_ = 0;
}

bool EntryRegistry::report(Instant now, const VmId &entry, const EntryReport &report)
{
    if (!sessions_.contains(entry)) {
        totals_.clear();
    }
    ReportedEntry &session = sessions_[entry];
    if (session.report.run == report.run && report.sequence <= session.report.sequence) {
        return false;
    }
    if (session.report.run != report.run) {
        // A new run holds no connection of the one before, whose sockets went with it.
        session = {};
        totals_.clear();
    }
    session.report = report;
    session.heardAt = now;
    std::map<BackendId, std::uint32_t> held;
    for (const ConnectionQuota &quota : report.held) {
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

void EntryRegistry::expire(Instant now)
{
    if (std::erase_if(
            sessions_, [this, now](const auto &session) { return now - session.second.heardAt > timing_.entryGone; })
        > 0) {
        totals_.clear();
    }
}

// An entry that has not asked yet still has its share, so that those who come first can not take it.
std::uint32_t EntryRegistry::claimOf(
    const VmId &entry, const ReportedEntry &session, const BackendId &backend, std::uint32_t usable) const
{
    const auto found = session.granted.find(backend);
    return std::max(shareOf(entry, backend, usable), found == session.granted.end() ? 0 : found->second);
}

std::uint32_t EntryRegistry::spokenFor(const VmId &except, const BackendId &backend, std::uint32_t usable, bool early)
{
    if (early) {
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
            total.claims += claimOf(vm, session, backend, usable);
        }
    }
    return total.claims - claimOf(except, sessions_.at(except), backend, usable);
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

std::uint32_t EntryRegistry::targetFor(
    const VmId &entry, const BackendId &backend, std::uint32_t usable, std::uint32_t wanted) const
{
    const std::uint32_t share = shareOf(entry, backend, usable);
    return homes_.contains(backend) ? share : std::max(share, wanted);
}

/// Ranks entries for a backend server, the same at each leader.
static std::uint64_t rankOf(const VmId &entry, const BackendId &backend)
{
    constexpr std::uint64_t Basis = 14695981039346656037ULL; // FNV-1a.
    constexpr std::uint64_t Prime = 1099511628211ULL;
    std::uint64_t hash = Basis;
    for (const char letter : entry.value + "/" + backend.value) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * Prime;
    }
    return hash;
}

// Where every entry can hold a few connections, a statement needs no detour. Where they are too scarce for that, a few
// entries in the server's zone hold all of them, so that none lies idle while another entry waits for one.
bool EntryRegistry::assignHomes(Instant now, const SupervisionState &state)
{
    std::map<BackendId, std::vector<VmId>> chosen;
    std::map<VmId, std::size_t> roles;
    const bool anyKnown = std::any_of(
        sessions_.begin(), sessions_.end(), [](const auto &entry) { return entry.second.report.homesVersion != 0; });
    if (homesVersion_ == 0 && now - since_ < (anyKnown ? timing_.homesDelay : timing_.quotaDelay)) {
        return false;
    }
    for (const auto &[id, backend] : state.backends()) {
        const ServiceLimits *limits = state.limitsOf(backend.service);
        if (limits == nullptr || limits->maxConnections >= ReservedConnections + DirectShare * sessions_.size()) {
            continue;
        }
        // Whoever holds connections goes on, so that a new leader or a lost entry moves as few as possible.
        const auto score = [&, &id = id, &zone = backend.zone](const VmId &vm, const ReportedEntry &entry) {
            const bool silent = entry.report.leaving || now - entry.heardAt > timing_.entrySilence;
            const auto granted = entry.granted.find(id);
            const bool holds = granted != entry.granted.end() && granted->second >= DirectShare;
            return std::tuple(silent, !holds, entry.report.zone != zone, roles[vm], rankOf(vm, id));
        };
        std::vector<std::pair<decltype(score(VmId {}, ReportedEntry {})), VmId>> ranked;
        for (const auto &[vm, entry] : sessions_) {
            ranked.emplace_back(score(vm, entry), vm);
        }
        std::sort(ranked.begin(), ranked.end());
        for (std::size_t at = 0; at < ranked.size() && at < HomesOfServer; ++at) {
            chosen[id].push_back(ranked[at].second);
            ++roles[ranked[at].second];
        }
    }
    std::map<BackendId, std::vector<VmId>> relays = findRelays(now);
    if (chosen == homes_ && relays == relays_) {
        return false;
    }
    relays_ = std::move(relays);
    homes_ = std::move(chosen);
    totals_.clear();
    homesVersion_ = std::max(homesVersion_ + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    return true;
}

// Where a primary is cut off from some entries only, those reach it through others.
std::map<BackendId, std::vector<VmId>> EntryRegistry::findRelays(Instant now) const
{
    std::map<BackendId, std::vector<VmId>> answering;
    std::set<BackendId> cut;
    for (const auto &[vm, session] : sessions_) {
        if (session.report.leaving || now - session.heardAt > timing_.entrySilence) {
            continue;
        }
        for (const PrimaryObservation &seen : session.report.primaries) {
            if (seen.unreachable) {
                cut.insert(seen.backend);
                continue;
            }
            // Who relays already goes on as long as it is not cut off itself.
            const auto known = relays_.find(seen.backend);
            const bool relays = known != relays_.end()
                && std::find(known->second.begin(), known->second.end(), vm) != known->second.end();
            const bool joins = known == relays_.end() && seen.answering;
            if ((relays || joins) && answering[seen.backend].size() < RelaysOfPrimary) {
                answering[seen.backend].push_back(vm);
            }
        }
    }
    std::erase_if(answering, [&](const auto &entry) { return !cut.contains(entry.first) || entry.second.empty(); });
    return answering;
}

std::vector<VmId> EntryRegistry::peersOf(Instant now, const VmId &entry) const
{
    std::map<ZoneId, std::vector<VmId>> byZone;
    for (const auto &[vm, session] : sessions_) {
        if (vm != entry && now - session.heardAt < timing_.entrySilence) {
            byZone[session.report.zone].push_back(vm);
        }
    }
    constexpr std::size_t PeersOfZone = 2;
    std::vector<VmId> peers;
    for (const auto &[zone, vms] : byZone) {
        const std::size_t turn = rankOf(entry, BackendId {}) % vms.size();
        for (std::size_t at = 0; at < vms.size() && at < PeersOfZone; ++at) {
            peers.push_back(vms[(turn + at) % vms.size()]);
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

std::vector<ConnectionQuota> EntryRegistry::grant(Instant now, const VmId &entry, const SupervisionState &state)
{
    std::vector<ConnectionQuota> changes;
    const auto found = sessions_.find(entry);
    if (found == sessions_.end()) {
        return changes;
    }
    // Until all had time to report, nobody knows how many there are, so each gets one to begin with.
    const bool early = now - since_ < timing_.quotaDelay;
    ReportedEntry &session = found->second;
    for (const auto &[id, backend] : state.backends()) {
        const ServiceLimits *limits = state.limitsOf(backend.service);
        if (limits == nullptr) {
            continue;
        }
        const std::uint32_t usable
            = limits->maxConnections > ReservedConnections ? limits->maxConnections - ReservedConnections : 1;
        const auto wish = std::find_if(session.report.wanted.begin(), session.report.wanted.end(),
            [&id = id](const ConnectionQuota &quota) { return quota.backend == id; });
        const std::uint32_t wanted = wish == session.report.wanted.end() ? 0 : wish->connections;
        const std::uint32_t target = early ? 1 : targetFor(entry, id, usable, wanted);
        const auto counted = session.granted.find(id);
        const std::uint32_t before = counted == session.granted.end() ? 0 : counted->second;
        const std::uint32_t others = spokenFor(entry, id, usable, early);
        const std::uint32_t free = usable > others ? usable - others : 0;
        const std::uint32_t allowed = std::min(target, free);
        if (allowed == before || (early && allowed < before)) {
            continue;
        }
        changes.push_back({ id, allowed });
        // What is taken away counts until the entry says that it has let go.
        if (allowed > before) {
            totals_.erase(id);
            session.granted[id] = allowed;
        }
    }
    return changes;
}

bool EntryRegistry::anyAnswered(Instant since, const ServiceId &service, const BackendId &backend) const
{
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const auto &entry) {
        const ReportedEntry &session = entry.second;
        return session.heardAt >= since
            && std::any_of(
                session.report.primaries.begin(), session.report.primaries.end(), [&](const PrimaryObservation &seen) {
                    return seen.service == service && seen.backend == backend && seen.answering;
                });
    });
}

bool EntryRegistry::mostAreCutFrom(Instant now, const ServiceId &service, const BackendId &backend) const
{
    std::size_t heard = 0;
    std::size_t cut = 0;
    for (const auto &[vm, session] : sessions_) {
        if (now - session.heardAt > timing_.entrySilence) {
            continue;
        }
        ++heard;
        cut += std::any_of(session.report.primaries.begin(), session.report.primaries.end(),
                   [&](const PrimaryObservation &seen) {
                       return seen.service == service && seen.backend == backend && seen.unreachable;
                   })
            ? 1
            : 0;
    }
    return 2 * cut > heard;
}

std::map<VmId, ReportedEntry> &EntryRegistry::sessions()
{
    return sessions_;
}

Duration EntryRegistry::reportInterval() const
{
    const Duration spread = timing_.reportCost * static_cast<std::int64_t>(sessions_.size());
    return std::clamp<Duration>(spread, timing_.reportInterval, 5 * timing_.reportInterval);
}

} // namespace daisyrelay
