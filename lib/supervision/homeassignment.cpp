// Chooses the homes of backend servers with scarce connections, and the relays of primaries that some entries cannot
// reach.
#include "daisyrelay/supervision/entryregistry.h"

#include <algorithm>

namespace daisyrelay {

/// Ranks entries for a backend server in the same order on each leader.
static std::uint64_t stableRank(const VmId &entry, std::uint64_t backendHash)
{
    constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15ULL; // Spreads the bits of the combined hash.
    return (stableHash(entry.value) ^ backendHash) * Multiplier;
}

bool EntryRegistry::isAvailable(Instant now, const VmId &entry) const
{
    const auto found = sessions_.find(entry);
    return found != sessions_.end() && !found->second.report.isLeaving
        && now - found->second.lastReportAt <= timing_.maxEntrySilence;
}

bool EntryRegistry::isAwaitingHomes(Instant now) const
{
    return homesVersion_ == 0 && now - leaderSince_ < timing_.homeAssignmentDelay
        && std::any_of(sessions_.begin(), sessions_.end(),
            [](const auto &entry) { return entry.second.report.homesVersion != 0; });
}

// Prefers entries that hold connections, so that a new leader or a lost entry moves as few homes as possible, then
// entries in the zone of the server with the fewest homes.
std::vector<VmId> EntryRegistry::chooseHomes(Instant now, const HomeGroup &group,
    const std::map<BackendId, std::vector<VmId>> &holders, const std::map<ZoneId, std::vector<VmId>> &byZone,
    const std::map<VmId, std::size_t> &homeCounts) const
{
    std::vector<VmId> chosen;
    const BackendRecord &backend = *group.anchor;
    const std::uint64_t backendHash = stableHash(backend.id.value);
    const auto isZoneUsed = [&](const VmId &candidate) {
        return std::any_of(chosen.begin(), chosen.end(),
            [&](const VmId &vm) { return sessions_.at(vm).report.zone == sessions_.at(candidate).report.zone; });
    };
    const auto addFrom = [&](const std::vector<VmId> &candidates, bool requiresOtherZone) {
        while (chosen.size() < group.homeCount) {
            const VmId *best = nullptr;
            std::pair<std::size_t, std::uint64_t> bestKey;
            for (const VmId &vm : candidates) {
                const auto count = homeCounts.find(vm);
                const std::pair key(
                    count == homeCounts.end() ? std::size_t { 0 } : count->second, stableRank(vm, backendHash));
                const bool isEligible = std::find(chosen.begin(), chosen.end(), vm) == chosen.end()
                    && (!requiresOtherZone || !isZoneUsed(vm));
                if (isEligible && (best == nullptr || key < bestKey)) {
                    best = &vm;
                    bestKey = key;
                }
            }
            if (best == nullptr) {
                return;
            }
            chosen.push_back(*best);
        }
    };
    std::vector<VmId> localHolders;
    std::vector<VmId> otherHolders;
    if (const auto found = holders.find(backend.id); found != holders.end()) {
        for (const VmId &vm : found->second) {
            if (isAvailable(now, vm)) {
                (sessions_.at(vm).report.zone == backend.zone ? localHolders : otherHolders).push_back(vm);
            }
        }
    }
    std::vector<const std::vector<VmId> *> ranked { &localHolders, &otherHolders };
    if (const auto local = byZone.find(backend.zone); local != byZone.end()) {
        ranked.push_back(&local->second);
    }
    for (const auto &[zone, vms] : byZone) {
        if (zone != backend.zone) {
            ranked.push_back(&vms);
        }
    }
    for (const std::vector<VmId> *candidates : ranked) {
        addFrom(*candidates, group.isShared);
    }
    for (const std::vector<VmId> *candidates : ranked) {
        addFrom(*candidates, false);
    }
    return chosen;
}

/// Returns the number of connections to a server that each entry must be able to hold to do without homes. With
/// workspaces, a few connections at each entry would rarely fit the workspace of a statement.
static std::size_t directConnectionsOfEntry(const SupervisionState &state)
{
    return std::clamp(
        state.configuration().workspaces.size(), MinDirectConnections, MinDirectConnectionsWithWorkspaces);
}

// If every entry can hold a few connections, statements need no forwarding. If connections are too scarce for that, a
// few entries in the zone of the server hold all of them, so that none is idle while another entry waits for one.
std::vector<EntryRegistry::HomeGroup> EntryRegistry::groupsWithHomes(const SupervisionState &state) const
{
    std::vector<HomeGroup> groups;
    std::map<ServiceId, std::size_t> groupOf;
    const std::size_t directConnections = directConnectionsOfEntry(state);
    for (const auto &[id, backend] : state.backends()) {
        const ServiceLimits *limits = state.limitsOf(backend.service);
        if (limits == nullptr || limits->maxConnections >= ReservedConnections + directConnections * sessions_.size()) {
            continue;
        }
        const std::size_t homeCount = std::min<std::size_t>(usableConnections(*limits), HomesPerBackend);
        if (limits->syncReplicas == 0) {
            groups.push_back({ { &backend }, &backend, homeCount, false });
            continue;
        }
        const auto [found, isNew] = groupOf.try_emplace(backend.service, groups.size());
        if (isNew) {
            groups.push_back({ {}, &backend, homeCount, true });
        }
        HomeGroup &group = groups[found->second];
        group.backends.push_back(&backend);
        if (const PrimaryRecord *primary = state.primaryOf(backend.service);
            primary != nullptr && primary->backend == id) {
            group.anchor = &backend;
        }
    }
    return groups;
}

std::vector<VmId> EntryRegistry::currentHomes(Instant now, const HomeGroup &group) const
{
    const std::vector<VmId> *current = nullptr;
    for (const BackendRecord *backend : group.backends) {
        const auto found = homes_.find(backend->id);
        if (found != homes_.end() && current != nullptr && found->second != *current) {
            return {};
        }
        current = found == homes_.end() ? current : &found->second;
    }
    const bool isComplete = current != nullptr && current->size() == group.homeCount
        && std::all_of(current->begin(), current->end(), [this, now](const VmId &vm) { return isAvailable(now, vm); });
    return isComplete ? *current : std::vector<VmId> {};
}

bool EntryRegistry::assignHomes(Instant now, const SupervisionState &state)
{
    if (isAwaitingHomes(now) || (homesVersion_ == 0 && now - leaderSince_ < timing_.quotaGrantDelay)) {
        return false;
    }
    std::map<BackendId, std::vector<VmId>> holders;
    std::map<ZoneId, std::vector<VmId>> byZone;
    for (const auto &[vm, session] : sessions_) {
        if (isAvailable(now, vm)) {
            byZone[session.report.zone].push_back(vm);
        }
        for (const auto &[backend, connections] : session.granted) {
            if (connections >= MinDirectConnections) {
                holders[backend].push_back(vm);
            }
        }
    }
    std::map<BackendId, std::vector<VmId>> chosen;
    std::map<VmId, std::size_t> homeCounts;
    const auto assign = [&](const HomeGroup &group, const std::vector<VmId> &homes) {
        for (const BackendRecord *backend : group.backends) {
            chosen[backend->id] = homes;
            for (const VmId &vm : homes) {
                ++homeCounts[vm];
            }
        }
    };
    std::vector<HomeGroup> unassigned;
    for (const HomeGroup &group : groupsWithHomes(state)) {
        if (const std::vector<VmId> homes = currentHomes(now, group); !homes.empty()) {
            assign(group, homes);
        } else {
            unassigned.push_back(group);
        }
    }
    for (const HomeGroup &group : unassigned) {
        const std::vector<VmId> homes = chooseHomes(now, group, holders, byZone, homeCounts);
        if (!homes.empty()) {
            assign(group, homes);
        }
    }
    std::map<BackendId, std::vector<VmId>> relays = chooseRelays(now);
    if (chosen == homes_ && relays == relays_) {
        return false;
    }
    const auto recordChanges = [&](const auto &before, const auto &after) {
        for (const auto &[id, entries] : after) {
            if (const auto old = before.find(id); old == before.end() || old->second != entries) {
                homesChangedAt_[id] = ++homesVersion_;
            }
        }
        for (const auto &[id, entries] : before) {
            if (!after.contains(id)) {
                homesChangedAt_[id] = ++homesVersion_;
            }
        }
    };
    homesVersion_ = std::max(homesVersion_, firstHomesVersion_);
    recordChanges(homes_, chosen);
    recordChanges(relays_, relays);
    relays_ = std::move(relays);
    homes_ = std::move(chosen);
    for (auto &[vm, session] : sessions_) {
        session.homeOf.clear();
    }
    for (const auto &[id, entries] : homes_) {
        for (const VmId &vm : entries) {
            if (const auto session = sessions_.find(vm); session != sessions_.end()) {
                session->second.homeOf.insert(id);
            }
        }
    }
    totals_.clear();
    return true;
}

HomesUpdate EntryRegistry::homesSince(std::uint64_t knownVersion) const
{
    HomesUpdate update;
    update.replacesAll = knownVersion < firstHomesVersion_;
    std::vector<std::pair<std::uint64_t, BackendId>> changes;
    for (const auto &[id, version] : homesChangedAt_) {
        if (update.replacesAll || version > knownVersion) {
            changes.emplace_back(version, id);
        }
    }
    std::sort(changes.begin(), changes.end());
    update.isLast = changes.size() <= MaxHomesPerUpdate;
    if (!update.isLast) {
        changes.resize(MaxHomesPerUpdate);
    }
    for (const auto &[version, id] : changes) {
        const auto homes = homes_.find(id);
        const auto relays = relays_.find(id);
        const bool hasHomes = homes != homes_.end();
        update.homes.push_back(
            { id, hasHomes ? homes->second : (relays != relays_.end() ? relays->second : std::vector<VmId> {}) });
        update.version = version;
    }
    return update;
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
        const std::size_t offset = stableHash(entry.value) % vms.size();
        for (std::size_t index = 0; index < vms.size() && index < PeersOfZone; ++index) {
            peers.push_back(vms[(offset + index) % vms.size()]);
        }
    }
    return peers;
}

std::uint64_t EntryRegistry::homesVersion() const
{
    return homesVersion_;
}

} // namespace daisyrelay
