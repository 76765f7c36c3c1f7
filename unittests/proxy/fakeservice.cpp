#include "fakeservice.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static const ServiceId Service { "s" };
static constexpr Duration NetworkDelay = 1ms;
static constexpr Duration WorkTime = 5ms;

FakeService::FakeService(std::size_t size)
{
    for (std::size_t at = 0; at < size; ++at) {
        servers["b" + std::to_string(at)] = {};
    }
}

void FakeService::configure(ReadGuarantee guarantee, std::chrono::milliseconds timeout)
{
    EntryUpdate update;
    RouteConfiguration configuration;
    configuration.version = 1;
    DatabaseRoute route;
    route.database = "db";
    route.service = Service;
    route.guarantee = guarantee;
    route.maxStaleness = 1500ms;
    route.timeout = timeout;
    route.target = 200ms;
    configuration.routes.push_back(route);
    configuration.services.push_back({ Service, 16, 0 });
    configuration.transactionIdle = 3000ms;
    update.configuration = configuration;
    core.onUpdate(now, update);
    perform();
}

void FakeService::announce(std::uint32_t quota)
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
    core.onUpdate(now, update);
    perform();
    run(500ms);
}

SessionId FakeService::open(const std::string &name)
{
    const SessionId id = nextSession_++;
    callers[id].name = name;
    core.onSessionOpened(now, id, "db");
    perform();
    return id;
}

std::string FakeService::send(SessionId session, StatementType kind, const std::string &rest, const std::string &more)
{
    Statement statement;
    statement.id = "q" + std::to_string(nextId_++);
    statement.kind = kind;
    statement.text = rest;
    if (kind == StatementType::Set || kind == StatementType::Prepare || kind == StatementType::Execute) {
        statement.name = rest;
        statement.argument = more;
    }
    ownerOfStatement[statement.id] = session;
    core.onStatement(now, session, statement);
    perform();
    return statement.id;
}

void FakeService::later(Duration delay, std::function<void()> act)
{
    due_.push_back({ now + delay, std::move(act) });
}

void FakeService::run(Duration duration)
{
    constexpr Duration Step = 1ms;
    for (const Instant end = now + duration; now < end; now += Step) {
        replicate();
        std::vector<Due> ready;
        const auto waiting
            = std::stable_partition(due_.begin(), due_.end(), [this](const Due &one) { return one.at <= now; });
        std::move(due_.begin(), waiting, std::back_inserter(ready));
        due_.erase(due_.begin(), waiting);
        for (const Due &one : ready) {
            one.act();
            perform();
        }
        constexpr auto UpdateEvery = 200ms;
        if (now.time_since_epoch() % UpdateEvery == Duration::zero()) {
            core.onUpdate(now, {});
        }
        constexpr auto TickEvery = 10ms;
        if (now.time_since_epoch() % TickEvery == Duration::zero()) {
            core.tick(now);
            perform();
        }
    }
}

CallerAnswer FakeService::answer(SessionId session, Duration most)
{
    for (const Instant end = now + most; callers[session].answers.empty() && now < end;) {
        run(1ms);
    }
    if (callers[session].answers.empty()) {
        violation = "no answer";
        return {};
    }
    CallerAnswer next = callers[session].answers.front();
    callers[session].answers.pop_front();
    return next;
}

void FakeService::perform()
{
    for (std::vector<ProxyAction> actions = core.takeActions(); !actions.empty(); actions = core.takeActions()) {
        for (ProxyAction &action : actions) {
            if (auto *greet = std::get_if<GreetCaller>(&action); greet != nullptr) {
                callers[greet->session].greeted = true;
            } else if (auto *send = std::get_if<SendAnswer>(&action); send != nullptr) {
                callers[send->session].answers.push_back(std::move(send->answer));
            } else if (auto *close = std::get_if<CloseSession>(&action); close != nullptr) {
                callers[close->session].closed = true;
                core.onSessionClosed(now, close->session);
            } else if (auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                const ConnectionId id = open->connection;
                const std::string name = open->backend.id.value;
                later(NetworkDelay, [this, id, name]() {
                    if (refusesConnections.contains(name)) {
                        core.onConnectionLost(now, id, ConnectionLoss::Refused);
                    } else {
                        connections[id].server = name;
                        core.onConnectionOpened(now, id);
                    }
                });
            } else if (auto *message = std::get_if<SendToEntry>(&action); message != nullptr) {
                if (onMessage) {
                    onMessage(*message);
                }
            } else if (auto *end = std::get_if<CloseBackendConnection>(&action); end != nullptr) {
                connections.erase(end->connection);
            } else if (auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                later(NetworkDelay, [this, exchange = *exchange]() { runExchange(exchange); });
            }
        }
    }
}

void FakeService::runExchange(const RunExchange &exchange)
{
    const auto found = connections.find(exchange.connection);
    if (found == connections.end() || servers[found->second.server].silent) {
        return;
    }
    Server &server = servers[found->second.server];
    std::vector<BackendAnswer> answers;
    bool ran = false;
    for (const Statement &statement : exchange.statements) {
        ran = ran || !statement.id.empty();
        answers.push_back(runStatement(found->second, statement));
    }
    if (ran && server.losesAnswers) {
        const ConnectionId id = exchange.connection;
        connections.erase(found);
        later(WorkTime, [this, id]() { core.onConnectionLost(now, id, ConnectionLoss::Broken); });
        return;
    }
    later(ran ? WorkTime : NetworkDelay, [this, id = exchange.connection, answers]() {
        if (connections.contains(id)) {
            core.onExchange(now, id, answers);
        }
    });
}

