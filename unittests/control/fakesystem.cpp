#include "fakesystem.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration Step = std::chrono::milliseconds(10);
static constexpr Duration AnnounceInterval = std::chrono::milliseconds(250);
static constexpr Duration ResponseTime = std::chrono::milliseconds(10);
static constexpr Duration ResponseTimeout = std::chrono::milliseconds(250);
static constexpr int Zones = 3;
static constexpr int Percent = 100;

static ZoneId zoneOf(int index)
{
    return ZoneId { "zone" + std::to_string(index % Zones) };
}

FakeSystem::FakeSystem(std::uint32_t seed, int controlVms, int entryCount) : random(seed)
{
    for (int i = 0; i < controlVms; ++i) {
        cores.push_back(std::make_unique<ControlCore>(controlId(i)));
    }
    for (int i = 0; i < entryCount; ++i) {
        addEntry();
    }
    changeLeader(0);
}

GroupKey FakeSystem::groupKey(int group)
{
    return { ServiceId { "rotable-db" }, GroupId { "g" + std::to_string(group) } };
}

VmId FakeSystem::controlId(int index)
{
    return VmId { "control" + std::to_string(index) };
}

int FakeSystem::randomBelow(int limit)
{
    return static_cast<int>(random() % static_cast<std::uint32_t>(limit));
}

void FakeSystem::addEntry()
{
    const int index = static_cast<int>(entries.size());
    const VmId id { "vm" + std::to_string(index) };
    std::vector<VmId> controlVms;
    for (std::size_t i = 0; i < cores.size(); ++i) {
        controlVms.push_back(controlId(static_cast<int>(i)));
    }
    FakeEntry entry;
    entry.zone = zoneOf(index);
    entry.rate = 1.0 + (randomBelow(41) - 20) / 1000.0;
    entry.holder = std::make_unique<LeaseHolder>(id, entry.zone, controlVms);
    entries.emplace(id, std::move(entry));
}

BackendId FakeSystem::addDatabase(int group, int zone, std::uint32_t connections)
{
    FakeDatabase database;
    database.announcement.id = BackendId { "g" + std::to_string(group) + "-" + std::to_string(zone) };
    database.announcement.group = groupKey(group);
    database.announcement.zone = zoneOf(zone);
    database.announcement.connections = connections;
    database.announcement.slots = 2;
    const BackendId id = database.announcement.id;
    databases.emplace(id, std::move(database));
    return id;
}

void FakeSystem::changeLeader(int index)
{
    if (leader >= 0) {
        cores[static_cast<std::size_t>(leader)]->onLeadership(now, false, leaderTerm_);
    }
    leader = index;
    if (leader >= 0) {
        ++leaderTerm_;
        log_.push_back({ leaderTerm_, log_.size() + 1, "" });
        cores[static_cast<std::size_t>(leader)]->onLeadership(now, true, leaderTerm_);
    }
    performAllActions();
}

void FakeSystem::restartControl(int index)
{
    if (leader == index) {
        changeLeader(-1);
    }
    auto &core = cores[static_cast<std::size_t>(index)];
    const std::string snapshot = core->encodeSnapshot();
    core = std::make_unique<ControlCore>(controlId(index));
    (void)core->restoreSnapshot(now, snapshot);
}

const GroupTerm *FakeSystem::termOf(int group) const
{
    const auto &terms = cores.front()->state().terms();
    const auto found = terms.find(groupKey(group));
    return found == terms.end() ? nullptr : &found->second;
}

std::set<Term> FakeSystem::acknowledgingTerms(int group) const
{
    std::set<Term> result;
    for (const auto &[vm, entry] : entries) {
        const LeaseState &lease = entry.holder->state();
        const GroupTerm *term = lease.findTerm(groupKey(group));
        if (lease.isValidAt(entry.clock(now)) && term != nullptr && !term->primary.empty()) {
            result.insert(term->term);
        }
    }
    return result;
}

std::uint32_t FakeSystem::connectionsUsed(const BackendId &backend) const
{
    std::uint32_t sum = 1; // The position query of control.
    for (const auto &[vm, entry] : entries) {
        const auto used = entry.used.find(backend);
        const LeaseState &lease = entry.holder->state();
        const HomeGrant *grant = lease.findGrant(backend);
        const bool isSuspended = now < entry.pausedUntil && !lease.isValidAt(entry.clock(now));
        const std::uint32_t held = used == entry.used.end() ? 0 : used->second;
        sum += isSuspended ? std::min(held, grant == nullptr ? 0 : grant->fixedConnections) : held;
    }
    return sum;
}

