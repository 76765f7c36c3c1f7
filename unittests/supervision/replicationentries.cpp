// The part of the replication simulation in which entries write, and a zone may be cut off.
#include "replicationsimulation.h"

namespace daisyrelay {

using namespace std::chrono_literals;

static constexpr int Zones = 3;

bool ReplicationSimulation::hasEntries() const
{
    return faults_ == ReplicationFaults::AnyServerForgets || faults_ == ReplicationFaults::AnyServerOrZone;
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
    for (int zone = 0; hasEntries() && zone < Zones; ++zone) {
        entries_.emplace_back(zone);
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
        entry.recordReport(now_, report.sequence);
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
    std::set<std::string> servers;
    for (const auto &[id, backend] : supervisor_.state().backends()) {
        servers.insert(id.value);
    }
    const PrimaryRecord *primary = supervisor_.state().primaryOf(backendService());
    deliver(entry, std::chrono::milliseconds(1 + draw(5)),
        [&entry, update = message.update, servers, name = primary == nullptr ? "" : primary->backend.value]() {
            entry.onUpdate(update, servers, name);
        });
}

// The primary acknowledges a commit to the entry that has sent it.
void ReplicationSimulation::acknowledgeToEntry(std::uint64_t commit, std::size_t position)
{
    const Server &primary = servers_[primary_];
    ReplicationEntry &entry = entries_[commit % entries_.size()];
    if (!canReach(entry.zone, primary.zone)) {
        return;
    }
    deliver(
        entry, 1ms, [this, &entry, commit, point = LogPoint { commitTerms_[commit], position }, name = primary.name]() {
            if (!entry.writesTo(name)) {
                return;
            }
            if (requiresReceipts) {
                entry.onCommit(commit, point);
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

void ReplicationSimulation::drawEntryFault(Duration lasting)
{
    ReplicationEntry &entry = entries_[static_cast<std::size_t>(draw(static_cast<int>(entries_.size())))];
    switch (draw(faults_ == ReplicationFaults::AnyServerOrZone ? 4 : 2)) {
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