void FakeService::checkPinned(const Connection &connection, const Statement &statement)
{
    const SessionId session = ownerOfStatement[statement.id];
    const Caller &caller = callers[session];
    if (connection.values != caller.values) {
        violation = statement.id + " ran with the values of another session";
    }
    if (connection.inTransaction && !connection.owner.empty() && connection.owner != caller.name) {
        violation = statement.id + " ran in a transaction of " + connection.owner;
    }
}

BackendAnswer FakeService::runStatement(Connection &connection, const Statement &statement)
{
    Server &server = servers[connection.server];
    BackendAnswer answer;
    const bool leads = connection.server == primary;
    answer.state = connection.inTransaction ? TransactionState::Open : TransactionState::Idle;
    answer.position = server.applied;
    const bool pinned = connection.inTransaction && !connection.readOnly;
    const bool works = statement.kind == StatementType::Read || statement.kind == StatementType::Write
        || statement.kind == StatementType::Execute || statement.kind == StatementType::Commit;
    if (statement.since && server.applied < *statement.since) {
        ++server.lagged;
        refuse(connection, answer, AnswerCode::Lagging);
        return answer;
    }
    if (works && server.busy) {
        refuse(connection, answer, AnswerCode::Busy);
        return answer;
    }
    if (works && pinned && !leads && !(statement.kind == StatementType::Commit && connection.pending.empty())) {
        refuse(connection, answer, AnswerCode::NotPrimary);
        return answer;
    }
    if (works) {
        ++server.run;
        checkPinned(connection, statement);
        connection.owner = connection.inTransaction ? callers[ownerOfStatement[statement.id]].name : "";
        answer.proof = connection.server + "." + statement.id;
    }
    apply(connection, statement, answer);
    return answer;
}

void FakeService::refuse(const Connection &connection, BackendAnswer &answer, AnswerCode code)
{
    answer.code = code;
    answer.proof.clear();
    answer.state = connection.inTransaction ? TransactionState::Failed : answer.state;
}

void FakeService::apply(Connection &connection, const Statement &statement, BackendAnswer &answer)
{
    const Server &server = servers[connection.server];
    const bool leads = connection.server == primary;
    switch (statement.kind) {
    case StatementType::Begin:
        if (!leads) {
            refuse(connection, answer, AnswerCode::NotPrimary);
            return;
        }
        [[fallthrough]];
    case StatementType::BeginReadOnly:
        connection.inTransaction = true;
        connection.readOnly = statement.kind == StatementType::BeginReadOnly;
        connection.owner.clear();
        answer.state = TransactionState::Open;
        break;
    case StatementType::Commit:
        commit(connection, statement.id);
        connection.inTransaction = false;
        answer.state = TransactionState::Idle;
        answer.position = server.applied;
        break;
    case StatementType::Rollback:
        connection.pending.clear();
        connection.inTransaction = false;
        answer.state = TransactionState::Idle;
        break;
    case StatementType::Set:
        connection.values[statement.name] = statement.argument;
        break;
    case StatementType::Reset:
        connection.values.clear();
        connection.prepared.clear();
        break;
    case StatementType::Prepare:
        connection.prepared[statement.name] = (statement.preparesWrite ? "PUT " : "FETCH ") + statement.argument;
        break;
    case StatementType::Read:
        answer = runRead(connection, statement, statement.text);
        break;
    case StatementType::Write:
        if (!leads) {
            refuse(connection, answer, AnswerCode::NotPrimary);
            return;
        }
        connection.pending.push_back({ statement.id, statement.text, statement.id, 0, 0 });
        if (!connection.inTransaction) {
            commit(connection, statement.id);
            answer.position = server.applied;
        }
        break;
    case StatementType::Execute:
        if (!connection.prepared.contains(statement.name)) {
            refuse(connection, answer, AnswerCode::UnknownStatement);
            return;
        }
        answer.rows.push_back(connection.prepared[statement.name]);
        break;
    default:
        break;
    }
}

BackendAnswer FakeService::runRead(Connection &connection, const Statement &statement, const std::string &item)
{
    const Server &server = servers[connection.server];
    BackendAnswer answer;
    answer.state = connection.inTransaction ? TransactionState::Open : TransactionState::Idle;
    answer.position = server.applied;
    answer.proof = connection.server + "." + statement.id;
    std::uint64_t newest = 0;
    for (const Write &write : committed) {
        newest = write.item == item && write.number <= server.applied.position ? write.number : newest;
    }
    answer.rows.push_back(std::to_string(newest));
    return answer;
}

void FakeService::commit(Connection &connection, const std::string &id)
{
    Server &server = servers[connection.server];
    for (Write &write : connection.pending) {
        write.number = nextNumber_++;
        write.term = term;
        committed.push_back(write);
        if (++commitsOf[write.id] > 1) {
            violation = write.id + " took effect twice, the second time for " + id;
        }
        server.applied = { term, write.number };
        history_.emplace_back(now, write.number);
    }
    connection.pending.clear();
}

void FakeService::replicate()
{
    for (auto &[name, server] : servers) {
        if (name == primary) {
            continue;
        }
        for (const Write &write : committed) {
            const auto at = std::find_if(
                history_.begin(), history_.end(), [&](const auto &entry) { return entry.second == write.number; });
            if (write.number > server.applied.position && at != history_.end() && at->first + lag <= now) {
                server.applied = { write.term, write.number };
            }
        }
    }
}

void FakeService::promote(const std::string &server)
{
    if (server == primary) {
        return;
    }
    primary = server;
    ++term;
    const std::uint64_t kept = servers[server].applied.position;
    std::erase_if(committed, [kept](const Write &write) { return write.number > kept; });
    for (auto &[name, other] : servers) {
        other.applied = std::min(other.applied, servers[server].applied);
    }
}

} // namespace daisyrelay
