// Tests many proxies that share one server with a short queue, as when all replicas of a service lag.
#include "daisyrelay/limits.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

namespace {

/// A server with a few slots and a bounded queue; rejects statements when the queue is full.
struct FakeServer {
    struct Statement {
        std::size_t proxy = 0;
        Instant arrivedAt {};
        Instant endsAt {};
    };

    std::size_t slots = 3;
    std::size_t maxWaiting = 24;
    Duration serviceTime = 18ms;
    std::deque<Statement> waiting;
    std::vector<Statement> running;

    bool tryEnqueue(Instant now, std::size_t proxy)
    {
        if (waiting.size() >= maxWaiting) {
            return false;
        }
        waiting.push_back({ proxy, now, {} });
        return true;
    }

    std::vector<Statement> advance(Instant now)
    {
        std::vector<Statement> completed;
        std::copy_if(running.begin(), running.end(), std::back_inserter(completed),
            [now](const Statement &statement) { return statement.endsAt <= now; });
        std::erase_if(running, [now](const Statement &statement) { return statement.endsAt <= now; });
        while (running.size() < slots && !waiting.empty()) {
            running.push_back(waiting.front());
            running.back().endsAt = now + serviceTime;
            waiting.pop_front();
        }
        return completed;
    }
};

/// A group of proxies that always have another statement to send.
struct ProxyFleet {
    struct Proxy {
        AdaptiveWindow window;
        std::size_t inFlight = 0;
    };

    Instant now = Instant() + 1h;
    FakeServer server;
    std::vector<Proxy> proxies;
    std::size_t refusedCount = 0;
    std::size_t completedCount = 0;
    /// Statements that took longer than 150 ms, the strictest latency target in use.
    std::size_t lateCount = 0;

    explicit ProxyFleet(std::size_t size) : proxies(size)
    {
    }

    void run(Duration duration)
    {
        refusedCount = 0;
        completedCount = 0;
        lateCount = 0;
        for (const Instant end = now + duration; now < end; now += 1ms) {
            for (const FakeServer::Statement &statement : server.advance(now)) {
                Proxy &proxy = proxies[statement.proxy];
                proxy.window.recordCompletion(now, now - statement.arrivedAt, proxy.inFlight);
                --proxy.inFlight;
                ++completedCount;
                lateCount += now - statement.arrivedAt > 150ms ? 1 : 0;
            }
            // Start with a different proxy each time, as independent timers would.
            const auto first = static_cast<std::size_t>(now.time_since_epoch() / 1ms) * 7;
            for (std::size_t index = 0; index < proxies.size(); ++index) {
                trySend((first + index) % proxies.size());
            }
        }
    }

    void trySend(std::size_t index)
    {
        Proxy &proxy = proxies[index];
        if (!proxy.window.canSend(now, proxy.inFlight)) {
            return;
        }
        proxy.window.recordStart(now);
        if (server.tryEnqueue(now, index)) {
            ++proxy.inFlight;
        } else {
            proxy.window.recordRejection(now, proxy.inFlight);
            ++refusedCount;
        }
    }
};

} // namespace

TEST_GROUP(AdaptiveWindow) {};

TEST(AdaptiveWindow, ManyProxiesKeepSharedServerBusyWithShortQueue)
{
    ProxyFleet fleet(65);
    fleet.run(5s); // Warm-up: each proxy measures the service time and settles on its share.
    fleet.run(5s);
    // 3 slots of 18 ms run 166 statements per second.
    CHECK(fleet.completedCount > 5 * 166 * 8 / 10);
    CHECK(fleet.refusedCount < fleet.completedCount);
    CHECK(fleet.lateCount < fleet.completedCount / 20);
}

TEST(AdaptiveWindow, FewProxiesUseFullServerCapacity)
{
    ProxyFleet fleet(3);
    fleet.run(5s);
    fleet.run(5s);
    CHECK(fleet.completedCount > 5 * 166 * 8 / 10);
}

TEST(AdaptiveWindow, RejectionsByFastServerDoNotDelaySending)
{
    AdaptiveWindow window;
    Instant now = Instant() + 1h;
    for (int index = 0; index < 200; ++index, now += 30ms) {
        window.recordStart(now);
        if (index % 5 < 2) {
            window.recordRejection(now, 1);
        } else {
            window.recordCompletion(now, 10ms, 1);
        }
        CHECK(window.canSend(now + 1ms, 0));
    }
}

TEST(AdaptiveWindow, WindowRecoversWhenServerIsIdle)
{
    ProxyFleet fleet(65);
    fleet.run(5s);
    for (ProxyFleet::Proxy &proxy : fleet.proxies) {
        proxy.inFlight = 0;
    }
    AdaptiveWindow window = fleet.proxies.front().window;
    CHECK(window.size() < 1);
    CHECK(window.predictedWait(fleet.now, 10, 2, 18ms) > 180ms);
    Instant now = fleet.now;
    for (int index = 0; index < 200 && window.size() < 1; ++index) {
        now += 10ms;
        if (window.canSend(now, 0)) {
            window.recordStart(now);
            window.recordCompletion(now, 18ms, 1);
        }
    }
    CHECK(window.size() >= 1);
    CHECK(now - fleet.now < 2s);
}
