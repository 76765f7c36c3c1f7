#include "controlsimulation.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static constexpr Duration NetworkDelay = 500us;
static constexpr std::size_t ServersPerService = 3;
static constexpr std::uint32_t MaxConnections = 58;
static constexpr std::size_t Zones = 5;
static constexpr Duration HeartbeatInterval = 1200ms;

static std::string zoneOf(std::size_t index)
{
    return "zone-" + std::to_string(index % Zones);
}

static BackendId backendAt(std::size_t index)
{
    return BackendId { "i-00000000" + std::to_string(100 + index) };
}

static ServiceId serviceAt(std::size_t index)
{
    return ServiceId { "service" + std::to_string(index) };
}

ControlSimulation::ControlSimulation(const ControlSize &size)
    : entryUsage(size.entries), size_(size), connectionCounts_(size.services * ServersPerService)
{
    supervisor_ = std::make_unique<Supervisor>(log_, metrics_, 1);
    supervisor_->onLeadership(now_, true, term_, { VmId { "10.0.0.1" } });
    for (std::size_t index = 0; index < size.entries; ++index) {
        entries_.push_back(std::make_unique<Entry>());
        entries_.back()->id = VmId { "10.1.0." + std::to_string(index) };
        startEntry(index);
    }
    putConfiguration(1, 800ms);
}

void ControlSimulation::startEntry(std::size_t index)
{
    Entry &entry = *entries_[index];
    entry.core = std::make_unique<ProxyCore>(ZoneId { zoneOf(index) }, log_, metrics_, (index + 1) * 1000000);
    for (const auto &[id, server] : entry.connections) {
        --connectionCounts_[server];
    }
    entry.connections.clear();
    entry.sessions.clear();
    entry.sequence = 0;
    entry.reportDueAt = now_ + std::chrono::milliseconds(index % 100);
}

void ControlSimulation::restartEntry(std::size_t index)
{
    ++entries_[index]->runId;
    startEntry(index);
}

void ControlSimulation::changeLeader()
{
    supervisor_->onLeadership(now_, false, term_, {});
    supervisor_->onLeadership(now_, true, ++term_, { VmId { "10.0.0.1" } });
}

Supervisor &ControlSimulation::supervisor()
{
    return *supervisor_;
}

void ControlSimulation::putConfiguration(std::uint64_t version, std::chrono::milliseconds timeout)
{
    PutConfiguration change;
    change.configuration.version = version;
    for (std::size_t service = 0; service < size_.services; ++service) {
        change.configuration.services.push_back({ serviceAt(service), MaxConnections, 0 });
        for (std::size_t route = 0; route < size_.routesPerService; ++route) {
            DatabaseRoute added;
            added.database = "db" + std::to_string(service) + "x" + std::to_string(route);
            added.service = serviceAt(service);
            added.guarantee = route == 0 ? ReadGuarantee::Primary : ReadGuarantee::BoundedStaleness;
            added.maxStaleness = 1500ms;
            added.timeout = timeout;
            added.latencyTarget = 200ms;
            change.configuration.routes.push_back(added);
        }
    }
    supervisor_->onRequest(now_, nextId_++, change);
    performControlActions();
}

void ControlSimulation::schedule(Instant at, std::function<void()> action)
{
    events_.emplace(at, std::move(action));
}

void ControlSimulation::run(Duration duration, std::size_t statementsPerSecond)
{
    constexpr Duration TickInterval = 10ms;
    for (const Instant end = now_ + duration; now_ < end; now_ += TickInterval) {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const std::function<void()> action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        sendHeartbeats();
        supervisor_->tick(now_);
        performControlActions();
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            Entry &entry = *entries_[index];
            if (now_ >= entry.reportDueAt) {
                sendReport(index);
            }
            entry.core->tick(now_);
            constexpr std::size_t TicksPerSecond = 1s / TickInterval;
            if (std::uniform_int_distribution<std::size_t>(0, TicksPerSecond - 1)(random_) < statementsPerSecond) {
                sendStatement(index);
            }
            performEntryActions(index);
        }
    }
}

// Spreads the heartbeats of all servers over the interval.
void ControlSimulation::sendHeartbeats()
{
    const std::size_t servers = size_.services * ServersPerService;
    const std::size_t due = std::max<std::size_t>(1, servers * 10ms / HeartbeatInterval);
    for (std::size_t count = 0; count < due; ++count) {
        const std::size_t index = nextHeartbeat_++ % servers;
        BackendHeartbeat heartbeat;
        heartbeat.sequence = ++heartbeatSequence_;
        heartbeat.record = { backendAt(index), 1, serviceAt(index / ServersPerService),
            "10.2." + std::to_string(index / 200) + "." + std::to_string(index % 200), 8080, ZoneId { zoneOf(index) },
            2, false, index % ServersPerService == 0 };
        supervisor_->onRequest(now_, nextId_++, heartbeat);
    }
    performControlActions();
}

