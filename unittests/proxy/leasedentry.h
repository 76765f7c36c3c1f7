// An entry that uses the primary of one service under a lease, with control played by the test.
#pragma once

#include "daisyrelay/proxy.h"

#include <optional>

namespace daisyrelay {

/// The only server, "b" of service "s", accepts connections and never responds to statements.
struct LeasedEntry {
    Instant now { std::chrono::hours(1) };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    ProxyCore core { ZoneId { "z0" }, log, metrics, 1000, {}, FencingPolicy::Leases };
    std::uint64_t sequence = 0;
    std::size_t closedSessions = 0;
    std::optional<CallerResponse> response; ///< The last response to a caller.

    LeasedEntry()
    {
        EntryUpdate update;
        RouteConfiguration configuration;
        configuration.version = 1;
        configuration.services.push_back({ ServiceId { "s" }, 16, 0 });
        DatabaseRoute route;
        route.database = "db";
        route.service = ServiceId { "s" };
        route.guarantee = ReadGuarantee::Primary;
        route.timeout = std::chrono::milliseconds(800);
        route.latencyTarget = std::chrono::milliseconds(200);
        configuration.routes.push_back(route);
        update.configuration = encodeConfigurationUpdate(configuration);
        update.configVersion = 1;
        Topology topology;
        topology.index = 1;
        topology.backends.push_back(
            { BackendId { "b" }, 1, ServiceId { "s" }, "b", 80, ZoneId { "z1" }, 2, false, true });
        topology.primaries.push_back({ ServiceId { "s" }, BackendId { "b" }, 1 });
        update.topology = topology;
        update.quotas.push_back({ BackendId { "b" }, 2 });
        core.onControlUpdate(now, update);
        exchangeReport();
        run(std::chrono::milliseconds(200));
    }

    /// Sends a report to control and receives a response that renews the lease.
    void exchangeReport()
    {
        core.recordReport(now, ++sequence);
        EntryUpdate update;
        update.sequence = sequence;
        update.configVersion = 1;
        update.lease = { std::chrono::milliseconds(3000), std::chrono::milliseconds(1500) };
        core.onControlUpdate(now, update);
    }

    void performActions()
    {
        for (std::vector<ProxyAction> actions = core.takeActions(); !actions.empty(); actions = core.takeActions()) {
            for (ProxyAction &action : actions) {
                if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                    core.onConnectionOpened(now, open->connection);
                } else if (auto *send = std::get_if<SendResponse>(&action); send != nullptr) {
                    response = std::move(send->response);
                } else if (std::holds_alternative<CloseSession>(action)) {
                    ++closedSessions;
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
