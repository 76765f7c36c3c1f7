// Tests of the times at which rejected callers return: the load of an outage that ends for all of them at once.
#include "daisyrelay/limits.h"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(ReturnSchedule)
{
    ReturnSchedule schedule;
};

TEST(ReturnSchedule, NobodyReturnsBeforeTheEnd)
{
    for (int caller = 0; caller < 100; ++caller) {
        CHECK(schedule.nextDelay(2s) >= 2s);
        CHECK(schedule.nextDelay(-1s) >= 0s);
    }
}

TEST(ReturnSchedule, CallersReturnEvenlySpread)
{
    constexpr int Callers = 1000;
    constexpr std::size_t Slots = 10;
    std::array<int, Slots> returning {};
    for (int caller = 0; caller < Callers; ++caller) {
        const Duration delay = schedule.nextDelay(1s) - 1s;
        CHECK(delay <= 250ms);
        ++returning.at(std::min<std::size_t>(static_cast<std::size_t>(delay / 25ms), Slots - 1));
    }
    CHECK(*std::max_element(returning.begin(), returning.end()) <= Callers / static_cast<int>(Slots) + 5);
}
