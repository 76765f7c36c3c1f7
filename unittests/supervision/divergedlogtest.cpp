// Servers whose logs hold commits that the promotion of the recorded primary has rolled back.
#include "supervisorfixture.h"

using namespace daisyrelay;
using namespace std::chrono_literals;

struct DivergedLogFixture : SupervisorFixture {
    /// Replaces the primary "b0", which goes on and takes five commits that "b1", its successor in term 2, never
    /// receives. "b0" returns as a replica of term 1.
    void replacePrimary(std::uint32_t syncReplicas = 0)
    {
        positions = { { "b0", { 1, 20 } }, { "b1", { 1, 20 } }, { "b2", { 1, 12 } } };
        startService(syncReplicas);
        unresponsive = { "b0" };
        awaitPromotions(1);
        CHECK_EQUAL(std::string("b1"), promotions.back().backend.value);
        supervisor.onPromotion(now, ServiceId { "s" }, promotions.back().fencingToken, PromotionOutcome::Accepted);
        primaryName = "b1";
        positions["b0"] = { 1, 25 };
        ownTerms["b1"] = 2; // It has not committed yet.
        advance(500ms);
        CHECK_EQUAL(std::string("b1"), primary());
        unresponsive.clear();
        steppedDown.clear();
        advance(300ms);
    }

    void awaitPromotions(std::size_t count)
    {
        for (int at = 0; promotions.size() < count && at < 200; ++at) {
            advance(10ms);
        }
        CHECK_EQUAL(count, promotions.size());
    }

    void keepAlive(const std::set<std::string> &names, Duration duration)
    {
        for (const Instant end = now + duration; now < end;) {
            for (const std::string &name : names) {
                sendHeartbeat(name, ++heartbeatSequence);
            }
            advance(1s);
        }
    }

    std::uint64_t heartbeatSequence = 10;
};

TEST_GROUP_BASE(DivergedLog, DivergedLogFixture) {};

// A former primary was promoted by commits that its successor's promotion had rolled back, so that reads of the term
// between had been too old.
TEST(DivergedLog, ServerThatIsBehindIsPromotedBeforeOneThatHasDiverged)
{
    replacePrimary();
    positions["b1"] = { 2, 40 };
    unresponsive = { "b1" };
    awaitPromotions(2);
    CHECK_EQUAL(std::string("b2"), promotions.back().backend.value);
}

// A former primary that follows its successor has rolled its own commits back.
TEST(DivergedLog, FormerPrimaryThatHasJoinedIsPromoted)
{
    replacePrimary();
    positions["b0"] = { 2, 40 };
    unresponsive = { "b1" };
    awaitPromotions(2);
    CHECK_EQUAL(std::string("b0"), promotions.back().backend.value);
}

// Where a server only lacks the commits of the current term, it has not diverged.
TEST(DivergedLog, ServerUpToThePromotionHasNotDiverged)
{
    replacePrimary();
    positions["b0"] = { 1, 20 };
    unresponsive = { "b1" };
    awaitPromotions(2);
    CHECK_EQUAL(std::string("b0"), promotions.back().backend.value);
}

TEST(DivergedLog, PrimaryIsAwaitedIfAllOtherLogsHaveDiverged)
{
    replacePrimary();
    unresponsive = { "b1", "b2" };
    keepAlive({ "b0" }, 6s);
    CHECK_EQUAL(1U, promotions.size());
    unresponsive = { "b2" };
    keepAlive({ "b0", "b1" }, 3s);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b1"), primary());
}

// The commits of the term between are gone with a primary that does not return.
TEST(DivergedLog, LogThatHasDivergedLeadsOnceThePrimaryIsRemoved)
{
    replacePrimary();
    unresponsive = { "b1", "b2" };
    keepAlive({ "b0" }, 40s);
    CHECK(promotions.size() > 1);
    CHECK_EQUAL(std::string("b0"), promotions.back().backend.value);
}

// A server gets one probe at a time. A second one ended the first without a response, as if the primary were silent.
TEST(DivergedLog, NewLeaderSendsAPrimaryOneProbeAtATime)
{
    replacePrimary();
    late = { "b1" };
    probes.clear();
    supervisor.onLeadership(now, false, 1, {});
    supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    advance(90ms);
    std::size_t count = 0;
    for (const ProbeBackend &probe : probes) {
        count += probe.backend.id.value == "b1" ? 1 : 0;
    }
    CHECK_EQUAL(1U, count);
}

// A primary that has stepped down does not take the role back, so that waiting for it would never end.
TEST(DivergedLog, PrimaryThatHasSteppedDownIsNotAwaited)
{
    replacePrimary(1);
    sendHeartbeat("b1", 2, 1, true);
    keepAlive({ "b0", "b2" }, 6s);
    CHECK(steppedDown.contains("b1"));
    CHECK_EQUAL(2U, promotions.size());
}

// A server that is behind may lack acknowledged commits that only the former primary holds besides the current one.
TEST(DivergedLog, PrimaryIsAwaitedWhereCommitsWaitForAReplica)
{
    replacePrimary(1);
    unresponsive = { "b1" };
    keepAlive({ "b0", "b2" }, 6s);
    CHECK_EQUAL(1U, promotions.size());
}
