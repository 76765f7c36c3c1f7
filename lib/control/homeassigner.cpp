#include "daisyrelay/control/homeassigner.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::uint32_t FixedShare = 1;
/// Connections reserved for the surveys and probes of control.
static constexpr std::uint32_t ControlReservedConnections = 1;
/// Connections reserved for the home of the primary, which monitors each replica.
static constexpr std::uint32_t MonitorReservedConnections = 1;
/// A home moves only to an entry with at least this many fewer homes.
static constexpr std::size_t MinMoveDifference = 2;

void HomeAssigner::reset()
{
    areLeasesCollected_ = false;
    shares_.clear();
    homeCounts_.clear();
}

bool HomeAssigner::collectLeases(Instant now, const std::map<VmId, ZoneId> &registered, const EntrySessions &sessions)
{
    // allConfirmed() holds once each entry has either reported its shares or has no lease any more.
    areLeasesCollected_ = areLeasesCollected_ || sessions.haveAllConfirmed(now, 1, registered);
    return areLeasesCollected_;
}

bool HomeAssigner::hasCollectedLeases() const
{
    return areLeasesCollected_;
}

void HomeAssigner::confirmTable(const VmId &entry, std::uint64_t version, const std::vector<BackendId> &releasing)
{
    for (auto &[backend, shares] : shares_) {
        if (std::find(releasing.begin(), releasing.end(), backend) == releasing.end()) {
            shares.ledger.confirmTable(entry, version);
        }
    }
}

void HomeAssigner::restoreShares(Instant now, Shares &shares, const BackendAnnouncement &announcement,
    const std::map<VmId, ZoneId> &registered, const EntrySessions &sessions)
{
    for (const auto &[vm, zone] : registered) {
        const EntrySession *session = sessions.find(vm);
        if (session == nullptr) {
            // The entry is unreachable and may still use a fixed share granted by the former leader.
            shares.ledger.grant(vm, 0, zone == announcement.zone ? FixedShare : 0, 0);
            continue;
        }
        for (const HomeGrant &grant : session->previousShares) {
            if (grant.backend != announcement.id) {
                continue;
            }
            const bool isHome = grant.entry == vm && sessions.mayHoldLease(now, vm);
            shares.ledger.grant(vm, 0, grant.fixedConnections, isHome ? grant.leasedConnections : 0);
            if (isHome) {
                setHome(shares, vm);
            }
        }
    }
}

void HomeAssigner::removeEntry(const VmId &entry)
{
    for (auto &[backend, shares] : shares_) {
        shares.ledger.removeEntry(entry);
        if (shares.home == entry) {
            setHome(shares, {});
        }
    }
}

void HomeAssigner::setHome(Shares &shares, const VmId &home)
{
    if (!shares.home.empty()) {
        --homeCounts_[shares.home];
    }
    if (!home.empty()) {
        ++homeCounts_[home];
    }
    shares.home = home;
}

void HomeAssigner::endLeases(Instant now, Shares &shares, const EntrySessions &sessions)
{
    for (const VmId &entry : shares.ledger.entries()) {
        if (!sessions.mayHoldLease(now, entry)) {
            shares.ledger.endLease(entry);
        }
    }
    if (!shares.home.empty() && !sessions.mayHoldLease(now, shares.home)) {
        setHome(shares, {});
    }
}

void HomeAssigner::chooseHome(
    Instant now, Shares &shares, const BackendAnnouncement &announcement, const EntrySessions &sessions)
{
    const auto homeCountOf = [this](const VmId &vm) {
        const auto count = homeCounts_.find(vm);
        return count == homeCounts_.end() ? std::size_t(0) : count->second;
    };
    const VmId *best = nullptr;
    std::pair<bool, std::size_t> bestCost;
    for (const auto &[vm, session] : sessions.all()) {
        if (session.leaseExpiresAt <= now) {
            continue;
        }
        const std::pair cost(session.zone != announcement.zone, homeCountOf(vm));
        if (best == nullptr || cost < bestCost) {
            best = &vm;
            bestCost = cost;
        }
    }
    if (best == nullptr || *best == shares.home) {
        return;
    }
    if (shares.home.empty()) {
        setHome(shares, *best);
        return;
    }
    // The home of a primary stores idempotency keys, so it does not move for load balancing.
    const bool isInOtherZone = sessions.find(shares.home)->zone != announcement.zone;
    const bool isOverloaded = !isInOtherZone && announcement.role == BackendRole::Replica
        && homeCountOf(shares.home) >= homeCountOf(*best) + MinMoveDifference;
    if (!bestCost.first && (isInOtherZone || isOverloaded)) {
        setHome(shares, *best);
    }
}

