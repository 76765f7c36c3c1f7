// Many proxies before one server with a short queue: the load of a service whose replicas are all behind.
#include "daisyrelay/limits.h"

#include <algorithm>
#include <deque>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

namespace {

/// A server with a few slots and a queue; what finds no room is refused at once.
struct FakeServer {
    struct Work {
        std::size_t proxy = 0;
        Instant arrivedAt {};
        Instant endsAt {};
    };

    std::size_t slots = 3;
    std::size_t queue = 24;
    Duration workTime = 18ms;
    std::deque<Work> waiting;
    std::vector<Work> running;

    bool offer(Instant now, std::size_t proxy)
    {
        if (waiting.size() >= queue) {
            return false;
        }
        waiting.push_back({ proxy, now, {} });
        return true;
    }

    std::vector<Work> advance(Instant now)
    {
        std::vector<Work> done;
        std::copy_if(running.begin(), running.end(), std::back_inserter(done),
            [now](const Work &work) { return work.endsAt <= now; });
        std::erase_if(running, [now](const Work &work) { return work.endsAt <= now; });
        while (running.size() < slots && !waiting.empty()) {
            running.push_back(waiting.front());
            running.back().endsAt = now + workTime;
            waiting.pop_front();
        }
        return done;
    }
};

/// Proxies that always have something to send.
struct Crowd {
    struct Proxy {
        AdaptiveWindow window;
        std::size_t underWay = 0;
    };

    Instant now = Instant() + 1h;
    FakeServer server;
    std::vector<Proxy> proxies;
    std::size_t refused = 0;
    std::size_t ran = 0;
    std::size_t late = 0; ///< Ran, but took longer than the strictest target of the users' classes, 150 ms.

    explicit Crowd(std::size_t size) : proxies(size)
    {
    }

    void run(Duration duration)
    {
        refused = 0;
        ran = 0;
        late = 0;
        for (const Instant end = now + duration; now < end; now += 1ms) {
            for (const FakeServer::Work &work : server.advance(now)) {
                Proxy &proxy = proxies[work.proxy];
                proxy.window.ran(now, now - work.arrivedAt, proxy.underWay);
                --proxy.underWay;
                ++ran;
                late += now - work.arrivedAt > 150ms ? 1 : 0;
            }
            // Each begins with another one, as their timers do.
            const auto first = static_cast<std::size_t>(now.time_since_epoch() / 1ms) * 7;
            for (std::size_t at = 0; at < proxies.size(); ++at) {
                offer((first + at) % proxies.size());
            }
        }
    }

    void offer(std::size_t at)
    {
        Proxy &proxy = proxies[at];
        if (!proxy.window.admits(now, proxy.underWay)) {
            return;
        }
        proxy.window.started(now);
        if (server.offer(now, at)) {
            ++proxy.underWay;
        } else {
            proxy.window.refused(now, proxy.underWay);
            ++refused;
        }
    }
};

} // namespace

TEST_GROUP(AdaptiveWindow) {};

TEST(AdaptiveWindow, ManyProxiesKeepASharedServerBusyAndItsQueueShort)
{
    Crowd crowd(65);
    crowd.run(5s); // Each has learned how long a statement takes, and how little of the server is its own.
    crowd.run(5s);
    // 3 slots of 18 ms run 166 a second.
    CHECK(crowd.ran > 5 * 166 * 8 / 10);
    CHECK(crowd.refused < crowd.ran);
    CHECK(crowd.late < crowd.ran / 20);
}

TEST(AdaptiveWindow, AFewProxiesUseAllOfIt)
{
    Crowd crowd(3);
    crowd.run(5s);
    crowd.run(5s);
    CHECK(crowd.ran > 5 * 166 * 8 / 10);
}

TEST(AdaptiveWindow, RefusalsOfAServerThatIsQuickDoNotPauseTheProxy)
{
    AdaptiveWindow window;
    Instant now = Instant() + 1h;
    for (int at = 0; at < 200; ++at, now += 30ms) {
        window.started(now);
        if (at % 5 < 2) {
            window.refused(now, 1);
        } else {
            window.ran(now, 10ms, 1);
        }
        CHECK(window.admits(now + 1ms, 0));
    }
}

TEST(AdaptiveWindow, ThePauseEndsOnceTheServerIsFree)
{
    Crowd crowd(65);
    crowd.run(5s);
    for (Crowd::Proxy &proxy : crowd.proxies) {
        proxy.underWay = 0;
    }
    AdaptiveWindow window = crowd.proxies.front().window;
    CHECK(window.size() < 1);
    CHECK(window.waitFor(crowd.now, 10, 2, 18ms) > 180ms);
    Instant now = crowd.now;
    for (int at = 0; at < 200 && window.size() < 1; ++at) {
        now += 10ms;
        if (window.admits(now, 0)) {
            window.started(now);
            window.ran(now, 18ms, 1);
        }
    }
    CHECK(window.size() >= 1);
    CHECK(now - crowd.now < 2s);
}
