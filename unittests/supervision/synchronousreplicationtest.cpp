// Which server the supervisor promotes where commits wait for a replica, and when it lets replicas receive again.
#include "supervisorfixture.h"

#include <algorithm>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP_BASE(SynchronousReplication, SupervisorFixture) {};

// A draining replica receives and acknowledges until it ends. If a server that stays were promoted although it is
// behind, the commits that only the draining one holds would be lost.
TEST(SynchronousReplication, DrainingReplicaThatIsAheadIsPromoted)
{
    startService(1);
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
    startService(1);
    positions = { { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
    sendHeartbeat("b1", 2, 1, true);
    unresponsive.insert("b0");
    advance(700ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b2"), promotions.front().backend.value);
}
