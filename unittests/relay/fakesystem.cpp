#include "fakesystem.h"

using namespace daisyrelay;

static constexpr int Zones = 3;
static constexpr Duration Step = std::chrono::milliseconds(10);
static constexpr Duration AnnounceInterval = std::chrono::milliseconds(250);
static constexpr Duration WatchWait = std::chrono::milliseconds(200);

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

ConnectionId FakeSystem::globalId(int entry, ConnectionId connection)
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

void FakeSystem::makeCore(int entry, bool firstStart)
{
    RelayOptions options;
    options.vm = vm(entry);
    options.zone = ZoneId { zoneName(entry) };
    options.secret = "one secret of the system";
    options.bootId = std::to_string(++boots_[entry]);
    options.keepers = { vm(1), vm(2), vm(3) };
    options.firstStart = firstStart;
    options.seed = static_cast<std::uint64_t>(entry);
    counters[entry] = std::make_unique<Counters>();
    cores[entry] = std::make_unique<RelayCore>(options, *counters[entry]);
    Configuration configuration;
    ClassTarget lookups;
    lookups.freshness = std::chrono::seconds(2);
    lookups.latencyP99 = std::chrono::milliseconds(40);
    configuration.classes[ClassId { "lookups" }] = lookups;
    ClassTarget reservations;
    reservations.repeatable = false;
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
    return callRequest(entry, request, token);
}

CallId FakeSystem::callRequest(int entry, StatementRequest request, const std::string &token)
{
    const CallId id = nextCall_++;
    if (const auto core = cores.find(entry); core != cores.end()) {
        core->second->onCallerRequest(now, { id, std::move(request), token });
        collect(entry);
    }
    return id;
}

void FakeSystem::post(const std::string &what, std::function<void()> run)
{
    switch (fate ? fate(what) : Fate::Deliver) {
    case Fate::Lose:
        return;
    case Fate::Delay:
        delayed_.push_back({ what, std::move(run) });
        return;
    case Fate::Duplicate:
        events_.push_back({ what, run });
        break;
    case Fate::Deliver:
        break;
    }
    events_.push_back({ what, std::move(run) });
}

bool FakeSystem::linked(int a, int b) const
{
    return a == b || (!isolated.contains(a) && !isolated.contains(b));
}

void FakeSystem::collect(int entry)
{
    const auto core = cores.find(entry);
    if (core == cores.end()) {
        return;
    }
    for (const RelayAction &action : core->second->takeActions()) {
        if (const auto *answered = std::get_if<AnswerCaller>(&action); answered != nullptr) {
            answers[answered->call].push_back(*answered);
        } else if (const auto *send = std::get_if<SendToPeer>(&action); send != nullptr) {
            toPeer(entry, *send);
        } else {
            toDatabase(entry, action);
        }
    }
}

