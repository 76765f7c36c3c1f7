#include "daisyrelay/limits/requestgate.h"
#include "daisyrelay/limits/reconnectschedule.h"

#include <algorithm>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RequestGate)
{
    static constexpr Duration MaxWait = 700ms;
    Instant now { 100s };
    RequestGate gate { MaxWait };

    /// Sends 2,500 requests a second and answers 500. \returns the longest predicted wait.
    Duration runOverload(Duration duration)
    {
        std::size_t longest = 0;
        for (const Instant end = now + duration; now < end; now += 2ms) {
            for (int request = 0; request < 5; ++request) {
                (void)gate.admit(now);
            }
            gate.finish(now);
            longest = std::max(longest, gate.waiting());
        }
        return longest * 2ms;
    }
};

// Requests that wait longer than their senders do are answered for nothing, and the retries make the queue grow.
TEST(RequestGate, WaitingRequestsAreAnsweredInTime)
{
    CHECK(runOverload(20s) <= MaxWait + 2ms);
}

TEST(RequestGate, IdleGateAdmitsAgain)
{
    (void)runOverload(2s);
    while (gate.waiting() > 0) {
        gate.finish(now);
    }
    now += 5s;
    for (int request = 0; request < 50; ++request) {
        CHECK(gate.admit(now));
    }
}

// After a suspension, all requests in the sockets are older than their senders wait.
TEST(RequestGate, LateEventLoopRefuses)
{
    gate.setLoopDelay(MaxWait + 1ms);
    CHECK(!gate.admit(now));
    gate.setLoopDelay(1ms);
    CHECK(gate.admit(now));
}

TEST_GROUP(ReconnectSchedule)
{
    std::mt19937_64 random { 7 };
    RandomSource source { [this]() { return random(); } };
};

// 290 entries that lost the leader connected 20 times a second each.
TEST(ReconnectSchedule, RepeatedFailuresSlowDownAndSpread)
{
    std::map<Duration, int> delays;
    for (int peer = 0; peer < 300; ++peer) {
        ReconnectSchedule schedule;
        Instant now { 100s };
        for (int attempt = 0; attempt < 6; ++attempt) {
            CHECK(schedule.isDue(now));
            schedule.onConnected(now);
            schedule.onClosed(now += 1ms, source);
            CHECK(!schedule.isDue(now));
            const Instant closedAt = now;
            while (!schedule.isDue(now)) {
                now += 1ms;
            }
            if (attempt == 5) {
                CHECK(now - closedAt >= 200ms && now - closedAt <= 400ms);
                ++delays[now - closedAt];
            }
        }
    }
    for (const auto &[delay, count] : delays) {
        CHECK(count < 30);
    }
}

TEST(ReconnectSchedule, ConnectionThatLastedIsOpenedAgainSoon)
{
    ReconnectSchedule schedule;
    Instant now { 100s };
    for (int attempt = 0; attempt < 6; ++attempt) {
        schedule.onClosed(now, source);
    }
    schedule.onConnected(now);
    schedule.onClosed(now + 1s, source);
    CHECK(schedule.isDue(now + 1s + 50ms));
}
