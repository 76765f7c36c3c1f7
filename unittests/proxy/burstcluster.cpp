#include "burstcluster.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static const ServiceId Service { "s" };
static constexpr Duration HopTime = 1ms;
static constexpr double LinkBytesPerSecond = 175'000; // 1.4 Mbit/s in each direction.
static constexpr std::size_t ExchangeBytes = 400; // Of a statement to a server, or of its response.
static constexpr std::size_t ServerQueueLimit = 20;
static constexpr Duration HonestRefusalTime = 30ms; // 10 ms, and two round trips of a statement over loaded links.
static constexpr int MaxAttempts = 3; // A caller sends a refused operation twice more.
static constexpr std::array<std::chrono::milliseconds, BurstCluster::Classes> Targets { 150ms, 300ms, 600ms };

BurstCluster::BurstCluster(std::size_t entries, std::uint32_t seed) : random_(seed), entries_(entries)
{
    EntryUpdate update;
    RouteConfiguration configuration;
    configuration.version = 1;
    for (std::size_t priority = 0; priority < Classes; ++priority) {
        configuration.routes.push_back({ "db" + std::to_string(priority), Service, ReadGuarantee::BoundedStaleness,
            1500ms, 1000ms, Targets.at(priority), static_cast<std::uint32_t>(priority), false });
    }
    configuration.services.push_back({ Service, 40, 0 });
    update.configuration = encodeConfigurationUpdate(configuration);
    update.topology.emplace();
    update.topology->index = 1;
    update.homes.emplace();
    update.homes->version = 1;
    update.homes->isLast = true;
    for (std::size_t at = 0; at < entries; ++at) {
        vms.emplace_back().id = VmId { "e" + std::to_string(at) };
    }
    for (std::size_t at = 0; at < 3; ++at) {
        const std::string name = "b" + std::to_string(at);
        servers[name] = {};
        update.topology->backends.push_back(
            { BackendId { name }, 1, Service, name, 80, ZoneId { "z" + std::to_string(at) }, 5, false, at == 0 });
        BackendHomes homes { BackendId { name }, {} };
        for (const std::string suffix : { "a", "b" }) {
            vms.emplace_back().id = VmId { "h" + std::to_string(at) + suffix };
            homes.entries.push_back(vms.back().id);
        }
        update.homes->homes.push_back(homes);
    }
    update.topology->primaries.push_back({ Service, BackendId { "b0" }, 1 });
    for (std::size_t at = 0; at < vms.size(); ++at) {
        Vm &vm = vms[at];
        vm.core = std::make_unique<ProxyCore>(
            ZoneId { "z" + std::to_string(at % 3) }, vm.log, vm.metrics, (at + 1) * 1'000'000);
        EntryUpdate own = update;
        if (at >= entries) {
            own.quotas.push_back({ BackendId { "b" + std::to_string((at - entries) / 2) }, 20 });
        }
        vm.core->onControlUpdate(now, own);
        this->at(now + std::chrono::microseconds(600 * at), [this, at]() { tick(at); });
    }
    run(1s);
}

void BurstCluster::at(Instant when, std::function<void()> action)
{
    events_.emplace(when, std::move(action));
}

void BurstCluster::run(Duration duration)
{
    const Instant end = now + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto event = events_.extract(events_.begin());
        now = std::max(now, event.key());
        event.mapped()();
    }
    now = end;
}

void BurstCluster::tick(std::size_t index)
{
    if (vms[index].isDead) {
        return;
    }
    vms[index].core->onControlUpdate(now, {});
    vms[index].core->tick(now);
    perform(index);
    at(now + 10ms, [this, index]() { tick(index); });
}

std::size_t BurstCluster::indexOf(const VmId &id) const
{
    return static_cast<std::size_t>(
        std::find_if(vms.begin(), vms.end(), [&](const Vm &vm) { return vm.id == id; }) - vms.begin());
}

void BurstCluster::kill(const VmId &id)
{
    const std::size_t index = indexOf(id);
    vms[index].isDead = true;
    std::erase_if(connections_, [index](const auto &entry) { return entry.first.first == index; });
}

Instant BurstCluster::passLink(Instant &freeAt, Instant from, std::size_t bytes) const
{
    freeAt = std::max(freeAt, from)
        + std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / LinkBytesPerSecond));
    return freeAt;
}

std::shared_ptr<const BurstCluster::Tallies> BurstCluster::load(
    double statementsPerSecond, Duration duration, bool awaitsAll)
{
    auto tallies = std::make_shared<Tallies>();
    std::exponential_distribution<double> interval(statementsPerSecond);
    double seconds = interval(random_);
    for (; seconds < std::chrono::duration<double>(duration).count(); seconds += interval(random_)) {
        Operation operation;
        operation.entry = random_() % entries_;
        const std::uint32_t drawn = random_() % 10;
        operation.priority = drawn < 2 ? 0 : (drawn < 6 ? 1 : 2);
        operation.isWrite = random_() % 10 < 2;
        operation.tallies = tallies;
        at(now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
            [this, operation]() { sendOperation(operation); });
    }
    run(duration);
    if (awaitsAll) {
        run(4s);
    }
    return tallies;
}

