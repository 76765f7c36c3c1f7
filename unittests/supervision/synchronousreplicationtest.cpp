// Which server the supervisor promotes where commits wait for a replica, and when it lets replicas receive again.
#include "supervisorfixture.h"

#include <algorithm>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP_BASE(SynchronousReplication, SupervisorFixture) {};

/// Tells whether \p name was told to receive again after its last pause.
static bool mayReceive(const std::vector<ProbeBackend> &probes, const std::string &name)
{
    const auto last = std::find_if(probes.rbegin(), probes.rend(), [&name](const ProbeBackend &probe) {
        const bool changesReplication = probe.kind == ProbeKind::Pause || probe.kind == ProbeKind::Resume;
        return changesReplication && probe.backend.id.value == name;
    });
    return last != probes.rend() && last->kind == ProbeKind::Resume;
}

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

// The record of a replica that leaves during a survey must stay: the others may lack commits that only it holds.
TEST(SynchronousReplication, ReplicaMayNotLeaveWhileThePrimaryIsReplaced)
{
    startService(1);
    positions = { { "b1", { 1, 9 } }, { "b2", { 1, 5 } } };
    sendHeartbeat("b1", 2, 1, true);
    unresponsive = { "b0", "b2" };
    advance(1s);
    CHECK(promotions.empty());
    sendRequest(BackendLeave { BackendId { "b1" }, 1 });
    CHECK(supervisor.state().find(BackendId { "b1" }) != nullptr);
    unresponsive = { "b0", "b1" };
    advance(1s);
    CHECK(promotions.empty());
    unresponsive = { "b0" };
    advance(1s);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b1"), promotions.front().backend.value);
}

TEST(SynchronousReplication, ReplicaLeavesWhileThePrimaryIsHealthy)
{
    startService(1);
    sendHeartbeat("b1", 2, 1, true);
    advance(500ms);
    sendRequest(BackendLeave { BackendId { "b1" }, 1 });
    CHECK(supervisor.state().find(BackendId { "b1" }) == nullptr);
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

// A replica that is cut off from control, but not from the primary, goes on to acknowledge commits.
TEST(SynchronousReplication, ReplicaWithoutHeartbeatsIsAskedBeforeAPromotion)
{
    startService(1);
    unresponsive.insert("b2");
    for (std::uint64_t sequence = 2; sequence < 12; ++sequence) {
        sendHeartbeat("b0", sequence);
        sendHeartbeat("b1", sequence);
        advance(500ms);
    }
    unresponsive.insert("b0");
    positions["b2"] = { 1, 9 };
    advance(1s);
    CHECK(promotions.empty());
    unresponsive.erase("b2");
    advance(500ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b2"), promotions.front().backend.value);
}

// Nobody can replace a draining primary before the silent replica has been asked; pauses until then would only keep its
// commits waiting.
TEST(SynchronousReplication, PlannedReplacementAwaitsASilentReplica)
{
    startService(1);
    for (std::uint64_t sequence = 2; sequence < 12; ++sequence) {
        sendHeartbeat("b0", sequence);
        sendHeartbeat("b1", sequence);
        advance(500ms);
    }
    sendHeartbeat("b0", 12, 1, true);
    unresponsive.insert("b2");
    advance(1s);
    CHECK(promotions.empty());
    CHECK(std::find(probeKinds.begin(), probeKinds.end(), ProbeKind::Pause) == probeKinds.end());
    unresponsive.clear();
    sendHeartbeat("b2", 2);
    advance(500ms);
    CHECK_EQUAL(1U, promotions.size());
}

// A new leader knows no term yet. Servers ignore a pause of their own term, so that the survey would miss commits that
// are acknowledged while it runs.
TEST(SynchronousReplication, SurveyWithoutEffectivePauseIsRepeated)
{
    positions = { { "b0", { 4, 9 } }, { "b1", { 4, 9 } }, { "b2", { 4, 9 } } };
    startService(1);
    positions = { { "b0", { 4, 9 } }, { "b1", { 4, 9 } }, { "b2", { 4, 9 } } };
    unresponsive.insert("b0");
    supervisor.onLeadership(now, false, 1, {});
    supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    advance(1s);
    CHECK_EQUAL(1U, promotions.size());
    for (const char *name : { "b1", "b2" }) {
        Term highest = 0;
        for (const ProbeBackend &probe : probes) {
            const bool isPause = probe.kind == ProbeKind::Pause && probe.backend.id.value == name;
            highest = isPause ? std::max(highest, probe.pauseTerm) : highest;
        }
        CHECK(highest > 4);
    }
}

// Replicas that a survey without result has paused would keep the commits of the primary waiting.
TEST(SynchronousReplication, ReplicasReceiveAgainOnceThePrimaryIsConfirmed)
{
    startService(1);
    unresponsive = { "b0" };
    unresponsiveToPauses = { "b2" };
    advance(1s);
    CHECK(promotions.empty());
    unresponsive.clear();
    unresponsiveToPauses.clear();
    probes.clear();
    advance(500ms);
    CHECK(mayReceive(probes, "b2"));
    CHECK(promotions.empty());
}

// A replica that could be asked receives again although another one could not.
TEST(SynchronousReplication, ReplicasReceiveAgainAfterASurveyWithoutResult)
{
    startService(1);
    unresponsive = { "b0" };
    unresponsiveToPauses = { "b2" };
    advance(1s);
    CHECK(promotions.empty());
    unresponsive.erase("b0");
    advance(500ms);
    CHECK(mayReceive(probes, "b1"));
}

// The VM that has paused the replicas may not lead any more when the primary returns.
TEST(SynchronousReplication, NewLeaderLetsReplicasReceiveAgain)
{
    startService(1);
    unresponsive = { "b0" };
    unresponsiveToPauses = { "b2" };
    advance(1s);
    unresponsive.clear();
    unresponsiveToPauses.clear();
    supervisor.onLeadership(now, false, 1, {});
    supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    probes.clear();
    advance(1s);
    CHECK(mayReceive(probes, "b1"));
    CHECK(mayReceive(probes, "b2"));
    CHECK(promotions.empty());
}

// The call of a former leader may be carried out late. Commits of the server that it promoted may be held besides only
// by the recorded primary, which no survey asks.
TEST(SynchronousReplication, ServerThatAFormerLeaderPromotedKeepsTheRole)
{
    startService(1);
    unresponsive = { "b0" };
    primaryName = "b2";
    positions = { { "b1", { 2, 9 } }, { "b2", { 2, 9 } } };
    advance(1s);
    CHECK(promotions.empty());
    CHECK_EQUAL(std::string("b2"), primary());
}
