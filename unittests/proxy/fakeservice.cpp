#include "fakeservice.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static const ServiceId Service { "s" };
static constexpr Duration NetworkDelay = 1ms;

FakeService::FakeService(std::size_t size, Duration revocationBound)
    : core(ZoneId { "z0" }, log, metrics, 1000, {}, FencingPolicy::Platform, revocationBound)
{
    for (std::size_t at = 0; at < size; ++at) {
        servers["b" + std::to_string(at)] = {};
    }
}

void FakeService::configure(ReadGuarantee guarantee, std::chrono::milliseconds timeout)
{
    EntryUpdate update;
    RouteConfiguration configuration;
    configuration.version = ++configVersion;
    configuration.workspaces = workspaces;
    configuration.requiresKeys = !workspaces.empty();
    DatabaseRoute route;
    route.database = "db";
    route.service = Service;
    route.guarantee = guarantee;
    route.maxStaleness = 1500ms;
    route.timeout = timeout;
    route.latencyTarget = 200ms;
    configuration.routes.push_back(route);
    configuration.services.push_back({ Service, 16, syncReplicas });
    configuration.transactionIdleTimeout = 3000ms;
    update.configuration = encodeConfigurationUpdate(configuration);
    update.configVersion = configVersion;
    core.onControlUpdate(now, update);
    reportToControl();
}

void FakeService::sendTopology(std::uint32_t quota)
{
    EntryUpdate update;
    Topology topology;
    topology.index = ++topologyIndex_;
    for (const auto &[name, server] : servers) {
        topology.backends.push_back(
            { BackendId { name }, 1, Service, name, 80, ZoneId { "z" + name.substr(1) }, 2, false, name == primary });
        update.quotas.push_back({ BackendId { name }, quota });
    }
    topology.primaries.push_back({ Service, BackendId { primary }, term });
    update.topology = topology;
    core.onControlUpdate(now, update);
    performActions();
    run(500ms);
}

void FakeService::reportToControl()
{
    core.recordReport(now, ++reportSequence_);
    if (isControlReachable) {
        EntryUpdate update;
        update.sequence = reportSequence_;
        update.configVersion = configVersion;
        update.withdrawn = withdrawn;
        core.onControlUpdate(now, update);
    }
    performActions();
}

void FakeService::breakConnections(const std::string &server)
{
    std::vector<ConnectionId> broken;
    for (const auto &[id, connection] : connections) {
        if (connection.server == server) {
            broken.push_back(id);
        }
    }
    for (const ConnectionId id : broken) {
        connections.erase(id);
        core.onConnectionLost(now, id, ConnectionLoss::Broken);
    }
    performActions();
}

SessionId FakeService::open(const std::string &name, const std::string &key)
{
    const SessionId id = nextSession_++;
    callers[id].name = name;
    callers[id].key = key;
    core.onSessionOpened(now, id, "db", key);
    performActions();
    return id;
}

std::string FakeService::send(
    SessionId session, StatementType type, const std::string &text, const std::string &argument)
{
    Statement statement;
    statement.id = "q" + std::to_string(nextId_++);
    statement.type = type;
    statement.text = text;
    if (type == StatementType::Set || type == StatementType::Prepare || type == StatementType::Execute) {
        statement.name = text;
        statement.argument = argument;
    }
    sessionOfStatement[statement.id] = session;
    core.onStatement(now, session, statement);
    performActions();
    return statement.id;
}

void FakeService::schedule(Duration delay, std::function<void()> action)
{
    scheduled_.push_back({ now + delay, std::move(action) });
}

void FakeService::run(Duration duration)
{
    constexpr Duration Step = 1ms;
    for (const Instant end = now + duration; now < end; now += Step) {
        replicate();
        std::vector<ScheduledAction> ready;
        const auto waiting = std::stable_partition(scheduled_.begin(), scheduled_.end(),
            [this](const ScheduledAction &scheduled) { return scheduled.at <= now; });
        std::move(scheduled_.begin(), waiting, std::back_inserter(ready));
        scheduled_.erase(scheduled_.begin(), waiting);
        for (const ScheduledAction &scheduled : ready) {
            scheduled.action();
            performActions();
        }
        constexpr auto UpdateInterval = 200ms;
        if (now.time_since_epoch() % UpdateInterval == Duration::zero()) {
            reportToControl();
        }
        constexpr auto TickInterval = 10ms;
        if (now.time_since_epoch() % TickInterval == Duration::zero()) {
            core.tick(now);
            performActions();
        }
    }
}

CallerResponse FakeService::awaitResponse(SessionId session, Duration maxWait)
{
    for (const Instant end = now + maxWait; callers[session].responses.empty() && now < end;) {
        run(1ms);
    }
    if (callers[session].responses.empty()) {
        violation = "no response";
        return {};
    }
    CallerResponse next = callers[session].responses.front();
    callers[session].responses.pop_front();
    return next;
}

void FakeService::performActions()
{
    for (std::vector<ProxyAction> actions = core.takeActions(); !actions.empty(); actions = core.takeActions()) {
        for (ProxyAction &action : actions) {
            if (auto *accept = std::get_if<AcceptSession>(&action); accept != nullptr) {
                callers[accept->session].isAccepted = true;
            } else if (auto *send = std::get_if<SendResponse>(&action); send != nullptr) {
                callers[send->session].responses.push_back(std::move(send->response));
            } else if (auto *close = std::get_if<CloseSession>(&action); close != nullptr) {
                callers[close->session].isClosed = true;
                core.onSessionClosed(now, close->session);
            } else if (auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                schedule(NetworkDelay, [this, request = *open]() { openConnection(request.connection, request); });
            } else if (auto *refusal = std::get_if<RejectSession>(&action); refusal != nullptr) {
                callers[refusal->session].isRejected = true;
                CallerResponse response;
                response.code = refusal->code;
                response.detail = refusal->detail;
                callers[refusal->session].responses.push_back(std::move(response));
            } else if (auto *message = std::get_if<SendToEntry>(&action); message != nullptr) {
                if (onMessage) {
                    onMessage(*message);
                }
            } else if (auto *end = std::get_if<CloseBackendConnection>(&action); end != nullptr) {
                connections.erase(end->connection);
            } else if (auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                schedule(NetworkDelay, [this, exchange = *exchange]() { runExchange(exchange); });
            }
        }
    }
}

void FakeService::openConnection(ConnectionId id, const OpenBackendConnection &request)
{
    const std::string &name = request.backend.id.value;
    if (serversRefusingConnections.contains(name)) {
        core.onConnectionLost(now, id, ConnectionLoss::Refused);
        return;
    }
    connections[id].server = name;
    connections[id].workspace = request.workspace;
    const auto openCount = std::count_if(connections.begin(), connections.end(),
        [&name](const auto &connection) { return connection.second.server == name; });
    if (static_cast<std::size_t>(openCount) > maxConnections) {
        violation = name + " has too many connections";
    }
    core.onConnectionOpened(now, id);
}

} // namespace daisyrelay
