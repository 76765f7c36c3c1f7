// Promotions without a known outcome where commits wait for a replica, across changes of the leader.
#include "supervisorfixture.h"

#include <algorithm>

using namespace daisyrelay;
using namespace std::chrono_literals;

struct PromotionInDoubtFixture : SupervisorFixture {
    std::size_t countResumes() const
    {
        return static_cast<std::size_t>(std::count_if(
            probes.begin(), probes.end(), [](const ProbeBackend &probe) { return probe.kind == ProbeKind::Resume; }));
    }

    /// Loses the primary "b0", runs until a promotion is called, and changes the leader. The primary returns.
    void loseOutcome()
    {
        positions = { { "b0", { 1, 9 } }, { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
        startService(1);
        unresponsive = { "b0" };
        for (int at = 0; promotions.empty() && at < 200; ++at) {
            advance(10ms);
        }
        CHECK_EQUAL(1U, promotions.size());
        changeLeader();
        unresponsive.clear();
        steppedDown.clear();
        probes.clear();
    }

    void changeLeader()
    {
        supervisor.onLeadership(now, false, 1, {});
        supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    }

    void respond(PromotionOutcome outcome)
    {
        supervisor.onPromotion(now, ServiceId { "s" }, promotions.back().fencingToken, outcome);
        performActions();
    }

    bool isWithdrawn()
    {
        EntryReport report;
        report.sequence = nextRequest++;
        updates.clear();
        supervisor.onReport(now, VmId { "e" }, report);
        performActions();
        return !updates.back().withdrawn.empty();
    }
};

TEST_GROUP_BASE(PromotionInDoubt, PromotionInDoubtFixture) {};

// Replicas that received again while the call of a former leader could still be carried out acknowledged commits that
// the promoted server lacked.
TEST(PromotionInDoubt, ReplicasReceiveOnlyOnceTheCallIsSuperseded)
{
    loseOutcome();
    advance(1s);
    CHECK_EQUAL(2U, promotions.size());
    CHECK(promotions.back().backend == promotions.front().backend);
    CHECK(promotions.back().fencingToken > promotions.front().fencingToken);
    CHECK_EQUAL(0U, countResumes());
    respond(PromotionOutcome::Accepted);
    advance(100ms);
    CHECK_EQUAL(0U, countResumes());
    primaryName = promotions.back().backend.value;
    positions[primaryName] = { 2, 9 };
    advance(500ms);
    CHECK(countResumes() > 0);
    CHECK_EQUAL(primaryName, primary());
    CHECK(supervisor.state().pendingPromotionOf(ServiceId { "s" }) == nullptr);
}

// A call that supersedes another one may itself get no response.
TEST(PromotionInDoubt, CallWithoutAResponseIsSupersededAgain)
{
    loseOutcome();
    advance(500ms);
    CHECK_EQUAL(2U, promotions.size());
    respond(PromotionOutcome::Unknown);
    advance(500ms);
    CHECK_EQUAL(3U, promotions.size());
    CHECK_EQUAL(0U, countResumes());
}

// A call that was not carried out supersedes nothing.
TEST(PromotionInDoubt, LimitedCallLetsNoReplicaReceive)
{
    loseOutcome();
    advance(500ms);
    CHECK_EQUAL(2U, promotions.size());
    respond(PromotionOutcome::RateLimited);
    advance(2s);
    CHECK(promotions.size() > 2);
    CHECK_EQUAL(0U, countResumes());
}

// A rejection may only mean that the candidate does not run, which says nothing about earlier calls.
TEST(PromotionInDoubt, RejectedCallLetsNoReplicaReceive)
{
    loseOutcome();
    advance(500ms);
    CHECK_EQUAL(2U, promotions.size());
    respond(PromotionOutcome::Rejected);
    advance(2s);
    CHECK(promotions.size() > 2);
    CHECK_EQUAL(0U, countResumes());
}

// While the platform cannot be reached, only the longest time of a late call ends the doubt.
TEST(PromotionInDoubt, LateCallIsAwaitedForTwelveSecondsAndItsEffect)
{
    loseOutcome();
    unresponsiveToPauses = { "b2" }; // No survey succeeds, so that no call can supersede the one in doubt.
    advance(12600ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(0U, countResumes());
}

// Entries must not count receipts of replicas that have started while a promotion is in doubt.
TEST(PromotionInDoubt, ServiceStaysWithdrawn)
{
    loseOutcome();
    CHECK(isWithdrawn());
    unresponsiveToPauses = { "b2" };
    for (int at = 0; at < 20; ++at) {
        advance(100ms);
        CHECK(isWithdrawn());
    }
}

// A promotion that was not called would be in doubt for every later leader, which would replace a healthy primary.
TEST(PromotionInDoubt, PromotionThatWasNotCalledIsSettled)
{
    positions = { { "b0", { 1, 9 } }, { "b1", { 1, 9 } }, { "b2", { 1, 9 } } };
    startService(1);
    unresponsive = { "b0" };
    for (int at = 0; promotions.empty() && at < 200; ++at) {
        advance(10ms);
    }
    unresponsive.clear();
    respond(PromotionOutcome::RateLimited);
    advance(1s);
    CHECK_EQUAL(std::string("b0"), primary());
    CHECK(supervisor.state().pendingPromotionOf(ServiceId { "s" }) == nullptr);
    changeLeader();
    advance(1s);
    CHECK_EQUAL(1U, promotions.size());
}
