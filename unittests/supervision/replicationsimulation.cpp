#include "replicationsimulation.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static const ServiceId Service { "s" };

ReplicationSimulation::ReplicationSimulation(std::size_t servers, std::uint64_t seed, ReplicationFaults faults)
    : random_(seed), faults_(faults)
{
    for (std::size_t index = 0; index < servers; ++index) {
        servers_.push_back({ "b" + std::to_string(index), static_cast<int>(index % 3) });
    }
    addEntries();
    supervisor_.onLeadership(now_, true, leaderTerm_, { VmId { "c" } });
    PutConfiguration change;
    change.configuration.version = 1;
    change.configuration.services.push_back({ Service, 16, 1 });
    supervisor_.onRequest(now_, 1, change);
    performActions();
}

ServiceId ReplicationSimulation::backendService()
{
    return Service;
}

int ReplicationSimulation::draw(int limit)
{
    return std::uniform_int_distribution<int>(0, limit - 1)(random_);
}

bool ReplicationSimulation::holdsOneIn(int limit)
{
    return draw(limit) == 0;
}

void ReplicationSimulation::schedule(Duration delay, std::function<void()> action)
{
    events_.emplace(now_ + delay, std::move(action));
}

ReplicationSimulation::Server *ReplicationSimulation::find(const BackendId &backend)
{
    const auto found = std::find_if(
        servers_.begin(), servers_.end(), [&](const Server &server) { return server.name == backend.value; });
    return found == servers_.end() ? nullptr : &*found;
}

void ReplicationSimulation::run(Duration duration)
{
    constexpr Duration StartupTime = 1s;
    constexpr Duration RecoveryTime = 12s;
    constexpr Duration FaultInterval = 300ms;
    const Instant faultsBegin = now_ + StartupTime;
    const Instant faultsEnd = faultsBegin + duration;
    const Instant end = faultsEnd + RecoveryTime;
    for (; now_ < end && violation.empty(); now_ += StepTime) {
        const bool hasFaults = now_ >= faultsBegin && now_ < faultsEnd;
        if (hasFaults && now_.time_since_epoch() % FaultInterval == Duration::zero()) {
            drawFault();
        }
        if (now_ == faultsEnd) {
            endFaults();
        }
        const std::size_t before = acknowledgedCommits;
        step();
        commitsInLastSeconds += now_ > end - 2s ? acknowledgedCommits - before : 0;
    }
}

void ReplicationSimulation::step()
{
    while (!events_.empty() && events_.begin()->first <= now_) {
        const std::function<void()> action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    replicate();
    stepEntries();
    constexpr Duration HeartbeatInterval = 500ms;
    if (now_.time_since_epoch() % HeartbeatInterval == Duration::zero()) {
        sendHeartbeats();
    }
    supervisor_.tick(now_);
    performActions();
}

void ReplicationSimulation::replicate()
{
    Server &primary = servers_[primary_];
    if (!primary.isUp || primary.hasSteppedDown) {
        return;
    }
    constexpr Duration CommitInterval = 20ms;
    if (now_.time_since_epoch() % CommitInterval == Duration::zero()) {
        commitTerms_.push_back(primary.term);
        primary.log.push_back(commitTerms_.size() - 1);
    }
    std::size_t received = 0;
    for (Server &server : servers_) {
        if (&server == &primary || !server.isUp || !server.receives || server.pauseTerm > primary.term
            || !canReach(server.zone, primary.zone) || holdsOneIn(3)) {
            continue;
        }
        server.term = primary.term;
        // A replica that is ahead, or has commits of a former primary, is rolled back to the common part. Logs that
        // agree at a position agree before it.
        std::size_t common = std::min(server.log.size(), primary.log.size());
        while (common > 0 && server.log[common - 1] != primary.log[common - 1]) {
            --common;
        }
        server.log.resize(common);
        constexpr std::size_t MaxCommitsPerStep = 3;
        const std::size_t end = std::min(common + MaxCommitsPerStep, primary.log.size());
        server.log.insert(server.log.end(), primary.log.begin() + static_cast<std::ptrdiff_t>(common),
            primary.log.begin() + static_cast<std::ptrdiff_t>(end));
        received = std::max(received, server.log.size());
    }
    const auto first = std::upper_bound(primary.log.begin(), primary.log.end(), lastReceived_) - primary.log.begin();
    for (auto position = static_cast<std::size_t>(first); position < received; ++position) {
        lastReceived_ = primary.log[position];
        if (hasEntries()) {
            acknowledgeToEntry(lastReceived_, position + 1);
        } else {
            acknowledged_.insert(lastReceived_);
            ++acknowledgedCommits;
        }
    }
}

// A server returns with its log.
void ReplicationSimulation::restart(Server &server)
{
    if (faults_ != ReplicationFaults::AnyServer) {
        server.pauseTerm = 0;
        server.hasSteppedDown = false;
    }
    server.startedAtMs = nextStart_++;
}

// A new server begins with the log of the primary and receives before its first heartbeat.
void ReplicationSimulation::startServer()
{
    constexpr std::size_t MaxServers = 12;
    if (faults_ == ReplicationFaults::AnyServer || servers_.size() >= MaxServers || !servers_[primary_].isUp) {
        return;
    }
    Server added { "b" + std::to_string(servers_.size()), draw(3) };
    if (!canReach(added.zone, servers_[primary_].zone)) {
        return;
    }
    added.startedAtMs = nextStart_++;
    added.term = servers_[primary_].term;
    added.log = servers_[primary_].log;
    added.heartbeatsFrom = now_ + std::chrono::milliseconds(draw(300));
    servers_.push_back(std::move(added));
    schedule(servers_.back().heartbeatsFrom - now_, [this, index = servers_.size() - 1]() { sendHeartbeat(index); });
}

void ReplicationSimulation::sendHeartbeats()
{
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        sendHeartbeat(index);
    }
}

