#include "platform/soak/faultschedule.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::soak;
using namespace std::chrono_literals;

TEST_GROUP(FaultSchedule) {};

TEST(FaultSchedule, SameSeedGeneratesSameFaults)
{
    const std::vector<Fault> first = generateFaults(7, 60s);
    const std::vector<Fault> second = generateFaults(7, 60s);
    CHECK(
        std::equal(first.begin(), first.end(), second.begin(), second.end(), [](const Fault &left, const Fault &right) {
            return left.at == right.at && left.kind == right.kind && left.target == right.target
                && left.duration == right.duration;
        }));
    CHECK(generateFaults(8, 60s).front().at != first.front().at);
}

TEST(FaultSchedule, FaultsOverlapAndEndBeforeRunEnds)
{
    const std::vector<Fault> faults = generateFaults(3, 60s);
    bool hasOverlap = false;
    for (std::size_t at = 0; at + 1 < faults.size(); ++at) {
        CHECK(faults[at].at <= faults[at + 1].at);
        CHECK(faults[at].at + faults[at].duration <= 60s);
        hasOverlap = hasOverlap || faults[at].at + faults[at].duration > faults[at + 1].at;
    }
    CHECK(hasOverlap);
}

TEST(FaultSchedule, EveryFaultKindOccurs)
{
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        for (const Fault &fault : generateFaults(seed, 60s)) {
            kinds.insert(fault.kind);
            CHECK(!faultKindName(fault.kind).empty());
        }
    }
    CHECK_EQUAL(static_cast<std::size_t>(FaultKind::LeaveReplica), kinds.size());
    for (const Fault &fault : generateReplicaFaults(1, 60s)) {
        kinds.insert(fault.kind);
        CHECK(!faultKindName(fault.kind).empty());
    }
    CHECK_EQUAL(static_cast<std::size_t>(FaultKind::Last), kinds.size());
}
