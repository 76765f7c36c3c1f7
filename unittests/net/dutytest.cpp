#include "daisyrelay/net.h"

#include <array>
#include <atomic>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(Duty)
{
    Counters counters;
};

TEST(Duty, RunsTasksOfSeveralThreadsInTheOrderOfEach)
{
    constexpr int TasksPerThread = 5000;
    Duty duty("test", counters);
    std::array<int, 2> seen {};
    std::atomic<bool> ordered { true };
    std::promise<void> done;
    duty.start();
    const auto produce = [&](std::size_t thread) {
        for (int task = 0; task < TasksPerThread; ++task) {
            const auto run = [&, thread, task]() {
                ordered = ordered && seen[thread] == task;
                ++seen[thread];
                if (seen[0] + seen[1] == 2 * TasksPerThread) {
                    done.set_value();
                }
            };
            while (!duty.tryPost(run)) {
                std::this_thread::yield();
            }
        }
    };
    std::thread other(produce, 1);
    produce(0);
    other.join();
    done.get_future().wait();
    duty.stop();
    CHECK(ordered);
}

TEST(Duty, AFullRingRefusesAndCounts)
{
    constexpr int MoreThanTheRingHolds = 20000;
    Duty duty("test", counters);
    int refused = 0;
    for (int task = 0; task < MoreThanTheRingHolds; ++task) {
        refused += duty.tryPost([]() {}) ? 0 : 1;
    }
    CHECK(refused > 0);
    CHECK_EQUAL(refused, counters.value("ring.full.test"));
}