void ReplicationSimulation::sendHeartbeat(std::size_t index)
{
    const Server &server = servers_[index];
    if (!server.isUp || server.hasLeft || !reachesControl(server) || !isLeading_ || now_ < server.heartbeatsFrom) {
        return;
    }
    BackendHeartbeat heartbeat;
    heartbeat.record = { BackendId { server.name }, server.startedAtMs, Service, "10.0.0." + std::to_string(index), 80,
        {}, 2, server.isDraining, index == primary_ && !server.hasSteppedDown };
    heartbeat.sequence = ++sequence_;
    supervisor_.onRequest(now_, sequence_, heartbeat);
    performActions();
}

void ReplicationSimulation::endFaults()
{
    losesProbes_ = false;
    answersLate_ = false;
    cutZone_.reset();
    for (ReplicationEntry &entry : entries_) {
        entry.reachesControl = true;
    }
    for (Server &server : servers_) {
        server.isUp = server.isUp || !server.hasLeft;
        server.reachesControl = true;
        server.receives = true;
    }
}

void ReplicationSimulation::drawFault()
{
    const Duration lasting = std::chrono::milliseconds(50 + draw(holdsOneIn(3) ? 9000 : 1500));
    const std::size_t index
        = holdsOneIn(3) ? primary_ : static_cast<std::size_t>(draw(static_cast<int>(servers_.size())));
    Server &server = servers_[index];
    if (hasEntries() && holdsOneIn(4)) {
        drawEntryFault(lasting);
        return;
    }
    const int kind = draw(9);
    const bool isSpared = index == primary_ || server.hasSteppedDown;
    const bool sparesPrimary = faults_ == ReplicationFaults::ReplicasThatForget;
    if (sparesPrimary && ((isSpared && kind <= 2) || kind == 4 || kind == 5)) {
        return;
    }
    switch (kind) {
    case 0:
        server.isUp = false;
        schedule(lasting, [this, &server]() {
            server.isUp = true;
            restart(server);
        });
        break;
    case 1:
        server.reachesControl = false;
        schedule(lasting, [&server]() { server.reachesControl = true; });
        break;
    case 2:
        server.receives = false;
        schedule(lasting, [&server]() { server.receives = true; });
        break;
    case 3:
        if (faults_ == ReplicationFaults::HomesAndLeavers) {
            drain(index);
            break;
        }
        server.isDraining = true;
        schedule(lasting + 1s, [this, &server, sparesPrimary]() {
            // Another process gets its log.
            server.isDraining = false;
            if (!sparesPrimary || &server != &servers_[primary_]) {
                restart(server);
            }
        });
        break;
    case 4:
        losesProbes_ = true;
        schedule(lasting, [this]() { losesProbes_ = false; });
        break;
    case 5:
        answersLate_ = true;
        schedule(lasting, [this]() { answersLate_ = false; });
        break;
    case 6:
        changeLeader();
        break;
    case 7:
        startServer();
        break;
    default:
        break;
    }
}

void ReplicationSimulation::changeLeader()
{
    if (!isLeading_) {
        return;
    }
    isLeading_ = false;
    supervisor_.onLeadership(now_, false, ++leaderTerm_, {});
    schedule(std::chrono::milliseconds(draw(400)), [this]() {
        isLeading_ = true;
        supervisor_.onLeadership(now_, true, leaderTerm_, { VmId { "c" } });
    });
}

void ReplicationSimulation::performActions()
{
    for (std::vector<SupervisionAction> actions = supervisor_.takeActions(); !actions.empty();
         actions = supervisor_.takeActions()) {
        for (const SupervisionAction &action : actions) {
            performAction(action);
        }
    }
}

