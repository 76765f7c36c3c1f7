// Keys of callers and connections of workspaces: unknown and revoked keys, loss of control, scarce connections.
#include "fakeservice.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

static constexpr Duration RevocationBound = 5s;

TEST_GROUP(Workspaces)
{
    FakeService service { 3, RevocationBound };

    void setup() override
    {
        for (int at = 0; at < 6; ++at) {
            service.workspaces.push_back(
                { WorkspaceId { "w" + std::to_string(at) }, { "key" + std::to_string(at) }, 0, 0, 0 });
        }
        service.configure(ReadGuarantee::Primary);
        service.sendTopology(3);
    }

    void revoke(const std::string &key)
    {
        for (Workspace &workspace : service.workspaces) {
            std::erase(workspace.keys, key);
        }
    }

    CallerResponse execute(SessionId session, StatementType type)
    {
        service.callers[session].responses.clear();
        service.send(session, type, "x");
        return service.awaitResponse(session);
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }
};

TEST(Workspaces, SessionWithUnknownKeyIsRejected)
{
    const SessionId session = service.open("a", "other");
    CHECK(service.callers[session].isRejected);
    CHECK(service.callers[session].responses.front().code == ResponseCode::Unauthorized);
    for (const std::string &line : service.logLines) {
        CHECK(line.find("other") == std::string::npos); // Keys are never logged.
    }
}

TEST(Workspaces, KeyIsNotCalledUnknownBeforeTheFirstConfiguration)
{
    FakeService starting { 3, RevocationBound };
    const SessionId session = starting.open("a", "key1");
    starting.run(500ms);
    CHECK(!starting.callers[session].isRejected);
    starting.run(1000ms);
    CHECK(starting.callers[session].responses.front().code == ResponseCode::Busy);
}

TEST(Workspaces, KeyOfNewerConfigurationIsAwaited)
{
    ++service.configVersion; // Control has a newer configuration, which has not arrived here.
    service.reportToControl();
    const SessionId session = service.open("a", "new");
    CHECK(!service.callers[session].isRejected);
    service.workspaces.push_back({ WorkspaceId { "w" }, { "new" }, 0, 0, 0 });
    service.configure(ReadGuarantee::Primary);
    service.run(50ms);
    CHECK(service.callers[session].isAccepted);
}

// Guards against statements of one workspace on a connection that the server takes for another one, and against more
// connections than the quota while connections change hands.
TEST(Workspaces, ScarceConnectionsServeMoreWorkspacesThanThereAreConnections)
{
    service.maxConnections = 3;
    std::vector<SessionId> sessions;
    sessions.reserve(6);
    for (int at = 0; at < 6; ++at) {
        sessions.push_back(service.open("c" + std::to_string(at), "key" + std::to_string(at)));
    }
    int served = 0;
    for (int round = 0; round < 20; ++round) {
        for (const SessionId session : sessions) {
            service.send(session, round % 3 == 0 ? StatementType::Write : StatementType::Read, "x");
        }
        for (const SessionId session : sessions) {
            served += service.awaitResponse(session).code == ResponseCode::Ok ? 1 : 0;
        }
    }
    CHECK_EQUAL(120, served);
}

// Guards against a workspace that waits for a connection and blocks others that have one.
TEST(Workspaces, BacklogOfOneWorkspaceLeavesConnectionsToOthers)
{
    std::vector<SessionId> busy;
    busy.reserve(30);
    for (int at = 0; at < 30; ++at) {
        busy.push_back(service.open("b" + std::to_string(at), "key0"));
    }
    const SessionId other = service.open("o", "key1");
    CHECK(execute(other, StatementType::Read).code == ResponseCode::Ok);
    for (const SessionId session : busy) {
        service.send(session, StatementType::Read, "x");
    }
    const Instant sentAt = service.now;
    CHECK(execute(other, StatementType::Read).code == ResponseCode::Ok);
    CHECK(service.now - sentAt < 60ms);
}

