// A service whose replicas are behind, so that its primary gets more than it can run: who is served, and who is told.
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

TEST(Overload, ABacklogDoesNotMakeEveryoneLate)
{
    // One connection runs a read in about 9 ms, so 110 a second; twice as many are asked.
    constexpr int Callers = 60;
    std::vector<SessionId> sessions;
    sessions.reserve(Callers);
    std::map<SessionId, Instant> askedAt;
    for (int at = 0; at < Callers; ++at) {
        sessions.push_back(service.open("c" + std::to_string(at)));
    }
    int inTime = 0;
    int late = 0;
    int refused = 0;
    std::size_t next = 0;
    for (int millisecond = 0; millisecond < 3000; ++millisecond) {
        if (millisecond % 5 == 0) {
            const SessionId session = sessions[next++ % sessions.size()];
            if (!askedAt.contains(session)) {
                askedAt[session] = service.now;
                service.send(session, StatementType::Read, "x");
            }
        }
        service.run(1ms);
        for (const SessionId session : sessions) {
            std::deque<CallerResponse> &responses = service.callers[session].responses;
            if (responses.empty()) {
                continue;
            }
            const Duration took = service.now - askedAt.at(session);
            if (responses.front().code != ResponseCode::Ok) {
                ++refused;
                CHECK(responses.front().detail.find("come back in") != std::string::npos);
            } else if (took <= 200ms) {
                ++inTime;
            } else {
                ++late;
            }
            responses.clear();
            askedAt.erase(session);
        }
    }
    // The connection is busy all the time, for callers that still want the answer.
    CHECK(inTime > 200);
    CHECK(late < inTime / 10);
    CHECK(refused > 0);
}

TEST(Overload, ReplicasThatAreFarBehindAreNotAskedAgainAndAgain)
{
    FakeService behind { 3 };
    behind.configure(ReadGuarantee::BoundedStaleness, 1000ms);
    behind.sendTopology(1);
    behind.replicationLag = 10s;
    const SessionId writer = behind.open("w");
    constexpr std::size_t Readers = 60;
    std::vector<SessionId> readers;
    readers.reserve(Readers);
    for (std::size_t at = 0; at < Readers; ++at) {
        readers.push_back(behind.open("r" + std::to_string(at)));
    }
    // The primary can run a read in 7 ms; they come every 4 ms.
    std::set<SessionId> waiting;
    int served = 0;
    for (int millisecond = 0; millisecond < 6000; millisecond += 4) {
        if (millisecond % 200 == 0 && behind.callers[writer].responses.empty()) {
            behind.send(writer, StatementType::Write, "x");
        }
        const SessionId reader = readers[static_cast<std::size_t>(millisecond / 4) % readers.size()];
        if (waiting.insert(reader).second) {
            behind.send(reader, StatementType::Read, "x");
        }
        behind.run(4ms);
        behind.callers[writer].responses.clear();
        for (const SessionId one : readers) {
            std::deque<CallerResponse> &responses = behind.callers[one].responses;
            if (!responses.empty()) {
                served += responses.front().code == ResponseCode::Ok ? 1 : 0;
                responses.clear();
                waiting.erase(one);
            }
        }
    }
    const std::uint64_t lagged = behind.servers["b1"].lagRejections + behind.servers["b2"].lagRejections;
    CHECK(served > 600);
    // Each is asked now and then whether it has caught up.
    CHECK(lagged > 4);
    CHECK(lagged < 40);
    CHECK_EQUAL(std::string(), behind.violation);
}
