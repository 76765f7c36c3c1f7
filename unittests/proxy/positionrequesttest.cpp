// Positions of a primary that an entry requests from another entry.
#include "daisyrelay/proxy.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

namespace {

/// An entry that reaches a replica directly and the primary only through the entry "home".
struct RemoteEntry {
    Instant now { std::chrono::hours(1) };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    ProxyCore core;
    std::optional<std::uint64_t> requested; ///< Sequence of the last position request.
    std::optional<ForwardedStatement> forwarded; ///< The last statement sent to another entry.
    std::optional<LogPoint> readMinPoint; ///< Minimum position of the last read sent to the replica.
    std::size_t localReads = 0; ///< Reads sent to the replica.

    explicit RemoteEntry(std::uint64_t runId, ReadGuarantee guarantee = ReadGuarantee::BoundedStaleness)
        : core(ZoneId { "z0" }, log, metrics, runId)
    {
        EntryUpdate update;
        RouteConfiguration configuration;
        configuration.version = 1;
        DatabaseRoute route;
        route.database = "db";
        route.service = ServiceId { "s" };
        route.guarantee = guarantee;
        route.maxStaleness = 1500ms;
        route.timeout = 800ms;
        route.latencyTarget = 200ms;
        configuration.routes.push_back(route);
        configuration.services.push_back({ ServiceId { "s" }, 16, 0 });
        update.configuration = encodeConfigurationUpdate(configuration);
        update.configVersion = 1;
        Topology topology;
        topology.index = 1;
        for (const std::string name : { "primary", "replica" }) {
            topology.backends.push_back(
                { BackendId { name }, 1, ServiceId { "s" }, name, 80, ZoneId { "z0" }, 2, false, name == "primary" });
        }
        topology.primaries.push_back({ ServiceId { "s" }, BackendId { "primary" }, 7 });
        update.topology = topology;
        update.quotas.push_back({ BackendId { "replica" }, 2 });
        update.homes.emplace();
        update.homes->version = 1;
        update.homes->isLast = true;
        update.homes->homes.push_back({ BackendId { "primary" }, { VmId { "home" } } });
        core.onControlUpdate(now, update);
        core.onSessionOpened(now, 1, "db");
        run(200ms);
    }

    void read()
    {
        execute(StatementType::Read);
    }

    void execute(StatementType type)
    {
        Statement statement;
        statement.id = "q";
        statement.type = type;
        statement.text = "x";
        core.onStatement(now, 1, statement);
        performActions();
    }

    void performActions()
    {
        for (std::vector<ProxyAction> actions = core.takeActions(); !actions.empty(); actions = core.takeActions()) {
            for (const ProxyAction &action : actions) {
                if (const auto *open = std::get_if<OpenBackendConnection>(&action); open != nullptr) {
                    core.onConnectionOpened(now, open->connection);
                } else if (const auto *exchange = std::get_if<RunExchange>(&action); exchange != nullptr) {
                    ++localReads;
                    readMinPoint = exchange->statements.front().minPoint;
                } else if (const auto *message = std::get_if<SendToEntry>(&action); message != nullptr) {
                    const auto *request = std::get_if<PositionRequest>(&message->message);
                    requested = request == nullptr ? requested : std::optional(request->sequence);
                    if (const auto *statement = std::get_if<ForwardedStatement>(&message->message);
                        statement != nullptr) {
                        forwarded = *statement;
                    }
                }
            }
        }
    }

    /// Lets the entry request positions. \returns the sequence of the last request.
    std::uint64_t requestPosition()
    {
        read();
        run(1000ms);
        CHECK(requested.has_value());
        return requested.value_or(0);
    }

    void run(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += 10ms) {
            core.tick(now);
            performActions();
        }
    }
};

} // namespace

TEST_GROUP(PositionRequests) {};

// Guards against a check of responses that also drops the expected ones.
TEST(PositionRequests, ResponseToThisRunPermitsLocalReads)
{
    RemoteEntry entry(1000);
    const std::uint64_t sequence = entry.requestPosition();
    entry.core.onPositionResponse(entry.now, VmId { "home" }, { ServiceId { "s" }, sequence, 7, { 1, 5 } });
    entry.read();
    CHECK_EQUAL(1U, entry.localReads);
}

// Reads older than their route allows, after an entry restarted and took the late response to a request of its former
// run for the response to its own one.
TEST(PositionRequests, ResponseToAFormerRunIsNoPositionOfThisRun)
{
    RemoteEntry former(1000);
    RemoteEntry restarted(2000);
    const std::uint64_t formerSequence = former.requestPosition();
    restarted.requestPosition();
    restarted.core.onPositionResponse(
        restarted.now, VmId { "home" }, { ServiceId { "s" }, formerSequence, 7, { 1, 5 } });
    restarted.read();
    CHECK_EQUAL(0U, restarted.localReads);
}

// A session's read missed its own write, after a server had lost the lead and got it back: a home that knew so reported
// a position before the write, and another home, which did not, ran the write.
TEST(PositionRequests, PositionBeforeAWriteOfAFormerGenerationDoesNotCoverIt)
{
    RemoteEntry entry(1000, ReadGuarantee::ReadYourWrites);
    entry.core.onPositionResponse(
        entry.now, VmId { "home" }, { ServiceId { "s" }, entry.requestPosition(), 9, { 9, 100 } });
    entry.execute(StatementType::Write);
    CHECK(entry.forwarded && entry.forwarded->statement.type == StatementType::Write);
    ForwardedStatementResponse response;
    response.sessionId = entry.forwarded->sessionId;
    response.sequence = entry.forwarded->sequence;
    response.response.signature = "m";
    response.response.position = LogPoint { 9, 150 };
    response.generation = 7;
    entry.now += 10ms;
    entry.core.onForwardedStatementResponse(entry.now, VmId { "home" }, response);
    EntryUpdate update;
    Topology topology;
    topology.index = 2;
    topology.baseIndex = 1;
    topology.primaries.push_back({ ServiceId { "s" }, BackendId { "primary" }, 9 });
    update.topology = topology;
    entry.core.onControlUpdate(entry.now, update);
    entry.read();
    CHECK_EQUAL(0U, entry.localReads);
    CHECK(entry.forwarded->statement.type == StatementType::Read && entry.forwarded->needsPrimary);
}