TEST(Workspaces, RevokedKeyEndsIdleSessionsAndOpenTransactions)
{
    const SessionId idle = service.open("i", "key2");
    const SessionId inTransaction = service.open("t", "key2");
    CHECK(execute(inTransaction, StatementType::Begin).code == ResponseCode::Ok);
    CHECK(execute(inTransaction, StatementType::Write).code == ResponseCode::Ok);
    service.run(100ms);
    revoke("key2");
    service.configure(ReadGuarantee::Primary);
    service.run(100ms);
    CHECK(service.callers[idle].isClosed);
    // The write was rolled back, and the commit says so.
    CHECK(execute(inTransaction, StatementType::Commit).code == ResponseCode::Aborted);
    CHECK(service.committed.empty());
    CHECK(service.callers[service.open("n", "key2")].responses.front().code == ResponseCode::Unauthorized);
}

TEST(Workspaces, KeyThatMovedRunsInItsNewWorkspace)
{
    const SessionId session = service.open("a", "key3");
    CHECK(execute(session, StatementType::Read).code == ResponseCode::Ok);
    revoke("key3");
    service.workspaces[4].keys.emplace_back("key3");
    service.configure(ReadGuarantee::Primary);
    CHECK(execute(session, StatementType::Read).code == ResponseCode::Ok);
}

TEST(Workspaces, EntryWithoutControlServesUntilTheBound)
{
    const SessionId session = service.open("a", "key0");
    service.isControlReachable = false;
    for (int second = 0; second < 9; ++second) {
        service.run(490ms);
        CHECK(execute(session, StatementType::Read).code == ResponseCode::Ok);
        CHECK(service.core.isReady(service.now));
    }
    service.run(600ms);
    const CallerResponse response = execute(session, StatementType::Read);
    CHECK(response.code == ResponseCode::Busy);
    CHECK(response.detail.find("come back in") != std::string::npos);
    CHECK(!service.core.isReady(service.now));
    service.isControlReachable = true;
    service.run(300ms);
    CHECK(execute(service.open("b", "key0"), StatementType::Read).code == ResponseCode::Ok);
}

TEST(Workspaces, PublicDatabaseNeedsNoKey)
{
    RouteConfiguration configuration;
    configuration.version = ++service.configVersion;
    configuration.requiresKeys = true;
    DatabaseRoute route;
    route.database = "db";
    route.service = ServiceId { "s" };
    route.timeout = 800ms;
    route.latencyTarget = 200ms;
    route.isPublic = true;
    configuration.routes.push_back(route);
    EntryUpdate update;
    update.configVersion = configuration.version;
    update.configuration = encodeConfigurationUpdate(configuration);
    service.core.onControlUpdate(service.now, update);
    service.reportToControl();
    CHECK(service.callers[service.open("a", "none")].isAccepted);
}

// Guards against work under a withdrawn key at an entry that lost control, was suspended, or missed the change.
TEST(Workspaces, NoStatementRunsLongAfterItsKeyWasRevoked)
{
    const bool holds = rc::check("revoked keys", []() {
        FakeService random { 3, RevocationBound };
        random.workspaces.push_back({ WorkspaceId { "w0" }, { "key0" }, 0, 0, 0 });
        random.workspaces.push_back({ WorkspaceId { "w1" }, { "key1" }, 0, 0, 0 });
        random.configure(ReadGuarantee::Primary);
        random.sendTopology(3);
        const SessionId session = random.open("a", "key0");
        const auto cutAfter = *rc::gen::inRange(0, 4000);
        const auto revokedAfter = *rc::gen::inRange(0, 4000);
        const auto suspendedFor = *rc::gen::inRange(0, 9000);
        std::optional<Instant> revokedAt;
        const Instant start = random.now;
        for (int step = 0; step < 120; ++step) {
            const Duration elapsed = random.now - start;
            random.isControlReachable = elapsed < std::chrono::milliseconds(cutAfter);
            if (!revokedAt && elapsed >= std::chrono::milliseconds(revokedAfter)) {
                // The new configuration is acknowledged; it reaches this entry only if control does.
                revokedAt = random.now;
                ++random.configVersion;
            }
            if (step == 60) {
                random.now += std::chrono::milliseconds(suspendedFor);
            }
            const Instant sentAt = random.now;
            random.callers[session].responses.clear();
            random.send(session, StatementType::Read, "x");
            random.run(100ms);
            const bool ran = !random.callers[session].responses.empty()
                && random.callers[session].responses.front().code == ResponseCode::Ok;
            RC_ASSERT((!ran || !revokedAt || sentAt - *revokedAt <= RevocationBound));
        }
    });
    CHECK(holds);
}
