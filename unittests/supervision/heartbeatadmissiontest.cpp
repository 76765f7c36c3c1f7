// Heartbeats that another writer sends in the name of servers, or that are odd in themselves.
#include "supervisorfixture.h"

using namespace daisyrelay;
using namespace std::chrono_literals;

struct HeartbeatAdmissionFixture : SupervisorFixture {
    std::uint64_t sequence = 10;

    static BackendHeartbeat makeHeartbeat(
        const std::string &name, std::int64_t startedAtMs, std::uint64_t number, const std::string &service = "s")
    {
        BackendHeartbeat heartbeat;
        heartbeat.record
            = { BackendId { name }, startedAtMs, ServiceId { service }, "10.0.0." + name.substr(1), 80, {}, 2 };
        heartbeat.sequence = number;
        return heartbeat;
    }

    void startServices()
    {
        PutConfiguration change;
        change.configuration.version = 1;
        change.configuration.services.push_back({ ServiceId { "s" }, 16, 0 });
        change.configuration.services.push_back({ ServiceId { "t" }, 16, 0 });
        sendRequest(change);
        for (const char *name : { "b0", "b1", "b2" }) {
            sendHeartbeat(name, 1);
        }
        runServers(3s);
    }

    /// Advances the time while "b0", "b1" and "b2" send their heartbeats.
    void runServers(Duration duration)
    {
        constexpr Duration Interval = 1200ms;
        for (const Instant end = now + duration; now < end;) {
            ++sequence;
            for (const char *name : { "b0", "b1", "b2" }) {
                sendHeartbeat(name, sequence);
            }
            advance(Interval);
        }
    }

    const BackendRecord *find(const std::string &name) const
    {
        return supervisor.state().find(BackendId { name });
    }

    void checkRecorded(const std::string &name)
    {
        const BackendRecord *record = find(name);
        CHECK(record != nullptr);
        CHECK_EQUAL(std::string("s"), record->service.value);
        CHECK_EQUAL("10.0.0." + name.substr(1), record->host);
        CHECK(!record->isDraining);
    }
};

TEST_GROUP_BASE(HeartbeatAdmission, HeartbeatAdmissionFixture) {};

// A heartbeat under the id of a live replica moved it to another service, and its own ones were ignored from then on.
TEST(HeartbeatAdmission, LiveServerKeepsItsService)
{
    startServices();
    const std::uint64_t foreign = sendRequest(makeHeartbeat("b1", 500, 1, "t"));
    CHECK(responses.at(foreign).status == ControlStatus::Done);
    checkRecorded("b1");
    runServers(60s);
    checkRecorded("b1");
}

// The same with the start time of the live server.
TEST(HeartbeatAdmission, LiveServerKeepsItsServiceForItsStart)
{
    startServices();
    sendRequest(makeHeartbeat("b1", 1, 1000, "t"));
    checkRecorded("b1");
}

// A heartbeat under another id from the address of a live server removed that one.
TEST(HeartbeatAdmission, LiveServerKeepsItsAddress)
{
    startServices();
    BackendHeartbeat foreign = makeHeartbeat("x9", 500, 1);
    foreign.record.host = "10.0.0.1";
    sendRequest(foreign);
    checkRecorded("b1");
    CHECK(find("x9") == nullptr);
}

// The address of a server that has ended is used by another one.
TEST(HeartbeatAdmission, SilentServerGivesWayAtItsAddress)
{
    startServices();
    advance(2500ms);
    BackendHeartbeat successor = makeHeartbeat("x9", 500, 1);
    successor.record.host = "10.0.0.1";
    sendRequest(successor);
    CHECK(find("b1") == nullptr);
    CHECK(find("x9") != nullptr);
}

// A server that restarts at its address is recorded at once.
TEST(HeartbeatAdmission, RestartAtTheSameAddressIsRecordedAtOnce)
{
    startServices();
    sendRequest(makeHeartbeat("b1", 2, 1));
    CHECK_EQUAL(2, find("b1")->startedAtMs);
}

// No statement can reach a server of a service that no configuration names.
TEST(HeartbeatAdmission, ServerOfUnknownServiceIsNotRecorded)
{
    startServices();
    const std::uint64_t unknown = sendRequest(makeHeartbeat("x9", 1, 1, "inventory"));
    CHECK(responses.at(unknown).status == ControlStatus::Done);
    CHECK(find("x9") == nullptr);
}

// Servers may start before the first configuration arrives.
TEST(HeartbeatAdmission, ServerIsRecordedBeforeTheFirstConfiguration)
{
    sendRequest(makeHeartbeat("b1", 1, 1));
    checkRecorded("b1");
}

// After a heartbeat with a start time in the future, those of the server itself were ignored for good.
TEST(HeartbeatAdmission, ServerReturnsAfterAStartTimeInTheFuture)
{
    startServices();
    constexpr std::int64_t FarFuture = 1000000000000000000;
    BackendHeartbeat foreign = makeHeartbeat("b1", FarFuture, 1);
    foreign.record.isDraining = true;
    sendRequest(foreign);
    runServers(8s);
    checkRecorded("b1");
    runServers(60s);
    checkRecorded("b1");
}

// After a heartbeat with a sequence number that is too high, those of the server itself were ignored for good.
TEST(HeartbeatAdmission, ServerReturnsAfterASequenceNumberThatIsTooHigh)
{
    startServices();
    sendRequest(makeHeartbeat("b1", 1, 1000000000000000000));
    runServers(60s);
    checkRecorded("b1");
}

// A server whose heartbeats were lost for so long that it was removed was never used again.
TEST(HeartbeatAdmission, ServerReturnsAfterItWasRemovedAsSilent)
{
    startServices();
    for (int at = 0; at < 40; ++at) {
        ++sequence;
        sendHeartbeat("b0", sequence);
        sendHeartbeat("b2", sequence);
        advance(1s);
    }
    CHECK(find("b1") == nullptr);
    runServers(8s);
    checkRecorded("b1");
}

// Anyone can report that a server leaves.
TEST(HeartbeatAdmission, ServerReturnsAfterALeaveOfAnotherWriter)
{
    startServices();
    sendRequest(BackendLeave { BackendId { "b1" }, 0 });
    CHECK(find("b1") == nullptr);
    runServers(8s);
    checkRecorded("b1");
}

// Heartbeats of a server that has left, which were delayed on their way, arrive close together.
TEST(HeartbeatAdmission, LateHeartbeatsDoNotRestoreAServerThatHasLeft)
{
    startServices();
    sendHeartbeat("b1", ++sequence, 1, true);
    sendRequest(BackendLeave { BackendId { "b1" }, 1 });
    for (int at = 0; at < 10; ++at) {
        sendHeartbeat("b1", ++sequence);
        advance(50ms);
    }
    CHECK(find("b1") == nullptr);
}

// A new leader knows no heartbeats, and must not take every server for one that has ended.
TEST(HeartbeatAdmission, NewLeaderDoesNotDisplaceServersThatItHasNotHeard)
{
    startServices();
    supervisor.onLeadership(now, false, 2, {});
    supervisor.onLeadership(now, true, 2, { VmId { "c" } });
    sendRequest(makeHeartbeat("b1", 500, 1, "t"));
    checkRecorded("b1");
}
