#include "fakesystem.h"

using namespace daisyrelay;

static constexpr int Zones = 3;
static constexpr Duration Step = std::chrono::milliseconds(10);
static constexpr Duration AnnounceInterval = std::chrono::milliseconds(250);
static constexpr Duration PositionTimeout = std::chrono::milliseconds(200);

VmId FakeSystem::vm(int number)
{
    return VmId { "vm" + std::to_string(number) };
}

BackendId FakeSystem::database(int number)
{
    return BackendId { "db" + std::to_string(number) };
}

GroupKey FakeSystem::group()
{
    return { ServiceId { "rotable-db" }, GroupId { "g1" } };
}

static std::string zoneName(int number)
{
    return "zone" + std::to_string(number);
}

ConnectionId FakeSystem::globalConnectionId(int entry, ConnectionId connection)
{
    constexpr ConnectionId PerEntry = 1000000;
    return static_cast<ConnectionId>(entry) * PerEntry + connection;
}

FakeSystem::FakeSystem()
{
    table.leaderTerm = 1;
    table.version = 1;
    for (int number = 1; number <= Zones; ++number) {
        databases[number].id = database(number);
        table.homes.push_back({ database(number), vm(number), 12, 1 });
    }
    databases[1].promote(1);
    table.terms.push_back({ group(), 1, database(1), 1, { { 1, 1 } }, { database(1), database(2), database(3) } });
    for (int number = 1; number <= Zones; ++number) {
        makeCore(number, true);
    }
    pushLeases();
    replicateAll();
    announce();
    advance(std::chrono::milliseconds(500));
}

void FakeSystem::makeCore(int entry, bool isFirstStart)
{
    RelayOptions options;
    options.vm = vm(entry);
    options.zone = ZoneId { zoneName(entry) };
    options.secret = "one secret of the system";
    options.bootId = std::to_string(++bootCounts_[entry]);
    options.keyStoreVms = { vm(1), vm(2), vm(3) };
    options.isFirstStart = isFirstStart;
    options.randomSeed = static_cast<std::uint64_t>(entry);
    counters[entry] = std::make_unique<Counters>();
    cores[entry] = std::make_unique<RelayCore>(options, *counters[entry]);
    Configuration configuration;
    ClassTarget lookups;
    lookups.freshness = std::chrono::seconds(2);
    lookups.latencyP99 = std::chrono::milliseconds(40);
    configuration.classes[ClassId { "lookups" }] = lookups;
    ClassTarget reservations;
    reservations.isRepeatable = false;
    configuration.classes[ClassId { "reservations" }] = reservations;
    configuration.services[group().service].groups = { group().group };
    cores[entry]->onConfiguration(now, 1, configuration);
}

CallId FakeSystem::call(int entry, const std::string &statement, const std::string &token, const std::string &key,
    std::chrono::milliseconds deadline)
{
    StatementRequest request;
    request.group = group();
    request.kind = statement.starts_with("put") ? StatementKind::Write : StatementKind::Read;
    request.classId = ClassId { request.kind == StatementKind::Write ? "reservations" : "lookups" };
    request.isRepeatable = key.empty();
    request.key = IdempotencyKey { key };
    request.statement = statement;
    request.timeLeft = deadline;
    return sendRequest(entry, request, token);
}

CallId FakeSystem::sendRequest(int entry, StatementRequest request, const std::string &token)
{
    const CallId id = nextCall_++;
    if (const auto core = cores.find(entry); core != cores.end()) {
        core->second->onCallerRequest(now, { id, std::move(request), token });
        performActions(entry);
    }
    return id;
}

void FakeSystem::postMessage(const std::string &kind, std::function<void()> run)
{
    switch (chooseDelivery ? chooseDelivery(kind) : DeliveryMode::Deliver) {
    case DeliveryMode::Lose:
        return;
    case DeliveryMode::Delay:
        delayedEvents_.push_back({ kind, std::move(run) });
        return;
    case DeliveryMode::Duplicate:
        events_.push_back({ kind, run });
        break;
    case DeliveryMode::Deliver:
        break;
    }
    events_.push_back({ kind, std::move(run) });
}

bool FakeSystem::isConnected(int a, int b) const
{
    return a == b || (!isolatedZones.contains(a) && !isolatedZones.contains(b));
}

void FakeSystem::performActions(int entry)
{
    const auto core = cores.find(entry);
    if (core == cores.end()) {
        return;
    }
    for (const RelayAction &action : core->second->takeActions()) {
        if (const auto *response = std::get_if<RespondToCaller>(&action); response != nullptr) {
            responses[response->call].push_back(*response);
        } else if (const auto *send = std::get_if<SendToPeer>(&action); send != nullptr) {
            sendToPeer(entry, *send);
        } else {
            performDatabaseAction(entry, action);
        }
    }
}