void ReplicationSimulation::performAction(const SupervisionAction &action)
{
    if (const auto *proposal = std::get_if<ProposeSupervision>(&action); proposal != nullptr) {
        schedule(2ms, [this, term = leaderTerm_, command = proposal->command]() {
            if (term == leaderTerm_) {
                supervisor_.onCommitted(
                    now_, { term, ++index_, encodeSupervisionCommand(command), LogEntryKind::Command });
                performActions();
            }
        });
    } else if (const auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
        schedule(std::chrono::milliseconds(1 + draw(5)), [this, request = *probe]() { respondToProbe(request); });
    } else if (const auto *promotion = std::get_if<PromoteThroughPlatform>(&action); promotion != nullptr) {
        schedule(2ms, [this, call = *promotion]() { callPlatform(call); });
    } else if (const auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
        sendUpdate(*update);
    }
}

void ReplicationSimulation::respondToProbe(const ProbeBackend &probe)
{
    Server &server = *find(probe.backend.id);
    ProbeOutcome outcome;
    outcome.probeId = probe.probeId;
    const bool isLost = !reachesControl(server) || (losesProbes_ && holdsOneIn(3));
    const bool leads = &server == &servers_[primary_];
    if (leads && server.isUp && reachesControl(server) && probe.kind == ProbeKind::StepDown
        && probe.pauseTerm > server.term) {
        server.hasSteppedDown = true;
    }
    const bool isPrimary = leads && !server.hasSteppedDown;
    if (!server.isUp) {
        outcome.result = ProbeResult::Refused;
    } else if (reachesControl(server)) {
        if (probe.kind == ProbeKind::Pause && probe.pauseTerm > server.term && !leads) {
            server.pauseTerm = std::max(server.pauseTerm, probe.pauseTerm);
        } else if (probe.kind == ProbeKind::Resume) {
            server.pauseTerm = 0;
        }
        outcome.result = probe.kind != ProbeKind::Role ? ProbeResult::Responded
            : isPrimary                                ? ProbeResult::IsPrimary
                                                       : ProbeResult::IsReplica;
        outcome.term = std::max(server.term, server.pauseTerm);
        outcome.ownTerm = server.term;
        outcome.received = { server.log.empty() ? 0 : commitTerms_[server.log.back()], server.log.size() };
        outcome.claimsPrimary = isPrimary;
    }
    if (isLost) {
        outcome = {};
        outcome.probeId = probe.probeId;
    }
    const Duration delay = isLost ? probe.timeout : Duration(1ms);
    schedule(delay, [this, outcome]() {
        supervisor_.onProbe(now_, outcome);
        performActions();
    });
}

void ReplicationSimulation::callPlatform(const PromoteThroughPlatform &call)
{
    Server &server = *find(call.backend);
    const auto index = static_cast<std::size_t>(
        std::find_if(servers_.begin(), servers_.end(), [&](const Server &other) { return &other == &server; })
        - servers_.begin());
    PromotionOutcome outcome = PromotionOutcome::Accepted;
    Duration delay = 2ms;
    if (call.leaderTerm != leaderTerm_ || holdsOneIn(20)) {
        outcome = PromotionOutcome::RateLimited;
    } else if (answersLate_) {
        outcome = PromotionOutcome::Unknown;
        delay = call.timeout;
        // Some are never carried out.
        if (!holdsOneIn(3)) {
            const int maxDelayMs = hasCutsAndLateCalls() ? 12000 : 5000;
            schedule(std::chrono::milliseconds(draw(maxDelayMs)), [this, index, token = call.fencingToken]() {
                highestToken_ = std::max(highestToken_, token);
                promote(index, token);
            });
        }
    } else if (!server.isUp || call.fencingToken < highestToken_) {
        outcome = PromotionOutcome::Rejected;
    } else {
        highestToken_ = call.fencingToken;
        schedule(std::chrono::milliseconds(100 + draw(300)),
            [this, index, token = call.fencingToken]() { promote(index, token); });
    }
    schedule(delay, [this, call, outcome]() {
        supervisor_.onPromotion(now_, call.service, call.fencingToken, outcome);
        performActions();
    });
}

void ReplicationSimulation::promote(std::size_t index, std::uint64_t token)
{
    Server &server = servers_[index];
    if (token < highestToken_ || !server.isUp || index == primary_) {
        return;
    }
    for (const std::uint64_t commit : acknowledged_) {
        if (!std::binary_search(server.log.begin(), server.log.end(), commit)) {
            violation = "commit " + std::to_string(commit) + " is not in the log of " + server.name;
        }
    }
    ++promotionCount;
    server.term = ++term_;
    primary_ = index;
    for (Server &other : servers_) {
        other.pauseTerm = 0;
        other.hasSteppedDown = false;
    }
}

} // namespace daisyrelay