void BurstCluster::sendOperation(Operation operation)
{
    Vm &vm = vms[operation.entry];
    const std::string database = "db" + std::to_string(operation.priority);
    const SessionId session = vm.nextSession++;
    vm.core->onSessionOpened(now, session, database);
    if (operation.attempts++ == 0) {
        ++(*operation.tallies)[operation.priority].sent;
    }
    operation.sentAt = now;
    Statement statement;
    statement.id = "q" + std::to_string(nextId_++);
    statement.type = operation.isWrite ? StatementType::Write : StatementType::Read;
    statement.text = "FETCH item-with-a-usual-name-" + statement.id + std::string(60, 'x');
    const std::size_t entry = operation.entry;
    operations_[{ entry, session }] = std::move(operation);
    vm.core->onStatement(now, session, statement);
    perform(entry);
    if (static_cast<double>(random_() % 1000) < leavingFraction * 1000) {
        at(now + 40ms, [this, entry, session, id = statement.id]() {
            if (operations_.erase({ entry, session }) > 0) {
                leftAt_[id] = now;
                vms[entry].core->onSessionClosed(now, session);
                perform(entry);
            }
        });
    }
}

void BurstCluster::onResponse(std::size_t entry, SessionId session, const CallerResponse &response)
{
    const auto found = operations_.find({ entry, session });
    if (found == operations_.end()) {
        return;
    }
    Operation operation = std::move(found->second);
    operations_.erase(found);
    at(now, [this, entry, session]() { vms[entry].core->onSessionClosed(now, session); });
    Tally &tally = (*operation.tallies)[operation.priority];
    const Duration latency = now - operation.sentAt;
    if (response.code == ResponseCode::Ok) {
        ++(latency <= Targets.at(operation.priority) ? tally.onTime : tally.late);
        return;
    }
    if (response.code != ResponseCode::Busy) {
        ++tally.other;
        return;
    }
    ++tally.refused;
    tally.slowRefusals += latency > HonestRefusalTime ? 1 : 0;
    const std::string marker = "come back in ";
    const std::size_t position = response.detail.find(marker);
    const int retryAfter
        = position == std::string::npos ? 0 : std::stoi(response.detail.substr(position + marker.size()));
    if (operation.attempts < MaxAttempts) {
        at(now + std::chrono::milliseconds(std::max(retryAfter, 1)), [this, operation]() { sendOperation(operation); });
    }
}

void BurstCluster::perform(std::size_t index)
{
    Vm &vm = vms[index];
    for (std::vector<ProxyAction> actions = vm.core->takeActions(); !actions.empty();
         actions = vm.core->takeActions()) {
        for (ProxyAction &action : actions) {
            if (auto *send = std::get_if<SendResponse>(&action); send != nullptr) {
                onResponse(index, send->session, send->response);
            } else if (auto *message = std::get_if<SendToEntry>(&action); message != nullptr) {
                deliver(index, std::move(*message));
            } else if (auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                const Instant sent = passLink(vm.outgoingFreeAt, now, ExchangeBytes);
                at(sent + HopTime, [this, index, exchange = *exchange]() { runExchange(index, exchange); });
            } else if (auto *close = std::get_if<CloseBackendConnection>(&action); close != nullptr) {
                connections_.erase({ index, close->connection });
            } else if (auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                const ConnectionId id = open->connection;
                const std::string name = open->backend.id.value;
                ++servers[name].attempts;
                at(now + 2 * HopTime, [this, index, id, name]() {
                    if (servers[name].isDead) {
                        vms[index].core->onConnectionLost(now, id, ConnectionLoss::Refused);
                    } else if (!vms[index].isDead) {
                        connections_[{ index, id }] = name;
                        vms[index].core->onConnectionOpened(now, id);
                    }
                    perform(index);
                });
            }
        }
    }
}

void BurstCluster::deliver(std::size_t from, SendToEntry message)
{
    const VmId &sender = vms[from].id;
    const std::size_t to = indexOf(message.to);
    const std::optional<Duration> delay = intercept ? intercept(sender, message) : Duration::zero();
    if (vms[from].isDead || !delay) {
        return;
    }
    const ClusterPayload payload
        = std::visit([](const auto &content) -> ClusterPayload { return content; }, message.message);
    const std::size_t bytes = encodeClusterMessage({ sender, payload }).size();
    const Instant sent = passLink(vms[from].outgoingFreeAt, now, bytes) + HopTime;
    at(sent, [this, to, sender, message = std::move(message), bytes, delay = *delay]() {
        at(passLink(vms[to].incomingFreeAt, now, bytes) + delay,
            [this, to, sender, message]() { receive(to, sender, message); });
    });
}