std::map<VmId, std::uint32_t> HomeAssigner::targetFixedShares(
    const BackendAnnouncement &announcement, std::uint32_t capacity, const std::map<VmId, ZoneId> &registered)
{
    std::uint32_t remaining = capacity - std::min(capacity, announcement.slots + MonitorReservedConnections);
    std::map<VmId, std::uint32_t> result;
    for (const auto &[vm, zone] : registered) {
        if (zone == announcement.zone && remaining >= FixedShare) {
            result[vm] = FixedShare;
            remaining -= FixedShare;
        }
    }
    return result;
}

void HomeAssigner::shrink(
    Shares &shares, std::uint64_t version, const std::map<VmId, std::uint32_t> &targetFixed, std::uint32_t targetLeased)
{
    for (const VmId &vm : shares.ledger.entries()) {
        const auto fixed = targetFixed.find(vm);
        const std::uint32_t targetShare = fixed == targetFixed.end() ? 0 : fixed->second;
        const auto [lastFixed, lastLeased] = shares.ledger.lastGrant(vm);
        const std::uint32_t leased = vm == shares.home ? std::min(lastLeased, targetLeased) : 0;
        shares.ledger.grant(vm, version, std::min(lastFixed, targetShare), leased);
    }
}

bool HomeAssigner::mayLease(Instant now, const Shares &shares, const BackendId &backend, const EntrySessions &sessions)
{
    if (shares.home.empty()) {
        return false;
    }
    for (const VmId &vm : shares.ledger.entries()) {
        if (vm != shares.home && shares.ledger.mayUseLeased(vm)) {
            return false;
        }
    }
    return std::none_of(sessions.all().begin(), sessions.all().end(), [&](const auto &entry) {
        const std::vector<BackendId> &releasing = entry.second.releasing;
        return entry.first != shares.home && sessions.mayHoldLease(now, entry.first)
            && std::find(releasing.begin(), releasing.end(), backend) != releasing.end();
    });
}

bool HomeAssigner::assign(Instant now, const BackendAnnouncement &announcement,
    const std::map<VmId, ZoneId> &registered, const EntrySessions &sessions, LeaseTables &tables)
{
    const auto [found, isNew] = shares_.try_emplace(announcement.id);
    Shares &shares = found->second;
    const std::uint64_t version = tables.version() + 1;
    const std::uint32_t capacity
        = announcement.connections - std::min(announcement.connections, ControlReservedConnections);
    if (isNew) {
        restoreShares(now, shares, announcement, registered, sessions);
    }
    endLeases(now, shares, sessions);
    chooseHome(now, shares, announcement, sessions);
    std::map<VmId, std::uint32_t> fixed = targetFixedShares(announcement, capacity, registered);
    const std::uint32_t targetLeased = capacity - static_cast<std::uint32_t>(FixedShare * fixed.size());
    // Shrinks shares first. Revoked connections count until the entry confirms the table.
    shrink(shares, version, fixed, targetLeased);
    for (auto &[vm, share] : fixed) {
        const std::uint32_t leased = shares.ledger.lastGrant(vm).second;
        share = std::min(share, capacity - std::min(capacity, shares.ledger.maxUsedByOthers(vm) + leased));
        shares.ledger.grant(vm, version, share, leased);
    }
    HomeGrant grant { announcement.id, {}, 0, 0 };
    if (mayLease(now, shares, announcement.id, sessions)) {
        const std::uint32_t fixedShare = shares.ledger.lastGrant(shares.home).first;
        const std::uint32_t availableConnections
            = capacity - std::min(capacity, shares.ledger.maxUsedByOthers(shares.home) + fixedShare);
        grant.entry = shares.home;
        grant.leasedConnections = std::min(availableConnections, targetLeased);
        shares.ledger.grant(shares.home, version, fixedShare, grant.leasedConnections);
    }
    return tables.setHome(grant, fixed);
}

} // namespace daisyrelay
