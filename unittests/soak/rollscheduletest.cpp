#include "platform/soak/rollschedule.h"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(RollSchedule)
{
    static constexpr std::size_t Entries = 4;
};

// A seed that cannot be played again proves nothing about a fix.
TEST(RollSchedule, SameSeedGeneratesSameSteps)
{
    const std::vector<PlannedStep> first = generatePlannedWork(7, Entries, 60s);
    const std::vector<PlannedStep> second = generatePlannedWork(7, Entries, 60s);
    CHECK(std::equal(first.begin(), first.end(), second.begin(), second.end(),
        [](const PlannedStep &left, const PlannedStep &right) {
            return left.at == right.at && left.kind == right.kind && left.entry == right.entry
                && left.delay == right.delay;
        }));
    CHECK(generatePlannedWork(8, Entries, 60s).front().at != first.front().at);
}

// Steps out of order or beyond the end would be played late or never.
TEST(RollSchedule, StepsAreInOrderAndEndBeforeRunEnds)
{
    const std::vector<PlannedStep> steps = generatePlannedWork(3, Entries, 30s);
    for (std::size_t at = 0; at < steps.size(); ++at) {
        CHECK(steps[at].at < 30s);
        CHECK(steps[at].entry < Entries);
        CHECK(at == 0 || steps[at - 1].at <= steps[at].at);
    }
}

// A schedule of mild stops misses what a roll of all entries shows.
TEST(RollSchedule, EveryKindOccursAndAllEntriesDrainTogether)
{
    std::set<PlannedKind> kinds;
    std::size_t mostDraining = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        std::map<std::size_t, Duration> stops;
        for (const PlannedStep &step : generatePlannedWork(seed, Entries, 30s)) {
            kinds.insert(step.kind);
            CHECK(!plannedKindName(step.kind).empty());
            if (step.kind == PlannedKind::Stop) {
                std::erase_if(stops, [&step](const auto &stop) { return stop.second < step.at - 6s; });
                stops[step.entry] = step.at;
                mostDraining = std::max(mostDraining, stops.size());
            }
        }
    }
    CHECK_EQUAL(static_cast<std::size_t>(PlannedKind::Last), kinds.size());
    CHECK_EQUAL(Entries, mostDraining);
}