void BurstCluster::receive(std::size_t to, const VmId &from, const SendToEntry &message)
{
    if (vms[to].isDead) {
        return;
    }
    ProxyCore &core = *vms[to].core;
    if (const auto *request = std::get_if<ForwardedStatement>(&message.message); request != nullptr) {
        core.onForwardedStatement(now, from, *request);
    } else if (const auto *response = std::get_if<ForwardedStatementResponse>(&message.message); response != nullptr) {
        core.onForwardedStatementResponse(now, from, *response);
    } else if (const auto *end = std::get_if<ForwardedSessionEnd>(&message.message); end != nullptr) {
        core.onForwardedSessionEnd(now, from, *end);
    } else if (const auto *query = std::get_if<PositionRequest>(&message.message); query != nullptr) {
        core.onPositionRequest(now, from, *query);
    } else if (const auto *probe = std::get_if<HomeProbe>(&message.message); probe != nullptr) {
        core.onHomeProbe(from, *probe);
    } else if (const auto *probed = std::get_if<HomeProbeResponse>(&message.message); probed != nullptr) {
        core.onHomeProbeResponse(now, from, *probed);
    } else if (const auto *position = std::get_if<PositionResponse>(&message.message); position != nullptr) {
        core.onPositionResponse(now, from, *position);
    }
    perform(to);
}

void BurstCluster::runExchange(std::size_t vm, const RunExchange &exchange)
{
    const auto found = connections_.find({ vm, exchange.connection });
    if (found == connections_.end()) {
        return;
    }
    const std::string name = found->second;
    Server &server = servers[name];
    ++server.attempts;
    if (server.isDead) {
        connections_.erase(found);
        vms[vm].core->onConnectionLost(now, exchange.connection, ConnectionLoss::Broken);
        perform(vm);
        return;
    }
    std::vector<BackendResponse> responses;
    const Statement *payload = nullptr;
    for (const Statement &statement : exchange.statements) {
        BackendResponse &response = responses.emplace_back();
        response.state = statement.type == StatementType::Begin ? TransactionState::Open : TransactionState::Idle;
        response.position = LogPoint { 1, 100 };
        response.received = statement.type == StatementType::Status ? response.position : std::nullopt;
        response.code
            = name != "b0" && statement.type == StatementType::Begin ? ResponseCode::NotPrimary : response.code;
        if (!statement.id.empty()) {
            payload = &statement;
            response.signature = name + statement.id;
            response.rows.emplace_back(200, 'r');
        }
    }
    const auto finish = [this, vm, id = exchange.connection, responses]() {
        const Instant received = passLink(vms[vm].incomingFreeAt, now, ExchangeBytes) + HopTime;
        at(received, [this, vm, id, responses]() {
            if (connections_.contains({ vm, id })) {
                vms[vm].core->onExchange(now, id, responses);
                perform(vm);
            }
        });
    };
    if (const auto left = payload == nullptr ? leftAt_.end() : leftAt_.find(payload->id); left != leftAt_.end()) {
        startedAfterLeaving += now - left->second >= 30ms ? 1 : 0;
    }
    if (payload == nullptr) {
        finish();
    } else if (server.queue.size() >= ServerQueueLimit) {
        ++server.rejections;
        for (BackendResponse &response : responses) {
            response.code = response.signature.empty() ? response.code : ResponseCode::Busy;
            response.signature.clear();
        }
        at(now, [this, vm, id = exchange.connection, responses]() {
            vms[vm].core->onExchange(now, id, responses);
            perform(vm);
        });
    } else {
        if (payload->type == StatementType::Write) {
            ++runCounts[payload->id];
        }
        startStatement(name, finish);
    }
}

void BurstCluster::startStatement(const std::string &name, std::function<void()> done)
{
    Server &server = servers[name];
    if (server.running >= server.slots) {
        server.queue.push_back(std::move(done));
        return;
    }
    ++server.running;
    ++server.statementsRun;
    at(now + std::chrono::milliseconds(15 + random_() % 20), [this, name, done = std::move(done)]() {
        Server &finished = servers[name];
        --finished.running;
        done();
        if (!finished.queue.empty()) {
            const std::function<void()> next = std::move(finished.queue.front());
            finished.queue.pop_front();
            startStatement(name, next);
        }
    });
}

std::uint64_t BurstCluster::metric(const std::string &name) const
{
    std::uint64_t total = 0;
    for (const Vm &vm : vms) {
        total += static_cast<std::uint64_t>(vm.metrics.value(name));
    }
    return total;
}

int BurstCluster::sum(const Tallies &tallies, int Tally::*member)
{
    int total = 0;
    for (const Tally &tally : tallies) {
        total += tally.*member;
    }
    return total;
}

std::string BurstCluster::describe(const std::string &name, const Tallies &tallies)
{
    std::string text = name;
    for (const Tally &tally : tallies) {
        text += " | sent " + std::to_string(tally.sent) + " on time " + std::to_string(tally.onTime) + " late "
            + std::to_string(tally.late) + " refused " + std::to_string(tally.refused) + " (slowly "
            + std::to_string(tally.slowRefusals) + ") other " + std::to_string(tally.other);
    }
    return text;
}

} // namespace daisyrelay