bool FakeSystem::write(int group)
{
    const GroupTerm *term = nullptr;
    for (const auto &[vm, entry] : entries) {
        const LeaseState &lease = entry.holder->state();
        const GroupTerm *known = lease.findTerm(groupKey(group));
        if (lease.isValidAt(entry.clock(now)) && known != nullptr && !known->primary.empty()) {
            term = known;
        }
    }
    if (term == nullptr) {
        return false;
    }
    FakeDatabase &primary = databases.at(term->primary);
    if (primary.health != FakeHealth::Healthy || primary.followed > term->term || primary.log.empty()) {
        return false;
    }
    std::vector<FakeDatabase *> replicas;
    for (const BackendId &member : term->members) {
        FakeDatabase &replica = databases.at(member);
        if (member != term->primary && replica.health == FakeHealth::Healthy && replica.followed == term->term) {
            replicas.push_back(&replica);
        }
    }
    primary.log.push_back(term->term);
    if (replicas.empty()) {
        return false; // Written, but never acknowledged.
    }
    replicas[static_cast<std::size_t>(randomBelow(static_cast<int>(replicas.size())))]->log = primary.log;
    acknowledged[groupKey(group)].push_back(primary.point());
    return true;
}

void FakeSystem::run(Duration duration)
{
    const Instant end = now + duration;
    while (now < end) {
        now += Step;
        step();
    }
}

void FakeSystem::step()
{
    if (now >= announceAt_) {
        announceAt_ = now + AnnounceInterval;
        for (auto &[id, database] : databases) {
            if (database.health != FakeHealth::Healthy && database.health != FakeHealth::Stalled) {
                continue;
            }
            replicate(database);
            database.announcement.point = database.point();
            ++database.announcement.version;
            for (std::size_t i = 0; i < cores.size(); ++i) {
                if (database.heardFrom.empty() || now >= database.heardFrom.at(i)) {
                    cores[i]->onAnnouncement(now, database.announcement);
                }
            }
        }
    }
    for (auto &[vm, entry] : entries) {
        if (now >= entry.pausedUntil && now < entry.pausedUntil + Step) {
            updateConnections(entry); // On resume, closes the connections that the lease no longer covers.
        }
    }
    while (!network_.empty() && network_.begin()->first <= now) {
        const Message message = network_.begin()->second;
        network_.erase(network_.begin());
        deliver(message);
    }
    while (!responses_.empty() && responses_.begin()->first <= now) {
        const auto [core, result] = responses_.begin()->second;
        responses_.erase(responses_.begin());
        cores[static_cast<std::size_t>(core)]->onPositionQueryResult(now, result);
    }
    for (auto &[vm, entry] : entries) {
        if (now < entry.pausedUntil) {
            continue;
        }
        updateConnections(entry);
        std::vector<BackendId> releasing;
        for (const auto &[backend, used] : entry.used) {
            const HomeGrant *grant = entry.holder->state().findGrant(backend);
            const std::uint32_t granted
                = grant == nullptr ? 0 : grant->fixedConnections + (grant->entry == vm ? grant->leasedConnections : 0);
            if (used > granted) {
                releasing.push_back(backend);
            }
        }
        const LeaseHolder::Renewal renewal
            = entry.holder->tick(entry.clock(now), entry.views, entry.configVersion, releasing);
        for (const VmId &to : renewal.to) {
            send(vm, to, renewal.request);
        }
    }
    for (const auto &core : cores) {
        core->tick(now);
    }
    performAllActions();
}

void FakeSystem::updateConnections(FakeEntry &entry)
{
    const LeaseState &lease = entry.holder->state();
    const bool isLive = lease.isValidAt(entry.clock(now));
    for (auto &[backend, used] : entry.used) {
        if (lease.findGrant(backend) == nullptr && (!isLive || randomBelow(4) == 0)) {
            used = 0;
        }
    }
    for (const HomeGrant &grant : lease.table.homes) {
        const bool isHome = !grant.entry.empty() && entries.contains(grant.entry) && &entries.at(grant.entry) == &entry;
        const std::uint32_t leased = isHome ? grant.leasedConnections : 0;
        std::uint32_t &used = entry.used[grant.backend];
        if (!isLive) {
            used = std::min(used, grant.fixedConnections); // The end of the lease closes connections immediately.
        } else if (used <= grant.fixedConnections + leased || randomBelow(4) == 0) {
            // Opens all permitted connections and closes revoked ones after a while.
            used = grant.fixedConnections + leased;
        }
    }
}