// Returns when a message of \p bytes has crossed the link of \p entry.
Instant ControlSimulation::transmit(Entry &entry, std::size_t index, std::size_t bytes)
{
    const auto duration = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(size_.linkBytesPerSecond)));
    entry.linkFreeAt = std::max(entry.linkFreeAt, now_) + duration;
    entryUsage[index].bytes += bytes;
    ++entryUsage[index].messages;
    return entry.linkFreeAt + NetworkDelay;
}

void ControlSimulation::sendReport(std::size_t index)
{
    Entry &entry = *entries_[index];
    EntryReport report;
    report.name = entry.id.value;
    report.runId = entry.runId;
    report.sequence = ++entry.sequence;
    entry.core->fillReport(now_, report);
    entry.core->recordReport(now_, report.sequence);
    entry.reportDueAt = now_ + 1s;
    const std::size_t bytes = encodeClusterMessage({ entry.id, report }).size();
    control.bytes += bytes;
    ++control.messages;
    schedule(transmit(entry, index, bytes), [this, id = entry.id, report]() {
        supervisor_->onReport(now_, id, report);
        performControlActions();
    });
}

void ControlSimulation::performControlActions()
{
    for (std::vector<SupervisionAction> actions = supervisor_->takeActions(); !actions.empty();
         actions = supervisor_->takeActions()) {
        for (SupervisionAction &action : actions) {
            if (const auto *proposal = std::get_if<ProposeSupervision>(&action); proposal != nullptr) {
                supervisor_->onCommitted(
                    now_, { term_, ++logIndex_, encodeSupervisionCommand(proposal->command), LogEntryKind::Command });
            } else if (auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
                const auto found = std::find_if(entries_.begin(), entries_.end(),
                    [update](const auto &entry) { return entry->id == update->entry; });
                const auto index = static_cast<std::size_t>(found - entries_.begin());
                const std::size_t bytes = encodeClusterMessage({ VmId { "10.0.0.1" }, update->update }).size();
                control.bytes += bytes;
                ++control.messages;
                schedule(transmit(**found, index, bytes),
                    [this, index, runId = (*found)->runId, message = std::move(update->update)]() {
                        Entry &entry = *entries_[index];
                        if (entry.runId != runId) {
                            return;
                        }
                        entry.core->onControlUpdate(now_, message);
                        entry.reportDueAt
                            = std::min(entry.reportDueAt, now_ + std::chrono::milliseconds(message.reportIntervalMs));
                        if (!message.configuration.empty() || message.topology || !message.quotas.empty()) {
                            entry.reportDueAt = now_;
                        }
                        performEntryActions(index);
                    });
            } else if (const auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
                ++probes;
                ProbeOutcome outcome;
                outcome.probeId = probe->probeId;
                outcome.result = ProbeResult::IsPrimary;
                schedule(now_ + 2 * NetworkDelay, [this, outcome]() {
                    supervisor_->onProbe(now_, outcome);
                    performControlActions();
                });
            }
        }
    }
}

void ControlSimulation::performEntryActions(std::size_t index)
{
    Entry &entry = *entries_[index];
    for (std::vector<ProxyAction> actions = entry.core->takeActions(); !actions.empty();
         actions = entry.core->takeActions()) {
        for (ProxyAction &action : actions) {
            if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                ++connectionsOpened;
                const std::size_t server = std::stoul(open->backend.id.value.substr(10)) - 100;
                const bool isAccepted = connectionCounts_[server] < MaxConnections;
                connectionCounts_[server] += isAccepted ? 1 : 0;
                connectionsRefused += isAccepted ? 0 : 1;
                if (isAccepted) {
                    entry.connections[open->connection] = server;
                }
                schedule(now_ + 12ms, [this, index, isAccepted, id = open->connection, runId = entry.runId]() {
                    if (entries_[index]->runId != runId) {
                        return;
                    }
                    if (isAccepted) {
                        entries_[index]->core->onConnectionOpened(now_, id);
                    } else {
                        entries_[index]->core->onConnectionLost(now_, id, ConnectionLoss::ConnectionLimit);
                    }
                    performEntryActions(index);
                });
            } else if (const auto *close = std::get_if<CloseBackendConnection>(&action); close != nullptr) {
                if (const auto found = entry.connections.find(close->connection); found != entry.connections.end()) {
                    --connectionCounts_[found->second];
                    entry.connections.erase(found);
                }
            } else if (const auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                runExchange(index, *exchange);
            } else if (const auto *message = std::get_if<SendToEntry>(&action); message != nullptr) {
                forward(index, *message);
            } else if (const auto *response = std::get_if<SendResponse>(&action); response != nullptr) {
                (response->response.code == ResponseCode::Ok ? statementsOk : statementsFailed) += 1;
            } else if (std::holds_alternative<SendReportNow>(action)) {
                entry.reportDueAt = now_;
            }
        }
    }
}