void FakeSystem::sendToPeer(int from, const SendToPeer &send)
{
    const int to = send.to.value.back() - '0';
    const bool isForwardRequest = std::holds_alternative<ForwardRequest>(send.payload);
    const bool isForwardResponse = std::holds_alternative<ForwardResponse>(send.payload);
    postMessage(isForwardRequest ? "forward"
            : isForwardResponse  ? "forward-response"
                                 : "peer",
        [this, from, to, payload = send.payload]() {
            if (!isConnected(from, to) || !cores.contains(to)) {
                if (const auto core = cores.find(from); core != cores.end()) {
                    core->second->onPeerUnreachable(now, vm(to));
                    performActions(from);
                }
                return;
            }
            receive(to, vm(from), payload);
        });
}

void FakeSystem::receive(int to, const VmId &from, const PeerPayload &payload)
{
    RelayCore &core = *cores.at(to);
    if (const auto *forward = std::get_if<ForwardRequest>(&payload); forward != nullptr) {
        core.onForwardRequest(now, from, *forward);
    } else if (const auto *response = std::get_if<ForwardResponse>(&payload); response != nullptr) {
        core.onForwardResponse(now, from, *response);
    } else if (const auto *claim = std::get_if<KeyClaim>(&payload); claim != nullptr) {
        core.onKeyClaim(now, from, *claim);
    } else if (const auto *claimResponse = std::get_if<KeyClaimResponse>(&payload); claimResponse != nullptr) {
        core.onKeyClaimResponse(now, from, *claimResponse);
    } else if (const auto *request = std::get_if<KeyCopyRequest>(&payload); request != nullptr) {
        core.onKeyCopyRequest(now, from, *request);
    } else if (const auto *chunk = std::get_if<KeyCopyChunk>(&payload); chunk != nullptr) {
        core.onKeyCopyChunk(now, from, *chunk);
    }
    performActions(to);
}

void FakeSystem::performDatabaseAction(int from, const RelayAction &action)
{
    if (const auto *connect = std::get_if<ConnectBackend>(&action); connect != nullptr) {
        const int number = connect->backend.value.back() - '0';
        const ConnectionId id = connect->connection;
        connections_[globalConnectionId(from, id)] = { from, number };
        // A refused connection is reported in the next step, which prevents an endless loop at one simulated time.
        const bool isReachable = isConnected(from, number) && databases[number].isReachable;
        (isReachable ? events_ : delayedEvents_).push_back({ "connect", [this, from, isReachable, id]() {
                                                                if (!cores.contains(from)) {
                                                                    return;
                                                                }
                                                                if (isReachable) {
                                                                    cores[from]->onConnectionOpened(now, id);
                                                                } else {
                                                                    cores[from]->onConnectionClosed(now, id);
                                                                }
                                                                performActions(from);
                                                            } });
    } else if (const auto *close = std::get_if<DisconnectBackend>(&action); close != nullptr) {
        const auto open = connections_.find(globalConnectionId(from, close->connection));
        if (open != connections_.end()) {
            databases[open->second.database].handleConnectionClosed(open->first);
            connections_.erase(open);
        }
    } else if (const auto *send = std::get_if<SendStatement>(&action); send != nullptr) {
        postMessage("statement", [this, from, statement = *send]() {
            const auto open = connections_.find(globalConnectionId(from, statement.connection));
            if (open == connections_.end() || !isConnected(from, open->second.database)
                || !databases[open->second.database].isReachable) {
                return;
            }
            const BackendStatementResponse response = databases[open->second.database].run(open->first, statement);
            postMessage("response", [this, from, response]() {
                if (cores.contains(from) && connections_.contains(globalConnectionId(from, response.connection))) {
                    cores[from]->onBackendResponse(now, response);
                    performActions(from);
                }
            });
            replicateAll();
        });
    } else if (const auto *request = std::get_if<AwaitBackendPosition>(&action); request != nullptr) {
        positionRequests_.push_back(
            { from, request->backend.value.back() - '0', request->minPosition, now + PositionTimeout });
    }
}

