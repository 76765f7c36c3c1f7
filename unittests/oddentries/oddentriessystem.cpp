#include "oddentriessystem.h"

#include "platform/controlapi.h"

namespace daisyrelay {

using namespace std::chrono_literals;

static constexpr std::array<const char *, 2> Services { "s", "t" };
static constexpr std::int64_t FirstStart = 1781115975248;

OddEntriesSystem::OddEntriesSystem(std::uint64_t seed) : random_(seed)
{
    supervisor_.onLeadership(now_, true, 1, { VmId { "c" } });
    post("/-/Config.Put",
        R"({"Version":1,"Routes":[{"Host":"db-s","Type":"bounded_staleness","TimeoutMs":800,"GoalMs":200,"Service":"s",)"
        R"("MaxStalenessMs":1500},{"Host":"db-t","Type":"read_your_writes","TimeoutMs":800,"GoalMs":200,"Service":"t",)"
        R"("MaxStalenessMs":2500}],"Services":[{"Name":"s","MaxConns":16},{"Name":"t","MaxConns":16}],"Limits":{}})");
    for (const char *service : Services) {
        for (int at = 0; at < 3; ++at) {
            const std::string name = service + std::to_string(at);
            servers_.push_back(
                { name, service, "10.0." + std::to_string(servers_.size()) + ".1", FirstStart + at, 0, at == 0 });
        }
    }
    run(2s, false);
    for (const char *service : Services) {
        const SessionId session = waits_.size() + 1;
        waits_[session] = false;
        entry_.onSessionOpened(now_, session, std::string("db-") + service);
    }
    performEntryActions();
}

int OddEntriesSystem::draw(int limit)
{
    return std::uniform_int_distribution<int>(0, limit - 1)(random_);
}

const OddEntriesSystem::Server *OddEntriesSystem::find(const BackendRecord &record) const
{
    for (const Server &server : servers_) {
        if (server.id == record.id.value && server.service == record.service.value && server.host == record.host
            && record.port == 80) {
            return &server;
        }
    }
    return nullptr;
}

void OddEntriesSystem::run(Duration duration, bool sendsOddEntries)
{
    constexpr Duration Step = 10ms;
    constexpr Duration ReportInterval = 200ms;
    constexpr Duration HeartbeatInterval = 1200ms;
    constexpr Duration OddInterval = 20ms;
    for (const Instant end = now_ + duration; now_ < end; now_ += Step) {
        const Duration elapsed = now_.time_since_epoch();
        if (elapsed % HeartbeatInterval == Duration::zero()) {
            for (Server &server : servers_) {
                sendHeartbeat(server);
            }
        }
        if (sendsOddEntries && elapsed % OddInterval == Duration::zero()) {
            sendOddEntry();
        }
        supervisor_.tick(now_);
        performControlActions();
        if (elapsed % ReportInterval == Duration::zero()) {
            exchangeReport();
        }
        entry_.tick(now_);
        performEntryActions();
        sendReads();
    }
}

std::vector<std::string> OddEntriesSystem::missingServers() const
{
    std::vector<std::string> missing;
    for (const Server &server : servers_) {
        const BackendRecord *record = supervisor_.state().find(BackendId { server.id });
        if (record == nullptr || find(*record) != &server) {
            missing.push_back(server.id);
        }
    }
    return missing;
}

void OddEntriesSystem::post(const std::string &target, const std::string &body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    std::variant<ControlRequest, HttpResponse> decoded = platform::decodeControlRequest(request);
    ++requestCount;
    if (const auto *accepted = std::get_if<ControlRequest>(&decoded); accepted != nullptr) {
        supervisor_.onRequest(now_, nextRequest_++, *accepted);
        performControlActions();
    }
}

void OddEntriesSystem::sendHeartbeat(Server &server)
{
    post("/-/Instances.Heartbeat/" + server.id,
        "{\"Service\":\"" + server.service + "\",\"Addr\":\"" + server.host
            + ":80\",\"Zone\":\"z0\",\"Slots\":2,\"State\":\"ready\",\"DbRole\":\""
            + (server.isPrimary ? "primary" : "replica") + "\",\"Seq\":" + std::to_string(++server.sequence)
            + ",\"born\":" + std::to_string(server.born) + "}");
}

std::string OddEntriesSystem::drawNumber()
{
    static constexpr std::array<const char *, 14> Odd { "0", "1", "-1", "1e18", "1e400", "-1e400", "1.5", "4294967296",
        "9223372036854775807", "18446744073709551616", "\"7\"", "[7]", "{}", "null" };
    switch (draw(3)) {
    case 0:
        return Odd.at(static_cast<std::size_t>(draw(Odd.size())));
    case 1:
        return std::to_string(FirstStart + draw(2000000));
    default:
        return std::to_string(draw(100));
    }
}

std::string OddEntriesSystem::drawText()
{
    static constexpr std::array<const char *, 12> Odd { "\"\"", "\"s\"", "\"t\"", "\"inventory\"", "\"draining\"",
        "\"ready\"", "\"primary\"", "\"replica\"", "\"resting\"", "7", "[]", "null" };
    const int depth = draw(20) == 0 ? 1 + draw(200) : 0;
    return std::string(static_cast<std::size_t>(depth), '[') + Odd.at(static_cast<std::size_t>(draw(Odd.size())))
        + std::string(static_cast<std::size_t>(depth), ']');
}

void OddEntriesSystem::sendOddEntry()
{
    const Server &victim = servers_[static_cast<std::size_t>(draw(static_cast<int>(servers_.size())))];
    const Server &other = servers_[static_cast<std::size_t>(draw(static_cast<int>(servers_.size())))];
    const std::string id = draw(3) == 0 ? "x" + std::to_string(draw(40)) : victim.id;
    if (draw(40) == 0) {
        post("/-/Instances.Leave/" + id, draw(2) == 0 ? "" : "{\"born\":" + drawNumber() + "}");
        return;
    }
    // Most fields are plausible, so that many odd entries pass the checks of their form.
    const auto oddOr = [this](const std::string &usual, int oneIn, bool isText) {
        return draw(oneIn) != 0 ? usual : (isText ? drawText() : drawNumber());
    };
    const std::string service = draw(2) == 0 ? victim.service : other.service;
    const std::string host = draw(2) == 0 ? other.host : "10.9.0." + std::to_string(draw(256));
    static constexpr std::array<const char *, 6> Ports { "80", "80", "81", "0", "65536", "-1" };
    std::string body = "{\"Service\":" + oddOr("\"" + service + "\"", 4, true) + ",\"Addr\":\"" + host + ":"
        + Ports.at(static_cast<std::size_t>(draw(Ports.size()))) + "\",\"Zone\":" + oddOr("\"z0\"", 8, true)
        + ",\"Slots\":" + oddOr("2", 4, false) + ",\"State\":" + oddOr("\"ready\"", 4, true)
        + ",\"DbRole\":" + oddOr("\"replica\"", 4, true) + ",\"Seq\":" + oddOr("5", 2, false)
        + ",\"born\":" + oddOr(std::to_string(victim.born), 2, false) + "}";
    if (draw(20) == 0) {
        body.resize(static_cast<std::size_t>(draw(static_cast<int>(body.size()))));
    }
    post("/-/Instances.Heartbeat/" + id, body);
}

void OddEntriesSystem::sendReads()
{
    for (auto &[session, waits] : waits_) {
        if (waits) {
            continue;
        }
        waits = true;
        Statement statement;
        statement.id = "q" + std::to_string(nextStatement_++);
        statement.text = "x";
        entry_.onStatement(now_, session, statement);
    }
    performEntryActions();
}

void OddEntriesSystem::exchangeReport()
{
    EntryReport report;
    entry_.fillReport(now_, report);
    report.sequence = ++reportSequence_;
    report.zone = ZoneId { "z0" };
    entry_.recordReport(now_, report.sequence);
    supervisor_.onReport(now_, VmId { "e" }, report);
    performControlActions();
}

void OddEntriesSystem::performControlActions()
{
    for (std::vector<SupervisionAction> actions = supervisor_.takeActions(); !actions.empty();
         actions = supervisor_.takeActions()) {
        for (const SupervisionAction &action : actions) {
            if (const auto *proposal = std::get_if<ProposeSupervision>(&action); proposal != nullptr) {
                supervisor_.onCommitted(
                    now_, { 1, ++index_, encodeSupervisionCommand(proposal->command), LogEntryKind::Command });
            } else if (const auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
                entry_.onControlUpdate(now_, update->update);
                performEntryActions();
            } else if (const auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
                respondToProbe(*probe);
            } else if (const auto *call = std::get_if<PromoteThroughPlatform>(&action); call != nullptr) {
                PromotionOutcome outcome = PromotionOutcome::Rejected;
                for (Server &server : servers_) {
                    if (server.service == call->service.value) {
                        server.isPrimary = server.id == call->backend.value;
                        outcome = server.isPrimary ? PromotionOutcome::Accepted : outcome;
                    }
                }
                supervisor_.onPromotion(now_, call->service, call->fencingToken, outcome);
            }
        }
    }
}

void OddEntriesSystem::respondToProbe(const ProbeBackend &probe)
{
    const Server *server = find(probe.backend);
    ProbeOutcome outcome;
    outcome.probeId = probe.probeId;
    outcome.result = ProbeResult::Refused;
    if (server != nullptr) {
        outcome.result = probe.kind != ProbeKind::Role ? ProbeResult::Responded
            : server->isPrimary                        ? ProbeResult::IsPrimary
                                                       : ProbeResult::IsReplica;
        outcome.term = 1;
        outcome.ownTerm = 1;
        outcome.received = { 1, 1 };
        outcome.claimsPrimary = server->isPrimary;
    }
    supervisor_.onProbe(now_, outcome);
}

void OddEntriesSystem::performEntryActions()
{
    for (std::vector<ProxyAction> actions = entry_.takeActions(); !actions.empty(); actions = entry_.takeActions()) {
        for (ProxyAction &action : actions) {
            if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                const Server *server = find(open->backend);
                connections_[open->connection] = server;
                if (server == nullptr) {
                    entry_.onConnectionLost(now_, open->connection, ConnectionLoss::WrongBackend);
                } else {
                    entry_.onConnectionOpened(now_, open->connection);
                }
            } else if (const auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                runExchange(*exchange);
            } else if (const auto *response = std::get_if<SendResponse>(&action); response != nullptr) {
                waits_[response->session] = false;
                ++(response->response.code == ResponseCode::Ok ? answeredReads : refusedReads);
            }
        }
    }
}

void OddEntriesSystem::runExchange(const RunExchange &exchange)
{
    const Server &server = *connections_.at(exchange.connection);
    std::vector<BackendResponse> responses;
    for (const Statement &statement : exchange.statements) {
        BackendResponse response;
        response.position = LogPoint { 1, 1 };
        if (statement.type == StatementType::Begin && !server.isPrimary) {
            response.code = ResponseCode::NotPrimary;
        } else if (statement.type == StatementType::Begin) {
            response.state = TransactionState::Open;
        } else if (!statement.id.empty()) {
            response.signature = "m";
        }
        responses.push_back(std::move(response));
    }
    entry_.onExchange(now_, exchange.connection, std::move(responses));
}

} // namespace daisyrelay