void FakeSystem::replicate(FakeDatabase &database)
{
    if (database.announcement.role == BackendRole::Primary) {
        return;
    }
    for (const auto &[id, primary] : databases) {
        if (primary.announcement.group == database.announcement.group && primary.health == FakeHealth::Healthy
            && primary.announcement.role == BackendRole::Primary && primary.followed == database.followed) {
            database.log = primary.log;
        }
    }
}

void FakeSystem::send(const VmId &from, const VmId &to, PeerPayload payload)
{
    const auto isVmIsolated = [this](const VmId &vm) { return entries.contains(vm) && entries.at(vm).isIsolated; };
    if (isVmIsolated(from) || isVmIsolated(to) || randomBelow(Percent) < lossPercent) {
        return;
    }
    messageBytes += shouldCountBytes ? encodePeerMessage({ from, payload }).size() : 0;
    network_.emplace(
        now + std::chrono::milliseconds(1 + randomBelow(maxDelayMs)), Message { from, to, std::move(payload) });
}

void FakeSystem::deliver(const Message &message)
{
    if (const auto *request = std::get_if<LeaseRequest>(&message.payload); request != nullptr) {
        for (std::size_t i = 0; i < cores.size(); ++i) {
            if (controlId(static_cast<int>(i)) == message.to) {
                cores[i]->onLeaseRequest(now, *request);
            }
        }
        return;
    }
    const auto found = entries.find(message.to);
    const auto *grant = std::get_if<LeaseGrant>(&message.payload);
    if (found == entries.end() || grant == nullptr) {
        return;
    }
    FakeEntry &entry = found->second;
    if (now < entry.pausedUntil) {
        network_.emplace(entry.pausedUntil, message);
        return;
    }
    entry.holder->onGrant(entry.clock(now), message.from, *grant);
    if (!grant->configJson.empty()) {
        entry.configVersion = std::max(entry.configVersion, grant->configVersion);
    }
}

void FakeSystem::performAllActions()
{
    bool hasActions = true;
    while (hasActions) {
        hasActions = false;
        for (std::size_t i = 0; i < cores.size(); ++i) {
            for (const ControlAction &action : cores[i]->takeActions()) {
                performAction(static_cast<int>(i), action);
                hasActions = true;
            }
        }
    }
}

void FakeSystem::performAction(int core, const ControlAction &action)
{
    if (const auto *proposal = std::get_if<ProposeCommand>(&action); proposal != nullptr) {
        if (core != leader) {
            return;
        }
        log_.push_back({ leaderTerm_, log_.size() + 1, encodeControlCommand(proposal->command) });
        const LogEntry entry = log_.back();
        for (const auto &each : cores) {
            each->onCommitted(now, entry);
        }
    } else if (const auto *message = std::get_if<SendControlMessage>(&action); message != nullptr) {
        send(controlId(core), message->to, message->payload);
    } else if (const auto *query = std::get_if<QueryPosition>(&action); query != nullptr) {
        respond(core, *query);
    } else if (const auto *promote = std::get_if<PromoteBackend>(&action); promote != nullptr) {
        FakeDatabase &database = databases.at(promote->backend);
        const bool isHealthy = database.health == FakeHealth::Healthy && database.followed <= promote->term;
        if (isHealthy) {
            database.followed = promote->term;
            database.announcement.role = BackendRole::Primary;
            database.log.push_back(promote->term);
        }
        cores[static_cast<std::size_t>(core)]->onPromotionResult(
            now, promote->backend, promote->term, isHealthy ? std::optional(database.point()) : std::nullopt);
    } else if (const auto *follow = std::get_if<FollowPrimary>(&action); follow != nullptr) {
        FakeDatabase &database = databases.at(follow->backend);
        if (database.health == FakeHealth::Healthy && database.followed <= follow->term) {
            database.followed = follow->term;
            database.announcement.role = BackendRole::Replica;
            replicate(database);
        }
    }
}

void FakeSystem::respond(int core, const QueryPosition &query)
{
    const FakeDatabase &database = databases.at(query.backend);
    PositionQueryResult result { query.queryId, std::nullopt, database.health == FakeHealth::Crashed };
    Duration delay = database.health == FakeHealth::Crashed ? Step : ResponseTimeout;
    if (database.health == FakeHealth::Healthy) {
        result.point = database.point();
        delay = ResponseTime;
    }
    responses_.emplace(now + delay, std::pair(core, result));
}

} // namespace daisyrelay
