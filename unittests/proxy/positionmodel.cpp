// The entries of the simulation, their callers and the messages between them.
#include "positionmodel.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

static const ServiceId Service { "s" };
static constexpr Duration HopTime = 1ms;
static constexpr Duration TickInterval = 10ms;
static constexpr Duration UpdateInterval = 150ms;
static constexpr double MessageLoss = 0.1; ///< While messages are late.

PositionModel::PositionModel(std::uint64_t seed, Options options, const std::vector<Fault> &faults)
    : options_(options), loadRandom_(seed * 3 + 1), networkRandom_(seed * 3 + 2)
{
    for (std::size_t at = 0; at < Servers; ++at) {
        servers_.at(at).name = "b" + std::to_string(at);
    }
    primaries_.push_back({ 0, 1 });
    for (std::size_t at = 0; at < options_.entries; ++at) {
        const std::string name = "e" + std::to_string(at);
        Entry &entry = entries_.emplace_back([this, name](std::string_view line) {
            if (options_.traces && line.find("session.") == std::string_view::npos) {
                note(name + " " + std::string(line));
            }
        });
        entry.id = VmId { name };
        for (std::size_t server = 0; server < Servers; ++server) {
            // The others reach replicas themselves, and at times no server at all.
            const bool isHome = at == 0 || loadRandom_() % 5 < 2;
            entry.quotas.at(server) = isHome ? 4 : 0;
        }
        start(at);
        this->at(now_ + std::chrono::microseconds(1700 * at), [this, at]() { tick(at); });
        this->at(now_ + std::chrono::microseconds(2300 * at), [this, at]() { update(at); });
    }
    for (const Fault &fault : faults) {
        this->at(startedAt_ + fault.at, [this, fault]() { apply(fault); });
    }
    this->at(now_ + 300ms, [this]() { startCaller(); });
}

void PositionModel::at(Instant when, std::function<void()> action)
{
    events_.emplace(when, std::move(action));
}

void PositionModel::run()
{
    const Instant end = startedAt_ + RunTime;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = event.key();
        event.mapped()();
    }
}

void PositionModel::note(const std::string &line)
{
    if (options_.traces) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - startedAt_).count();
        trace_.push_back(std::to_string(ms) + " " + line);
    }
}

std::chrono::milliseconds PositionModel::drawMs(std::int64_t below)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(networkRandom_() % static_cast<std::uint64_t>(below)));
}

bool PositionModel::isChance(double probability)
{
    constexpr std::uint64_t Steps = 1'000'000;
    return static_cast<double>(networkRandom_() % Steps) < probability * static_cast<double>(Steps);
}

const std::deque<std::string> &PositionModel::trace() const
{
    return trace_;
}

const PositionModel::Tally &PositionModel::tally() const
{
    return tally_;
}

std::vector<std::string> PositionModel::violations() const
{
    std::vector<std::string> found;
    for (const OldRead &read : oldReads_) {
        // Commits that a promotion rolled back do not count.
        if (std::any_of(log_.begin(), log_.end(), [&](const Commit &commit) { return commit.id == read.commit; })) {
            found.push_back(read.description);
        }
    }
    return found;
}

void PositionModel::start(std::size_t index)
{
    Entry &entry = entries_.at(index);
    entry.run = (networkRandom_() >> 2U) | 1U;
    entry.isConfigured = false;
    entry.inputs.clear();
    entry.stalledUntil = {};
    entry.stallAfterBegin = {};
    entry.core
        = std::make_unique<ProxyCore>(ZoneId { "z" + std::to_string(index) }, entry.log, entry.metrics, entry.run);
    entry.core->setReadTrace(options_.traces);
}

void PositionModel::tick(std::size_t index)
{
    Entry &entry = entries_.at(index);
    if (entry.core && now_ >= entry.stalledUntil) {
        entry.core->tick(now_);
        perform(index);
    }
    at(now_ + TickInterval, [this, index]() { tick(index); });
}