void ControlSimulation::runExchange(std::size_t index, const RunExchange &exchange)
{
    std::vector<BackendResponse> responses;
    for (const Statement &statement : exchange.statements) {
        BackendResponse response;
        response.signature = statement.id.empty() ? "" : "signature";
        response.position = LogPoint { 1, 1 };
        bool &inTransaction = entries_[index]->inTransaction[exchange.connection];
        const bool begins = statement.type == StatementType::Begin || statement.type == StatementType::BeginReadOnly;
        inTransaction = begins || (inTransaction && statement.type != StatementType::Rollback);
        response.state = inTransaction ? TransactionState::Open : TransactionState::Idle;
        responses.push_back(std::move(response));
    }
    schedule(now_ + 9ms, [this, index, runId = entries_[index]->runId, id = exchange.connection, responses]() {
        if (entries_[index]->runId == runId && entries_[index]->connections.contains(id)) {
            entries_[index]->core->onExchange(now_, id, responses);
            performEntryActions(index);
        }
    });
}

void ControlSimulation::forward(std::size_t index, const SendToEntry &message)
{
    const auto target = std::find_if(
        entries_.begin(), entries_.end(), [&message](const auto &entry) { return entry->id == message.to; });
    if (target == entries_.end()) {
        return;
    }
    const auto to = static_cast<std::size_t>(target - entries_.begin());
    schedule(now_ + NetworkDelay, [this, to, from = entries_[index]->id, payload = message.message]() {
        ProxyCore &core = *entries_[to]->core;
        if (const auto *statement = std::get_if<ForwardedStatement>(&payload); statement != nullptr) {
            core.onForwardedStatement(now_, from, *statement);
        } else if (const auto *response = std::get_if<ForwardedStatementResponse>(&payload); response != nullptr) {
            core.onForwardedStatementResponse(now_, from, *response);
        } else if (const auto *end = std::get_if<ForwardedSessionEnd>(&payload); end != nullptr) {
            core.onForwardedSessionEnd(now_, from, *end);
        } else if (const auto *request = std::get_if<PositionRequest>(&payload); request != nullptr) {
            core.onPositionRequest(now_, from, *request);
        } else if (const auto *probe = std::get_if<HomeProbe>(&payload); probe != nullptr) {
            core.onHomeProbe(from, *probe);
        } else if (const auto *probed = std::get_if<HomeProbeResponse>(&payload); probed != nullptr) {
            core.onHomeProbeResponse(now_, from, *probed);
        } else if (const auto *position = std::get_if<PositionResponse>(&payload); position != nullptr) {
            core.onPositionResponse(now_, from, *position);
        }
        performEntryActions(to);
    });
}

void ControlSimulation::sendStatement(std::size_t index)
{
    Entry &entry = *entries_[index];
    const std::size_t service = std::uniform_int_distribution<std::size_t>(0, size_.services - 1)(random_);
    const bool isRead = std::uniform_int_distribution<int>(0, 2)(random_) > 0;
    const std::string database = "db" + std::to_string(service) + (isRead ? "x1" : "x0");
    const auto [found, isNew] = entry.sessions.emplace(database, entry.nextSession);
    if (isNew) {
        entry.core->onSessionOpened(now_, entry.nextSession++, database);
    }
    Statement statement;
    statement.id = "q" + std::to_string(nextId_++);
    statement.type = isRead ? StatementType::Read : StatementType::Write;
    statement.text = "x";
    entry.core->onStatement(now_, found->second, statement);
}

std::size_t ControlSimulation::entriesWithConfiguration(std::uint64_t version) const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
        EntryReport report;
        entry->core->fillReport(now_, report);
        return report.configVersion >= version;
    }));
}

std::size_t ControlSimulation::entriesWithTopology() const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
        EntryReport report;
        entry->core->fillReport(now_, report);
        return report.topologyIndex >= supervisor_->state().topologyIndex();
    }));
}

std::size_t ControlSimulation::readyEntries() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [this](const auto &entry) { return entry->core->isReady(now_); }));
}

void ControlSimulation::resetCounts()
{
    control = {};
    entryUsage.assign(entries_.size(), {});
    connectionsOpened = 0;
    connectionsRefused = 0;
    probes = 0;
    statementsOk = 0;
    statementsFailed = 0;
}

} // namespace daisyrelay
