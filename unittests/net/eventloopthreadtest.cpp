#include "daisyrelay/net.h"

#include <array>
#include <atomic>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(EventLoopThread)
{
    Counters counters;
};

TEST(EventLoopThread, RunsTasksOfEachPostingThreadInOrder)
{
    constexpr int TasksPerThread = 5000;
    EventLoopThread eventLoop("test", counters);
    std::array<int, 2> executedTasks {};
    std::atomic<bool> isOrdered { true };
    std::promise<void> done;
    eventLoop.start();
    const auto postTasks = [&](std::size_t thread) {
        for (int task = 0; task < TasksPerThread; ++task) {
            const auto run = [&, thread, task]() {
                isOrdered = isOrdered && executedTasks[thread] == task;
                ++executedTasks[thread];
                if (executedTasks[0] + executedTasks[1] == 2 * TasksPerThread) {
                    done.set_value();
                }
            };
            while (!eventLoop.tryPost(run)) {
                std::this_thread::yield();
            }
        }
    };
    std::thread secondThread(postTasks, 1);
    postTasks(0);
    secondThread.join();
    done.get_future().wait();
    eventLoop.stop();
    CHECK(isOrdered);
}

TEST(EventLoopThread, FullRingRejectsAndCountsTasks)
{
    constexpr int TaskCount = 20000;
    EventLoopThread eventLoop("test", counters);
    int rejectedTasks = 0;
    for (int task = 0; task < TaskCount; ++task) {
        rejectedTasks += eventLoop.tryPost([]() {}) ? 0 : 1;
    }
    CHECK(rejectedTasks > 0);
    CHECK_EQUAL(rejectedTasks, counters.value("ring.full.test"));
}
