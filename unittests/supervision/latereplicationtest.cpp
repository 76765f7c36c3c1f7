// Servers that start while the primary of a service whose commits wait for a replica is being replaced.
#include "supervisorfixture.h"

#include <algorithm>
#include <functional>

using namespace daisyrelay;
using namespace std::chrono_literals;

struct LateReplicationFixture : SupervisorFixture {
    /// Returns the number of probes of \p kind that \p name got.
    std::size_t countProbes(ProbeKind kind, const std::string &name) const
    {
        return static_cast<std::size_t>(std::count_if(probes.begin(), probes.end(),
            [&](const ProbeBackend &probe) { return probe.kind == kind && probe.backend.id.value == name; }));
    }

    static bool isDecision(const SupervisionCommand &command)
    {
        return std::holds_alternative<DecidePromotion>(command);
    }

    /// Commits all proposals, the promotions after the others.
    void commitDecisionsLast()
    {
        std::stable_partition(proposed.begin(), proposed.end(), std::not_fn(isDecision));
        commitsImmediately = true;
        while (!proposed.empty()) {
            commitNext();
        }
        performActions();
    }

    /// Drains the primary "b0" and runs until the platform has accepted a call for a promotion.
    void replacePrimary()
    {
        positions = { { "b0", { 1, 9 } }, { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
        startService(1);
        sendHeartbeat("b0", 2, 1, true);
        for (int at = 0; promotions.empty() && at < 100; ++at) {
            advance(10ms);
        }
        CHECK_EQUAL(1U, promotions.size());
        supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Accepted);
        performActions();
    }
};

TEST_GROUP_BASE(LateReplication, LateReplicationFixture) {};

// Commits that a primary acknowledges after the survey, with the help of a server that no survey has paused, are lost
// with the promotion.
TEST(LateReplication, PrimaryStepsDownBeforeThePromotion)
{
    replacePrimary();
    CHECK(steppedDown.contains("b0"));
}

// A server that starts after the survey receives from a primary that has restarted and leads again.
TEST(LateReplication, ServerThatStartsDuringThePromotionIsPaused)
{
    replacePrimary();
    sendHeartbeat("b3", 1);
    advance(20ms);
    CHECK_EQUAL(1U, countProbes(ProbeKind::Pause, "b3"));
}

// A replica forgets its pause when it restarts.
TEST(LateReplication, ReplicaThatRestartsDuringThePromotionIsPausedAgain)
{
    replacePrimary();
    const std::size_t pauses = countProbes(ProbeKind::Pause, "b2");
    sendHeartbeat("b2", 1, 2);
    advance(20ms);
    CHECK_EQUAL(pauses + 1, countProbes(ProbeKind::Pause, "b2"));
}

// A primary that restarts before the promotion takes effect leads again.
TEST(LateReplication, PrimaryThatRestartsDuringThePromotionStepsDownAgain)
{
    replacePrimary();
    steppedDown.clear();
    advance(250ms);
    CHECK(steppedDown.contains("b0"));
}

// A server that is recorded between the survey and the call may be the only one that holds the last commits.
TEST(LateReplication, ServerRecordedBeforeTheCallIsSurveyed)
{
    positions = { { "b0", { 1, 9 } }, { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
    startService(1);
    commitsImmediately = false;
    sendHeartbeat("b0", 2, 1, true);
    commitNext();
    const auto isDecision
        = [](const SupervisionCommand &command) { return std::holds_alternative<DecidePromotion>(command); };
    for (int at = 0; std::none_of(proposed.begin(), proposed.end(), isDecision) && at < 100; ++at) {
        advance(10ms);
    }
    sendHeartbeat("b3", 1);
    positions["b3"] = { 1, 12 };
    commitDecisionsLast();
    advance(100ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b3"), promotions.front().backend.value);
}

// A server receives before its first heartbeat, so that the last commits of the primary may be acknowledged although no
// known server holds them.
TEST(LateReplication, ServerWithTheLastCommitsIsAwaited)
{
    positions = { { "b0", { 1, 12 } }, { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
    startService(1);
    positions["b0"] = { 1, 12 };
    sendHeartbeat("b0", 2, 1, true);
    advance(1s);
    CHECK(promotions.empty());
    positions["b3"] = { 1, 12 };
    sendHeartbeat("b3", 1);
    advance(150ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b3"), promotions.front().backend.value);
}

// Commits that no server has received were not acknowledged, so that the service must not wait for them for long.
TEST(LateReplication, UnacknowledgedCommitsDelayThePromotionForALimitedTime)
{
    positions = { { "b0", { 1, 12 } }, { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
    startService(1);
    sendHeartbeat("b0", 2, 1, true);
    advance(2s);
    CHECK_EQUAL(1U, promotions.size());
}

// A primary that has stepped down cannot lead again by itself, so that a replica that does not respond would leave the
// service without a primary.
TEST(LateReplication, PrimaryKeepsTheRoleWhileAReplicaDoesNotRespond)
{
    startService(1);
    unresponsive = { "b2" };
    sendHeartbeat("b0", 2, 1, true);
    advance(1s);
    CHECK(steppedDown.empty());
    CHECK(promotions.empty());
    CHECK_EQUAL(0U, countProbes(ProbeKind::Pause, "b1"));
}

// A primary that cannot be reached can be replaced all the same.
TEST(LateReplication, UnreachablePrimaryIsReplacedWithoutItsConfirmation)
{
    startService(1);
    unresponsive = { "b0" };
    advance(1s);
    CHECK_EQUAL(1U, promotions.size());
}

// Entries count receipts of replicas that have restarted unless the service is withdrawn.
TEST(LateReplication, ServiceIsWithdrawnWhileThePrimaryIsReplaced)
{
    startService(1);
    EntryReport report;
    report.sequence = 1;
    supervisor.onReport(now, VmId { "e" }, report);
    performActions();
    CHECK_EQUAL(0U, updates.back().withdrawn.size());
    unresponsive = { "b0" };
    advance(1s);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(1U, updates.back().withdrawn.size());
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Accepted);
    primaryName = promotions.front().backend.value;
    positions[primaryName] = { 2, 9 };
    advance(500ms);
    CHECK_EQUAL(0U, updates.back().withdrawn.size());
}

// Where no commit waits for a replica, the primary serves until the promotion takes effect.
TEST(LateReplication, PrimaryWithoutSynchronousReplicasDoesNotStepDown)
{
    startService(0);
    sendHeartbeat("b0", 2, 1, true);
    advance(400ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK(steppedDown.empty());
}

// The call of a former leader takes effect between the survey and the next call: it ends all pauses, so that the
// surveyed positions are no longer final.
TEST(LateReplication, ServerThatTookTheRoleSinceTheSurveyKeepsIt)
{
    positions = { { "b0", { 1, 9 } }, { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
    startService(1);
    commitsImmediately = false;
    sendHeartbeat("b0", 2, 1, true);
    commitNext();
    for (int at = 0; std::none_of(proposed.begin(), proposed.end(), isDecision) && at < 100; ++at) {
        advance(10ms);
    }
    CHECK(std::any_of(proposed.begin(), proposed.end(), isDecision));
    primaryName = "b2";
    positions["b2"] = { 2, 12 };
    sendHeartbeat("b2", 2);
    commitDecisionsLast();
    advance(2s);
    CHECK(promotions.empty());
    CHECK_EQUAL(std::string("b2"), primary());
}

// The platform may still carry out the call of a former leader for another server. It rejects that call once it has
// seen a higher token.
TEST(LateReplication, AdoptedPrimaryIsProtectedFromAnEarlierCall)
{
    replacePrimary();
    const PromoteThroughPlatform earlier = promotions.front();
    supervisor.onLeadership(now, false, 1, {});
    supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    primaryName = earlier.backend.value == "b1" ? "b2" : "b1";
    positions[primaryName] = { 2, 12 };
    steppedDown.clear();
    advance(1s);
    CHECK_EQUAL(2U, promotions.size());
    CHECK_EQUAL(primaryName, promotions.back().backend.value);
    CHECK(promotions.back().fencingToken > earlier.fencingToken);
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.back().fencingToken, PromotionOutcome::Accepted);
    advance(100ms);
    CHECK_EQUAL(primaryName, primary());
}

// A new leader that chose another server than its predecessor would leave two calls that may both be carried out.
TEST(LateReplication, NewLeaderRepeatsTheCallOfItsPredecessor)
{
    replacePrimary();
    const BackendId former = promotions.front().backend;
    supervisor.onLeadership(now, false, 1, {});
    supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    sendHeartbeat(former.value, 2, 1, true); // Another server would be preferred otherwise.
    advance(1s);
    CHECK(promotions.size() > 1);
    CHECK(promotions.back().backend == former);
}

// The platform ignores a call for the server that it considers the primary, even if that one has stepped down.
TEST(LateReplication, CandidateThatDoesNotTakeTheRoleGivesWayToAnEqualOne)
{
    replacePrimary();
    const BackendId former = promotions.front().backend;
    advance(5s);
    CHECK(promotions.size() > 1);
    CHECK(promotions.back().backend != former);
}

// A VM that has lost the lead resumed replicas that its successor had paused.
TEST(LateReplication, FormerLeaderSendsNoOrders)
{
    startService(1);
    unresponsive = { "b0" };
    late = { "b1", "b2" };
    advance(1s);
    std::vector<ProbeOutcome> outcomes;
    for (const ProbeBackend &probe : probes) {
        ProbeOutcome outcome;
        outcome.probeId = probe.probeId;
        outcome.result = ProbeResult::Responded;
        outcomes.push_back(outcome);
    }
    supervisor.onLeadership(now, false, 2, {});
    for (const ProbeOutcome &outcome : outcomes) {
        supervisor.onProbe(now, outcome);
    }
    const std::vector<SupervisionAction> actions = supervisor.takeActions();
    CHECK_EQUAL(0U, actions.size());
}