void PositionModel::update(std::size_t index)
{
    at(now_ + UpdateInterval, [this, index]() { update(index); });
    Entry &entry = entries_.at(index);
    if (!entry.core || now_ < entry.cutUntil) {
        return;
    }
    EntryUpdate update;
    if (!entry.isConfigured) {
        entry.isConfigured = true;
        RouteConfiguration configuration;
        configuration.version = 1;
        configuration.routes.push_back(
            { "db", Service, ReadGuarantee::BoundedStaleness, MaxStaleness, 800ms, 250ms, 0, false });
        configuration.services.push_back({ Service, 40, 0 });
        configuration.transactionIdleTimeout = 3s;
        update.configuration = encodeConfigurationUpdate(configuration);
        update.homes.emplace();
        update.homes->version = 1;
        update.homes->isLast = true;
        for (std::size_t server = 0; server < Servers; ++server) {
            BackendHomes homes { BackendId { servers_.at(server).name }, {} };
            for (const Entry &other : entries_) {
                if (other.quotas.at(server) > 0) {
                    homes.entries.push_back(other.id);
                }
            }
            update.homes->homes.push_back(homes);
            update.quotas.push_back({ BackendId { servers_.at(server).name }, entry.quotas.at(server) });
        }
    }
    update.configVersion = 1;
    const std::size_t known
        = primaries_.size() > 1 && now_ < entry.outdatedUntil ? primaries_.size() - 1 : primaries_.size();
    const PrimaryChange &primary = primaries_.at(known - 1);
    update.topology.emplace();
    update.topology->index = known;
    update.topologyIndex = known;
    for (std::size_t server = 0; server < Servers; ++server) {
        const std::string &name = servers_.at(server).name;
        update.topology->backends.push_back({ BackendId { name }, 1, Service, name, 80,
            ZoneId { "z" + std::to_string(server) }, 4, false, server == primary.server });
    }
    update.topology->primaries.push_back(
        { Service, BackendId { servers_.at(primary.server).name }, primary.generation });
    deliver(index, entry.run, [this, update](ProxyCore &core) { core.onControlUpdate(now_, update); });
}

void PositionModel::deliver(std::size_t index, std::uint64_t run, std::function<void(ProxyCore &)> handler)
{
    Entry &entry = entries_.at(index);
    if (!entry.core || (run != 0 && run != entry.run)) {
        return;
    }
    if (now_ < entry.stalledUntil) {
        entry.inputs.push_back({ run, std::move(handler) });
        return;
    }
    handler(*entry.core);
    perform(index);
}

void PositionModel::perform(std::size_t index)
{
    Entry &entry = entries_.at(index);
    const std::uint64_t run = entry.run;
    bool hasSentBegin = false;
    for (std::vector<ProxyAction> actions = entry.core->takeActions(); !actions.empty();
         actions = entry.core->takeActions()) {
        for (ProxyAction &action : actions) {
            if (const auto *accept = std::get_if<AcceptSession>(&action); accept != nullptr) {
                at(now_ + HopTime, [this, session = accept->session]() { continueCaller(session); });
            } else if (const auto *refusal = std::get_if<RejectSession>(&action); refusal != nullptr) {
                callers_.erase(refusal->session);
            } else if (const auto *response = std::get_if<SendResponse>(&action); response != nullptr) {
                onResponse(response->session, response->response);
            } else if (const auto *closed = std::get_if<CloseSession>(&action); closed != nullptr) {
                callers_.erase(closed->session);
                entry.core->onSessionClosed(now_, closed->session);
            } else if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                openConnection(index, *open);
            } else if (const auto *close = std::get_if<CloseBackendConnection>(&action); close != nullptr) {
                connections_.erase({ index, run, close->connection });
            } else if (const auto *message = std::get_if<SendToEntry>(&action); message != nullptr) {
                send(index, *message);
            } else if (const auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                const ConnectionKey key { index, run, exchange->connection };
                const auto found = connections_.find(key);
                const bool isSlow = found != connections_.end() && now_ < entry.slowUntil.at(found->second.server);
                at(now_ + HopTime + (isSlow ? drawMs(100) : 0ms),
                    [this, key, exchange = *exchange]() { runExchange(key, exchange); });
                hasSentBegin = hasSentBegin || exchange->statements.back().type == StatementType::Begin;
            }
        }
    }
    if (hasSentBegin && entry.stallAfterBegin != Duration::zero()) {
        stall(index, std::exchange(entry.stallAfterBegin, {}));
    }
}

void PositionModel::openConnection(std::size_t index, const OpenBackendConnection &request)
{
    const std::uint64_t run = entries_.at(index).run;
    at(now_ + 2 * HopTime, [this, index, run, request]() {
        const auto found = std::find_if(servers_.begin(), servers_.end(),
            [&](const Server &server) { return server.name == request.backend.id.value; });
        const auto server = static_cast<std::size_t>(found - servers_.begin());
        if (entries_.at(index).run != run) {
            return;
        }
        if (!found->isUp || (server == primary_ && now_ < entries_.at(index).limitedUntil)) {
            const ConnectionLoss loss = found->isUp ? ConnectionLoss::ConnectionLimit : ConnectionLoss::Refused;
            deliver(index, run,
                [this, id = request.connection, loss](ProxyCore &core) { core.onConnectionLost(now_, id, loss); });
            return;
        }
        connections_[{ index, run, request.connection }].server = server;
        deliver(index, run, [this, id = request.connection](ProxyCore &core) { core.onConnectionOpened(now_, id); });
    });
}

