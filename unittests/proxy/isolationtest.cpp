// Tests of an entry that control cannot reach: when the load balancer must send callers elsewhere.
#include "daisyrelay/proxy.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Isolation)
{
    Instant now { std::chrono::hours(1) };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    ProxyCore core { ZoneId { "z0" }, log, metrics, 1000, {}, FencingPolicy::Leases };
    std::uint64_t sequence = 0;

    void setup() override
    {
        EntryUpdate update;
        RouteConfiguration configuration;
        configuration.version = 1;
        configuration.services.push_back({ ServiceId { "s" }, 16, 0 });
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
        run(200ms);
    }

    void exchangeReport()
    {
        core.recordReport(now, ++sequence);
        EntryUpdate update;
        update.sequence = sequence;
        update.configVersion = 1;
        update.lease = { 3s, 1500ms };
        core.onControlUpdate(now, update);
    }

    void run(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += 10ms) {
            core.tick(now);
            for (ProxyAction &action : core.takeActions()) {
                if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                    core.onConnectionOpened(now, open->connection);
                } else if (const auto *close = std::get_if<CloseSession>(&action); close != nullptr) {
                    ++closedSessions;
                }
            }
        }
    }

    std::size_t closedSessions = 0;
};

// A cut between an entry and control lets its lease expire. Callers that are sent to it until then would be refused.
TEST(Isolation, EntryWithoutControlIsNotReadyBeforeItsLeaseExpires)
{
    CHECK(core.isReady(now));
    run(1200ms);
    CHECK(!core.isReady(now));
}

TEST(Isolation, EntryIsReadyAgainWithTheNextUpdate)
{
    run(1200ms);
    exchangeReport();
    run(200ms);
    CHECK(core.isReady(now));
}

// A new leader is found within a second, so that a change of leader leaves all entries in use.
TEST(Isolation, ChangeOfLeaderLeavesTheEntryReady)
{
    run(800ms);
    CHECK(core.isReady(now));
}

// While all entries have lost control, closed sessions would only return to one of them.
TEST(Isolation, IdleSessionsStayWhilePrimariesCanBeUsed)
{
    EntryUpdate update;
    RouteConfiguration configuration;
    configuration.version = 2;
    DatabaseRoute route;
    route.database = "db";
    route.service = ServiceId { "s" };
    configuration.routes.push_back(route);
    configuration.services.push_back({ ServiceId { "s" }, 16, 0 });
    update.configuration = encodeConfigurationUpdate(configuration);
    update.configVersion = 2;
    core.onControlUpdate(now, update);
    exchangeReport();
    core.onSessionOpened(now, 1, "db");
    run(2900ms);
    CHECK(!core.isReady(now));
    CHECK_EQUAL(0U, closedSessions);
    run(2s);
    CHECK(closedSessions > 0);
}
