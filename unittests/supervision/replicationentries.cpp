// The part of the replication simulation in which entries write, and a zone may be cut off.
#include "replicationsimulation.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static constexpr int Zones = 3;

bool ReplicationSimulation::hasEntries() const
{
    return faults_ == ReplicationFaults::AnyServerForgets || hasCutsAndLateCalls();
}

bool ReplicationSimulation::hasCutsAndLateCalls() const
{
    return faults_ == ReplicationFaults::AnyServerOrZone || faults_ == ReplicationFaults::HomesAndLeavers;
}

// Control keeps a majority outside the zone that is cut off.
bool ReplicationSimulation::canReach(int one, int other) const
{
    return one == other || !cutZone_ || (one != *cutZone_ && other != *cutZone_);
}

bool ReplicationSimulation::reachesControl(const Server &server) const
{
    return server.reachesControl && canReach(server.zone, ControlZone);
}

void ReplicationSimulation::addEntries()
{
    const int entriesPerZone = faults_ == ReplicationFaults::HomesAndLeavers ? 3 : 1;
    for (int entry = 0; hasEntries() && entry < Zones * entriesPerZone; ++entry) {
        entries_.emplace_back(entry % Zones);
    }
}

// What reaches a suspended entry waits there.
void ReplicationSimulation::deliver(ReplicationEntry &entry, Duration delay, std::function<void()> action)
{
    schedule(delay, [this, &entry, action = std::move(action)]() {
        if (now_ < entry.suspendedUntil) {
            events_.emplace(entry.suspendedUntil, action);
        } else {
            action();
        }
    });
}

ReplicationEntry::ServerState ReplicationSimulation::stateOf(const Server &server) const
{
    return { server.name, server.startedAtMs,
        { server.log.empty() ? 0 : commitTerms_[server.log.back()], server.log.size() } };
}

void ReplicationSimulation::sendReports()
{
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        ReplicationEntry &entry = entries_[index];
        if (!isLeading_ || !entry.reachesControl || !canReach(entry.zone, ControlZone) || now_ < entry.suspendedUntil) {
            continue;
        }
        EntryReport report;
        report.runId = 1;
        report.sequence = ++sequence_;
        entry.sendReport(now_, report);
        schedule(std::chrono::milliseconds(1 + draw(5)), [this, index, report]() {
            if (isLeading_) {
                supervisor_.onReport(now_, VmId { "e" + std::to_string(index) }, report);
                performActions();
            }
        });
    }
}

void ReplicationSimulation::sendUpdate(const SendEntryUpdate &message)
{
    ReplicationEntry &entry = entries_.at(static_cast<std::size_t>(std::stoi(message.entry.value.substr(1))));
    if (!entry.reachesControl || !canReach(entry.zone, ControlZone)) {
        return;
    }
    std::map<std::string, bool> servers;
    for (const auto &[id, backend] : supervisor_.state().backends()) {
        servers[id.value] = backend.isDraining;
    }
    const PrimaryRecord *primary = supervisor_.state().primaryOf(backendService());
    deliver(entry, std::chrono::milliseconds(1 + draw(5)),
        [&entry, update = message.update, servers, name = primary == nullptr ? "" : primary->backend.value]() {
            entry.onUpdate(update, servers, name);
        });
}

// Each entry that has connections to the primary sends some of the commits.
ReplicationEntry *ReplicationSimulation::writerOf(std::uint64_t commit, const Server &primary)
{
    std::vector<ReplicationEntry *> writers;
    for (ReplicationEntry &entry : entries_) {
        if (entry.writesTo(primary.name)) {
            writers.push_back(&entry);
        }
    }
    return writers.empty() ? nullptr : writers[commit % writers.size()];
}

// The primary acknowledges a commit to the entry that has sent it.
void ReplicationSimulation::acknowledgeToEntry(std::uint64_t commit, std::size_t position)
{
    const Server &primary = servers_[primary_];
    ReplicationEntry *writer = writerOf(commit, primary);
    if (writer == nullptr || !canReach(writer->zone, primary.zone)) {
        return;
    }
    ReplicationEntry &entry = *writer;
    deliver(
        entry, 1ms, [this, &entry, commit, point = LogPoint { commitTerms_[commit], position }, name = primary.name]() {
            if (!entry.writesTo(name)) {
                return;
            }
            if (requiresReceipts) {
                constexpr Duration StatementTimeout = 800ms;
                entry.onCommit(commit, point);
                schedule(StatementTimeout, [&entry, commit]() { entry.giveUp(commit); });
            } else {
                acknowledged_.insert(commit);
                ++acknowledgedCommits;
            }
        });
}

