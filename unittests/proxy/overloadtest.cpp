// Behavior of the proxy when a server gets more statements than it can run.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Overload)
{
    FakeService service { 1 };

    void setup() override
    {
        service.configure(ReadGuarantee::Primary, 1000ms);
        service.sendTopology(1);
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }
};

TEST(Overload, BacklogLetsMostStatementsMeetTheirTarget)
{
    // One connection runs a read in about 9 ms, or 110 reads per second; the test sends 200 per second.
    constexpr int Callers = 60;
    std::vector<SessionId> sessions;
    sessions.reserve(Callers);
    std::map<SessionId, Instant> sentAt;
    for (int at = 0; at < Callers; ++at) {
        sessions.push_back(service.open("c" + std::to_string(at)));
    }
    int onTime = 0;
    int late = 0;
    int rejected = 0;
    std::size_t next = 0;
    for (int millisecond = 0; millisecond < 3000; ++millisecond) {
        if (millisecond % 5 == 0) {
            const SessionId session = sessions[next++ % sessions.size()];
            if (!sentAt.contains(session)) {
                sentAt[session] = service.now;
                service.send(session, StatementType::Read, "x");
            }
        }
        service.run(1ms);
        for (const SessionId session : sessions) {
            std::deque<CallerResponse> &responses = service.callers[session].responses;
            if (responses.empty()) {
                continue;
            }
            const Duration latency = service.now - sentAt.at(session);
            if (responses.front().code != ResponseCode::Ok) {
                ++rejected;
                CHECK(responses.front().detail.find("come back in") != std::string::npos);
            } else if (latency <= 200ms) {
                ++onTime;
            } else {
                ++late;
            }
            responses.clear();
            sentAt.erase(session);
        }
    }
    // The connection must stay busy with statements whose callers have not timed out.
    CHECK(onTime > 200);
    CHECK(late < onTime / 10);
    CHECK(rejected > 0);
}

TEST(Overload, LaggingReplicasAreRetriedRarely)
{
    FakeService laggingService { 3 };
    laggingService.configure(ReadGuarantee::BoundedStaleness, 1000ms);
    laggingService.sendTopology(1);
    laggingService.replicationLag = 10s;
    const SessionId writer = laggingService.open("w");
    constexpr std::size_t Readers = 60;
    std::vector<SessionId> readers;
    readers.reserve(Readers);
    for (std::size_t at = 0; at < Readers; ++at) {
        readers.push_back(laggingService.open("r" + std::to_string(at)));
    }
    // The primary can run one read every 7 ms; the test sends one every 4 ms.
    std::set<SessionId> awaiting;
    int succeeded = 0;
    for (int millisecond = 0; millisecond < 6000; millisecond += 4) {
        if (millisecond % 200 == 0 && laggingService.callers[writer].responses.empty()) {
            laggingService.send(writer, StatementType::Write, "x");
        }
        const SessionId reader = readers[static_cast<std::size_t>(millisecond / 4) % readers.size()];
        if (awaiting.insert(reader).second) {
            laggingService.send(reader, StatementType::Read, "x");
        }
        laggingService.run(4ms);
        laggingService.callers[writer].responses.clear();
        for (const SessionId awaitingReader : readers) {
            std::deque<CallerResponse> &responses = laggingService.callers[awaitingReader].responses;
            if (!responses.empty()) {
                succeeded += responses.front().code == ResponseCode::Ok ? 1 : 0;
                responses.clear();
                awaiting.erase(awaitingReader);
            }
        }
    }
    const std::uint64_t lagRejections
        = laggingService.servers["b1"].lagRejections + laggingService.servers["b2"].lagRejections;
    CHECK(succeeded > 600);
    // Each lagging replica is still retried occasionally, to detect that it has caught up.
    CHECK(lagRejections > 4);
    CHECK(lagRejections < 40);
    CHECK_EQUAL(std::string(), laggingService.violation);
}