void FakeSystem::completePositionRequests(bool shouldFailUnreachable)
{
    std::vector<PositionRequest> waiting;
    waiting.swap(positionRequests_);
    for (const PositionRequest &request : waiting) {
        const FakeDatabase &database = databases[request.database];
        const bool hasReachedPosition = database.point().position >= request.position;
        if (!cores.contains(request.entry)) {
            continue;
        }
        if (!isConnected(request.entry, request.database) || !database.isReachable) {
            if (!shouldFailUnreachable) {
                positionRequests_.push_back(request);
                continue;
            }
            cores[request.entry]->onBackendPosition(now, database.id, std::nullopt);
        } else if (hasReachedPosition || now >= request.waitUntil) {
            cores[request.entry]->onBackendPosition(now, database.id, database.point());
        } else {
            positionRequests_.push_back(request);
            continue;
        }
        performActions(request.entry);
    }
}

void FakeSystem::deliverPending()
{
    constexpr int MaxEvents = 100000;
    completePositionRequests(false);
    for (int handled = 0; !events_.empty() && handled < MaxEvents; ++handled) {
        const Event event = std::move(events_.front());
        events_.pop_front();
        event.run();
        completePositionRequests(false);
    }
}

void FakeSystem::advance(Duration duration)
{
    for (Duration passed {}; passed < duration; passed += Step) {
        now += Step;
        if (now >= nextAnnouncementAt_) {
            nextAnnouncementAt_ = now + AnnounceInterval;
            replicateAll();
            pushLeases();
            announce();
        }
        completePositionRequests(true);
        for (auto &[number, core] : cores) {
            core->tick(now);
            performActions(number);
        }
        deliverPending();
        std::deque<Event> delayedEvents;
        delayedEvents.swap(delayedEvents_);
        for (Event &event : delayedEvents) {
            events_.push_back(std::move(event));
        }
        deliverPending();
    }
}

void FakeSystem::replicateAll()
{
    constexpr std::size_t AllEntries = 1000000;
    for (auto &[source, from] : databases) {
        if (!from.isPrimary || !from.isReachable || table.terms.front().primary != from.id) {
            continue;
        }
        for (auto &[number, to] : databases) {
            if (number != source && !lagging.contains(number) && to.isReachable && isConnected(source, number)) {
                to.isPrimary = false;
                to.replicate(from, AllEntries);
            }
        }
    }
}

void FakeSystem::announce()
{
    for (const auto &[number, database] : databases) {
        if (!database.isReachable) {
            continue;
        }
        BackendAnnouncement announcement { database.id, group(), ZoneId { zoneName(number) }, "127.0.0.1", 1, 16, 2,
            database.isPrimary ? BackendRole::Primary : BackendRole::Replica, database.point(), false, ++sequence_ };
        for (auto &[entry, core] : cores) {
            if (isConnected(entry, number)) {
                core->onAnnouncement(now, announcement);
                performActions(entry);
            }
        }
    }
}

void FakeSystem::pushLeases()
{
    for (auto &[number, core] : cores) {
        if (!isolatedZones.contains(number)) {
            core->onLease(now, { table, now + std::chrono::seconds(1) });
            performActions(number);
        }
    }
}

void FakeSystem::failOver(int number)
{
    GroupTerm &term = table.terms.front();
    ++table.version;
    ++term.term;
    term.primary = {};
    pushLeases();
    // An isolated entry cannot be notified and keeps its lease until the lease expires.
    if (!isolatedZones.empty()) {
        advance(std::chrono::milliseconds(1100));
    }
    databases[number].promote(term.term);
    ++table.version;
    term.primary = database(number);
    term.startPosition = databases[number].point().position;
    term.starts.push_back(databases[number].point());
    replicateAll();
    pushLeases();
    announce();
    deliverPending();
}

void FakeSystem::kill(int entry)
{
    cores.erase(entry);
    for (auto open = connections_.begin(); open != connections_.end();) {
        if (open->second.entry != entry) {
            ++open;
            continue;
        }
        databases[open->second.database].handleConnectionClosed(open->first);
        open = connections_.erase(open);
    }
    for (auto &[number, core] : cores) {
        core->onPeerUnreachable(now, vm(entry));
        performActions(number);
    }
}

void FakeSystem::restart(int entry)
{
    kill(entry);
    std::erase_if(positionRequests_, [entry](const PositionRequest &request) { return request.entry == entry; });
    makeCore(entry, false);
    pushLeases();
    announce();
}

void FakeSystem::isolate(int entry)
{
    isolatedZones.insert(entry);
}

const RespondToCaller &FakeSystem::response(CallId call) const
{
    return responses.at(call).front();
}

std::string FakeSystem::resultText(CallId call) const
{
    const auto found = responses.find(call);
    if (found == responses.end()) {
        return "no response";
    }
    const Expected<StatementResult> &result = found->second.front().result;
    return result ? result->resultJson : std::string(errorResponseFor(result.error().kind).name);
}