void FakeSystem::toPeer(int from, const SendToPeer &send)
{
    const int to = send.to.value.back() - '0';
    const bool forwards = std::holds_alternative<ForwardRequest>(send.payload);
    const bool replies = std::holds_alternative<ForwardAnswer>(send.payload);
    post(forwards     ? "forward"
            : replies ? "answer"
                      : "peer",
        [this, from, to, payload = send.payload]() {
            if (!linked(from, to) || !cores.contains(to)) {
                if (const auto core = cores.find(from); core != cores.end()) {
                    core->second->onPeerUnreachable(now, vm(to));
                    collect(from);
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
    } else if (const auto *answered = std::get_if<ForwardAnswer>(&payload); answered != nullptr) {
        core.onForwardAnswer(now, from, *answered);
    } else if (const auto *claim = std::get_if<KeyClaim>(&payload); claim != nullptr) {
        core.onKeyClaim(now, from, *claim);
    } else if (const auto *verdict = std::get_if<KeyVerdict>(&payload); verdict != nullptr) {
        core.onKeyVerdict(now, from, *verdict);
    } else if (const auto *request = std::get_if<KeyCopyRequest>(&payload); request != nullptr) {
        core.onKeyCopyRequest(now, from, *request);
    } else if (const auto *copy = std::get_if<KeyCopy>(&payload); copy != nullptr) {
        core.onKeyCopy(now, from, *copy);
    }
    collect(to);
}

void FakeSystem::toDatabase(int from, const RelayAction &action)
{
    if (const auto *connect = std::get_if<ConnectBackend>(&action); connect != nullptr) {
        const int number = connect->backend.value.back() - '0';
        const ConnectionId id = connect->connection;
        connections_[globalId(from, id)] = { from, number };
        // A refused connection is only noticed in the next step, so that no time-less loop can arise.
        const bool reached = linked(from, number) && databases[number].reachable;
        (reached ? events_ : delayed_).push_back({ "connect", [this, from, reached, id]() {
                                                      if (!cores.contains(from)) {
                                                          return;
                                                      }
                                                      if (reached) {
                                                          cores[from]->onConnectionOpened(now, id);
                                                      } else {
                                                          cores[from]->onConnectionClosed(now, id);
                                                      }
                                                      collect(from);
                                                  } });
    } else if (const auto *close = std::get_if<DisconnectBackend>(&action); close != nullptr) {
        const auto open = connections_.find(globalId(from, close->connection));
        if (open != connections_.end()) {
            databases[open->second.database].closed(open->first);
            connections_.erase(open);
        }
    } else if (const auto *send = std::get_if<SendStatement>(&action); send != nullptr) {
        post("statement", [this, from, statement = *send]() {
            const auto open = connections_.find(globalId(from, statement.connection));
            if (open == connections_.end() || !linked(from, open->second.database)
                || !databases[open->second.database].reachable) {
                return;
            }
            const BackendReply reply = databases[open->second.database].run(open->first, statement);
            post("reply", [this, from, reply]() {
                if (cores.contains(from) && connections_.contains(globalId(from, reply.connection))) {
                    cores[from]->onBackendReply(now, reply);
                    collect(from);
                }
            });
            replicateAll();
        });
    } else if (const auto *watch = std::get_if<WatchReplica>(&action); watch != nullptr) {
        watches_.push_back({ from, watch->backend.value.back() - '0', watch->minPosition, now + WatchWait });
    }
}

void FakeSystem::answerWatches(bool all)
{
    std::vector<WaitingWatch> waiting;
    waiting.swap(watches_);
    for (const WaitingWatch &watch : waiting) {
        const FakeDatabase &database = databases[watch.database];
        const bool reached = database.point().position >= watch.position;
        if (!cores.contains(watch.entry)) {
            continue;
        }
        if (!linked(watch.entry, watch.database) || !database.reachable) {
            if (!all) {
                watches_.push_back(watch);
                continue;
            }
            cores[watch.entry]->onReplicaPoint(now, database.id, std::nullopt);
        } else if (reached || now >= watch.until) {
            cores[watch.entry]->onReplicaPoint(now, database.id, database.point());
        } else {
            watches_.push_back(watch);
            continue;
        }
        collect(watch.entry);
    }
}

void FakeSystem::settle()
{
    constexpr int MostEvents = 100000;
    answerWatches(false);
    for (int handled = 0; !events_.empty() && handled < MostEvents; ++handled) {
        const Event event = std::move(events_.front());
        events_.pop_front();
        event.run();
        answerWatches(false);
    }
}

void FakeSystem::advance(Duration duration)
{
    for (Duration passed {}; passed < duration; passed += Step) {
        now += Step;
        if (now >= announceAt_) {
            announceAt_ = now + AnnounceInterval;
            replicateAll();
            pushLeases();
            announce();
        }
        answerWatches(true);
        for (auto &[number, core] : cores) {
            core->tick(now);
            collect(number);
        }
        settle();
        std::deque<Event> late;
        late.swap(delayed_);
        for (Event &event : late) {
            events_.push_back(std::move(event));
        }
        settle();
    }
}

void FakeSystem::replicateAll()
{
    constexpr std::size_t Everything = 1000000;
    for (auto &[source, from] : databases) {
        if (!from.primary || !from.reachable || table.terms.front().primary != from.id) {
            continue;
        }
        for (auto &[number, to] : databases) {
            if (number != source && !lag.contains(number) && to.reachable && linked(source, number)) {
                to.primary = false;
                to.replicate(from, Everything);
            }
        }
    }
}

void FakeSystem::announce()
{
    for (const auto &[number, database] : databases) {
        if (!database.reachable) {
            continue;
        }
        BackendAnnouncement announcement { database.id, group(), ZoneId { zoneName(number) }, "127.0.0.1", 1, 16, 2,
            database.primary ? BackendRole::Primary : BackendRole::Replica, database.point(), false, ++announcements_ };
        for (auto &[entry, core] : cores) {
            if (linked(entry, number)) {
                core->onAnnouncement(now, announcement);
                collect(entry);
            }
        }
    }
}

void FakeSystem::pushLeases()
{
    for (auto &[number, core] : cores) {
        if (!isolated.contains(number)) {
            core->onLease(now, { table, now + std::chrono::seconds(1) });
            collect(number);
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
    // An entry that can not be told keeps its lease until it has run out.
    if (!isolated.empty()) {
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
    settle();
}

void FakeSystem::kill(int entry)
{
    cores.erase(entry);
    for (auto open = connections_.begin(); open != connections_.end();) {
        if (open->second.entry != entry) {
            ++open;
            continue;
        }
        databases[open->second.database].closed(open->first);
        open = connections_.erase(open);
    }
    for (auto &[number, core] : cores) {
        core->onPeerUnreachable(now, vm(entry));
        collect(number);
    }
}

void FakeSystem::restart(int entry)
{
    kill(entry);
    std::erase_if(watches_, [entry](const WaitingWatch &watch) { return watch.entry == entry; });
    makeCore(entry, false);
    pushLeases();
    announce();
}

void FakeSystem::isolate(int entry)
{
    isolated.insert(entry);
}

const AnswerCaller &FakeSystem::answer(CallId call) const
{
    return answers.at(call).front();
}

std::string FakeSystem::text(CallId call) const
{
    const auto found = answers.find(call);
    if (found == answers.end()) {
        return "no answer";
    }
    const Expected<StatementResult> &result = found->second.front().answer;
    return result ? result->resultJson : std::string(errorResponseFor(result.error().kind).name);
}