void ReplicationSimulation::stepEntries()
{
    constexpr Duration ReportInterval = 200ms;
    if (now_.time_since_epoch() % ReportInterval == Duration::zero()) {
        sendReports();
    }
    for (ReplicationEntry &entry : entries_) {
        for (const Server &server : servers_) {
            if (!server.isUp) {
                entry.disconnect(server.name);
            } else if (canReach(entry.zone, server.zone)) {
                entry.connect(now_, stateOf(server));
                requestReceipts(entry, server);
            }
        }
    }
}

void ReplicationSimulation::requestReceipts(ReplicationEntry &entry, const Server &server)
{
    if (!entry.awaitsReceipts() || now_ < entry.suspendedUntil) {
        return;
    }
    schedule(1ms, [this, &entry, &server, startedAtMs = server.startedAtMs]() {
        const bool isSameProcess = server.isUp && server.startedAtMs == startedAtMs;
        if (!isSameProcess || !canReach(entry.zone, server.zone)) {
            return;
        }
        deliver(entry, std::chrono::milliseconds(1 + draw(5)), [this, &entry, state = stateOf(server)]() {
            for (const SessionId commit : entry.onStatus(now_, state)) {
                acknowledged_.insert(commit);
                ++acknowledgedCommits;
            }
        });
    });
}

// The servers of a service are replaced one after the other. A replica leaves some time after control has recorded that
// it drains.
void ReplicationSimulation::drain(std::size_t index)
{
    Server &server = servers_[index];
    const bool isAnyDraining = std::any_of(
        servers_.begin(), servers_.end(), [](const Server &other) { return other.isDraining || other.hasLeft; });
    if (index == primary_ || !server.isUp || isAnyDraining) {
        return;
    }
    server.isDraining = true;
    awaitDrain(index, now_);
}

void ReplicationSimulation::awaitDrain(std::size_t index, Instant drainingSince)
{
    const Server &server = servers_[index];
    const BackendRecord *record = supervisor_.state().find(BackendId { server.name });
    if (!server.isDraining || !server.isUp || index == primary_) {
        return;
    }
    if (record == nullptr || !record->isDraining) {
        drainingSince = now_;
    }
    constexpr Duration DrainTime = 7s; // DrainMs of the users' deployments.
    if (now_ - drainingSince >= DrainTime && isLeading_ && reachesControl(server)) {
        leave(index);
        return;
    }
    schedule(50ms, [this, index, drainingSince]() { awaitDrain(index, drainingSince); });
}

// Control removes the record of the server, which receives until it ends. Its successor has its log.
void ReplicationSimulation::leave(std::size_t index)
{
    Server &server = servers_[index];
    server.hasLeft = true;
    supervisor_.onRequest(now_, ++sequence_, BackendLeave { BackendId { server.name }, server.startedAtMs });
    performActions();
    const Duration runningOnFor = std::chrono::milliseconds(draw(4000));
    schedule(runningOnFor, [&server]() { server.isUp = false; });
    schedule(runningOnFor + 1s, [this, &server]() {
        server.hasLeft = false;
        server.isDraining = false;
        server.isUp = true;
        restart(server);
    });
}

void ReplicationSimulation::drawEntryFault(Duration lasting)
{
    ReplicationEntry &entry = entries_[static_cast<std::size_t>(draw(static_cast<int>(entries_.size())))];
    switch (draw(hasCutsAndLateCalls() ? 4 : 2)) {
    case 0:
        entry.reachesControl = false;
        schedule(lasting, [&entry]() { entry.reachesControl = true; });
        break;
    case 1:
        entry.suspendedUntil = std::max(entry.suspendedUntil, now_ + lasting);
        break;
    default:
        if (!cutZone_) {
            cutZone_ = draw(Zones);
            schedule(lasting, [this]() { cutZone_.reset(); });
        }
        break;
    }
}

} // namespace daisyrelay