// A message is addressed to a VM, so that a restarted receiver gets the messages to its former run.
void PositionModel::send(std::size_t from, const SendToEntry &message)
{
    const bool isLate = now_ < messagesLateUntil_;
    if (isLate && isChance(MessageLoss)) {
        return;
    }
    const auto to = static_cast<std::size_t>(std::find_if(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        return entry.id == message.to;
    }) - entries_.begin());
    at(now_ + HopTime + (isLate ? drawMs(2000) : 0ms), [this, to, sender = entries_.at(from).id, message]() {
        deliver(to, 0, [this, sender, message](ProxyCore &core) {
            if (const auto *request = std::get_if<ForwardedStatement>(&message.message); request != nullptr) {
                core.onForwardedStatement(now_, sender, *request);
            } else if (const auto *response = std::get_if<ForwardedStatementResponse>(&message.message);
                       response != nullptr) {
                core.onForwardedStatementResponse(now_, sender, *response);
            } else if (const auto *end = std::get_if<ForwardedSessionEnd>(&message.message); end != nullptr) {
                core.onForwardedSessionEnd(now_, sender, *end);
            } else if (const auto *query = std::get_if<PositionRequest>(&message.message); query != nullptr) {
                core.onPositionRequest(now_, sender, *query);
            } else if (const auto *found = std::get_if<PositionResponse>(&message.message); found != nullptr) {
                ++tally_.remotePositions;
                core.onPositionResponse(now_, sender, *found);
            } else if (const auto *probe = std::get_if<HomeProbe>(&message.message); probe != nullptr) {
                core.onHomeProbe(sender, *probe);
            } else if (const auto *probed = std::get_if<HomeProbeResponse>(&message.message); probed != nullptr) {
                core.onHomeProbeResponse(now_, sender, *probed);
            }
        });
    });
}

void PositionModel::startCaller()
{
    at(now_ + options_.loadInterval, [this]() { startCaller(); });
    const std::size_t entry = loadRandom_() % entries_.size();
    Caller caller;
    caller.entry = entry;
    const std::uint64_t kind = loadRandom_() % 20;
    const std::uint64_t length = loadRandom_() % 3;
    if (kind < 5) {
        caller.script = { StatementType::Write };
    } else if (kind < 12) {
        caller.script = { StatementType::Read };
    } else {
        const bool isReadOnly = kind < 14;
        const bool writes = kind >= 18;
        caller.script.push_back(isReadOnly ? StatementType::BeginReadOnly : StatementType::Begin);
        for (std::uint64_t at = 0; at < length; ++at) {
            caller.script.push_back(writes && loadRandom_() % 2 == 0 ? StatementType::Write : StatementType::Read);
        }
        caller.script.push_back(loadRandom_() % 8 == 0 ? StatementType::Rollback : StatementType::Commit);
    }
    const SessionId session = nextId_++;
    const Entry &chosen = entries_.at(entry);
    if (!chosen.core) {
        return;
    }
    callers_[session] = std::move(caller);
    deliver(entry, chosen.run, [this, session](ProxyCore &core) { core.onSessionOpened(now_, session, "db"); });
}

void PositionModel::continueCaller(SessionId session)
{
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        return;
    }
    Caller &caller = found->second;
    const Entry &entry = entries_.at(caller.entry);
    if (caller.next == caller.script.size() || !entry.core) {
        const std::size_t index = caller.entry;
        callers_.erase(found);
        deliver(index, entry.run, [this, session](ProxyCore &core) { core.onSessionClosed(now_, session); });
        return;
    }
    if (caller.next == 0) {
        caller.firstByteAt = now_;
    }
    Statement statement;
    statement.id = "q" + std::to_string(nextId_++);
    statement.type = caller.script.at(caller.next++);
    statement.text = "x";
    firstBytes_[statement.id] = caller.firstByteAt;
    deliver(caller.entry, entry.run,
        [this, session, statement](ProxyCore &core) { core.onStatement(now_, session, statement); });
}

void PositionModel::onResponse(SessionId session, const CallerResponse &response)
{
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        return;
    }
    if (response.code != ResponseCode::Ok) {
        found->second.next = found->second.script.size();
    }
    constexpr std::array<std::chrono::milliseconds, 5> Pauses { 1ms, 1ms, 100ms, 700ms, 2200ms };
    const bool isInTransaction = found->second.next > 0 && found->second.next < found->second.script.size();
    at(now_ + HopTime + (isInTransaction ? Pauses.at(loadRandom_() % Pauses.size()) : 0ms),
        [this, session]() { continueCaller(session); });
}

} // namespace daisyrelay
