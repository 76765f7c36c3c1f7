// An entry with two services, "long" and "short", whose route can be moved between them. The replica of "long" never
// applies anything.
#pragma once

#include "daisyrelay/proxy.h"

#include <deque>
#include <optional>

namespace daisyrelay {

struct TwoServiceEntry {
    Instant now { std::chrono::hours(1) };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    ProxyCore core { ZoneId { "z0" }, log, metrics, 1000 };
    std::map<std::string, LogPoint> applied { { "l0", { 1, 100 } }, { "l1", { 1, 100 } }, { "s0", { 1, 1 } } };
    std::map<ConnectionId, std::string> connections; ///< Server of each connection.
    std::deque<std::pair<std::string, Statement>> sent; ///< Statements of callers and the servers that got them.
    std::optional<CallerResponse> response; ///< The last response to a caller.
    std::optional<ForwardedStatement> forwarded; ///< The last statement that was sent to another entry.
    std::string formerPrimary; ///< A server that has lost the role without the entry's knowledge.
    std::size_t beginCount = 0;
    std::uint64_t version = 0;
    std::uint64_t topologyIndex = 1; ///< Of the last topology that the entry got.
    std::uint64_t nextStatement = 1;

    TwoServiceEntry()
    {
        moveRoute("long");
        EntryUpdate update;
        Topology topology;
        topology.index = topologyIndex;
        const auto add = [&](const std::string &name, const std::string &service, bool isPrimary) {
            topology.backends.push_back(
                { BackendId { name }, 1, ServiceId { service }, name, 80, ZoneId { "z0" }, 2, false, isPrimary });
            update.quotas.push_back({ BackendId { name }, 2 });
        };
        add("l0", "long", true);
        add("l1", "long", false);
        add("s0", "short", true);
        topology.primaries.push_back({ ServiceId { "long" }, BackendId { "l0" }, 7 });
        topology.primaries.push_back({ ServiceId { "short" }, BackendId { "s0" }, 6 });
        update.topology = topology;
        core.onControlUpdate(now, update);
        run(std::chrono::milliseconds(500));
        core.onSessionOpened(now, 1, "db");
        // Positions of the primaries from before the writes, which a bounded read may start from.
        moveRoute("short");
        execute(StatementType::Read);
        moveRoute("long");
        execute(StatementType::Read);
        run(std::chrono::milliseconds(500));
    }

    void moveRoute(const std::string &service)
    {
        RouteConfiguration configuration;
        configuration.version = ++version;
        DatabaseRoute route;
        route.database = "db";
        route.service = ServiceId { service };
        route.guarantee = ReadGuarantee::ReadYourWrites;
        route.maxStaleness = std::chrono::milliseconds(2500);
        route.timeout = std::chrono::milliseconds(800);
        route.latencyTarget = std::chrono::milliseconds(200);
        configuration.routes.push_back(route);
        configuration.services.push_back({ ServiceId { "long" }, 16, 0 });
        configuration.services.push_back({ ServiceId { "short" }, 16, 0 });
        EntryUpdate update;
        update.configuration = encodeConfigurationUpdate(configuration);
        update.configVersion = version;
        core.onControlUpdate(now, update);
        run(std::chrono::milliseconds(20));
    }

    /// Leaves other entries, named "home", as the only ones with connections to the servers.
    void loseQuotas()
    {
        EntryUpdate update;
        update.homes.emplace();
        update.homes->version = 1;
        update.homes->isLast = true;
        for (const auto &[name, point] : applied) {
            update.quotas.push_back({ BackendId { name }, 0 });
            update.homes->homes.push_back({ BackendId { name }, { VmId { "home" } } });
        }
        core.onControlUpdate(now, update);
        run(std::chrono::milliseconds(100));
    }

    /// Runs one statement of the caller. \returns the server that ran it and the statement as it was sent there.
    std::pair<std::string, Statement> execute(StatementType type)
    {
        sent.clear();
        response.reset();
        Statement statement;
        statement.id = "q" + std::to_string(nextStatement++);
        statement.type = type;
        statement.text = "x";
        core.onStatement(now, 1, statement);
        constexpr Duration MaxWait = std::chrono::milliseconds(800);
        const Instant end = now + MaxWait;
        do {
            run(std::chrono::milliseconds(10));
        } while (!response && now < end);
        return sent.empty() ? std::pair<std::string, Statement>() : sent.back();
    }

    BackendResponse answer(const std::string &server, const Statement &statement)
    {
        BackendResponse result;
        if (statement.minPoint && applied.at(server) < *statement.minPoint) {
            result.code = ResponseCode::Lagging;
        } else if (!statement.id.empty()) {
            sent.emplace_back(server, statement);
            result.signature = server;
            applied[server].position += statement.type == StatementType::Write ? 1 : 0;
        } else if (statement.type == StatementType::Begin) {
            ++beginCount;
            constexpr std::size_t MaxRejections = 1000; // A statement that is sent again at once would never end.
            const bool leads = server != "l1" && (server != formerPrimary || beginCount > MaxRejections);
            result.code = leads ? ResponseCode::Ok : ResponseCode::NotPrimary;
            result.state = leads ? TransactionState::Open : TransactionState::Idle;
        }
        result.position = applied.at(server);
        return result;
    }

    void performActions()
    {
        for (std::vector<ProxyAction> actions = core.takeActions(); !actions.empty(); actions = core.takeActions()) {
            for (ProxyAction &action : actions) {
                if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                    connections[open->connection] = open->backend.id.value;
                    core.onConnectionOpened(now, open->connection);
                } else if (auto *send = std::get_if<SendResponse>(&action); send != nullptr) {
                    response = std::move(send->response);
                } else if (const auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                    std::vector<BackendResponse> responses;
                    for (const Statement &statement : exchange->statements) {
                        responses.push_back(answer(connections.at(exchange->connection), statement));
                    }
                    core.onExchange(now, exchange->connection, std::move(responses));
                } else if (auto *message = std::get_if<SendToEntry>(&action); message != nullptr) {
                    if (auto *request = std::get_if<ForwardedStatement>(&message->message); request != nullptr) {
                        forwarded = std::move(*request);
                    }
                }
            }
        }
    }

    void run(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += std::chrono::milliseconds(10)) {
            core.tick(now);
            performActions();
        }
    }
};

} // namespace daisyrelay
