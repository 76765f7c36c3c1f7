// Which server the supervisor promotes where commits wait for a replica, and when it lets replicas receive again.
#include "supervisorfixture.h"

#include <algorithm>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP_BASE(SynchronousReplication, SupervisorFixture) { void startSynchronousService() { putConfiguration(1, 1);
positions = { { "b0", { 1, 0 } }, { "b1", { 1, 0 } }, { "b2", { 1, 0 } } };
for (const char *name : { "b0", "b1", "b2" }) {
    sendHeartbeat(name, 1);
}
advance(300ms);
}

/// Returns how often \p name was told to receive again.
std::size_t resumesOf(const std::string &name) const
{
    return static_cast<std::size_t>(std::count_if(probes.begin(), probes.end(), [&name](const ProbeBackend &probe) {
        return probe.kind == ProbeKind::Resume && probe.backend.id.value == name;
    }));
}
}
;

// A draining replica receives and acknowledges until it ends. If a server that stays were promoted although it is
// behind, the commits that only the draining one holds would be lost.
TEST(SynchronousReplication, DrainingReplicaThatIsAheadIsPromoted)
{
    startSynchronousService();
    positions = { { "b1", { 1, 9 } }, { "b2", { 1, 5 } } };
    sendHeartbeat("b1", 2, 1, true);
    unresponsive.insert("b0");
    advance(700ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b1"), promotions.front().backend.value);
}

// A draining server would have to be replaced again.
TEST(SynchronousReplication, StayingReplicaIsPromotedAmongEqualOnes)
{
    startSynchronousService();
    positions = { { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
    sendHeartbeat("b1", 2, 1, true);
    unresponsive.insert("b0");
    advance(700ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b2"), promotions.front().backend.value);
}
