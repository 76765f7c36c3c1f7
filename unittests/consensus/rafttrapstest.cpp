#include "fakecluster.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RaftTraps) {};

static std::size_t settle(FakeCluster &cluster)
{
    CHECK_TEXT(cluster.runUntil([&cluster]() { return cluster.settled(); }), "the cluster did not settle");
    return *cluster.leader();
}

static void checkPromises(const FakeCluster &cluster)
{
    STRCMP_EQUAL("", cluster.violation.c_str());
}

static void proposeAndWait(FakeCluster &cluster, std::size_t at, const std::string &command)
{
    CHECK(cluster.propose(at, command));
    CHECK(cluster.runUntil([&]() { return cluster.applied(at, command); }));
}

// A voter whose disk was full at the founding has stored its incarnation but no membership. Then another VM loses its
// disk, and the last one restarts: two of three disks hold what they promised, so a leader must be found.
TEST(RaftTraps, AVoterThatNeverStoredTheFoundingHelpsToElectALeader)
{
    FakeCluster cluster(3);
    cluster.run(cluster.step);
    cluster.vms[2].disk->full = true;
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    const std::size_t keeper = *cluster.leader();
    proposeAndWait(cluster, keeper, "accepted");
    cluster.crash(2);
    cluster.vms[2].disk->full = false;
    cluster.cuts = { { keeper, 1 - keeper } };
    cluster.wipe(1 - keeper);
    cluster.run(2s);
    cluster.cuts.clear();
    cluster.restart(keeper);
    cluster.start(2);
    CHECK(cluster.vms[2].core->log().membership().members.empty());
    CHECK(cluster.applied(settle(cluster), "accepted"));
    checkPromises(cluster);
}

// Commits an entry on the leader and one other VM only. The third must not lead with the other's vote.
struct EntryOnTwoOfThree {
    FakeCluster cluster { 3 };
    std::size_t leader = settle(cluster);
    std::size_t holder = (leader + 1) % 3;
    std::size_t behind = (leader + 2) % 3;
    std::unique_ptr<FakeDisk> image = cluster.vms[holder].disk->copy();

    EntryOnTwoOfThree()
    {
        cluster.isolate(behind);
        proposeAndWait(cluster, leader, "accepted");
    }

    void checkNoLeaderWithout(std::size_t lost)
    {
        cluster.cuts.clear();
        cluster.isolate(lost);
        cluster.run(60s);
        CHECK(cluster.leader() != behind && cluster.leader() != holder);
        checkPromises(cluster);
        cluster.cuts.clear();
        const std::size_t now = settle(cluster);
        CHECK(cluster.applied(now, "accepted"));
        cluster.run(1s);
        CHECK(cluster.applied(holder, "accepted"));
        checkPromises(cluster);
    }
};

TEST(RaftTraps, Trap1AWipedControlVmDoesNotVote)
{
    EntryOnTwoOfThree scene;
    scene.cluster.wipe(scene.holder);
    scene.checkNoLeaderWithout(scene.leader);
}

TEST(RaftTraps, Trap1AControlVmWithAnOlderDiskDoesNotVote)
{
    EntryOnTwoOfThree scene;
    const std::uint64_t before = scene.cluster.vms[scene.holder].core->incarnation();
    scene.cluster.vms[scene.holder].disk = std::move(scene.image);
    scene.cluster.start(scene.holder);
    scene.cluster.run(200ms);
    CHECK(scene.cluster.vms[scene.holder].core->incarnation() != before);
    scene.checkNoLeaderWithout(scene.leader);
}

TEST(RaftTraps, Trap1ARejoinedControlVmIsAVoterUnderANewIncarnation)
{
    FakeCluster cluster(3);
    const std::size_t leader = settle(cluster);
    proposeAndWait(cluster, leader, "one");
    const std::size_t wiped = (leader + 1) % 3;
    const std::uint64_t before = cluster.vms[wiped].core->incarnation();
    cluster.wipe(wiped);
    CHECK(!cluster.vms[wiped].core->isVoter());
    settle(cluster);
    cluster.run(1s);
    CHECK(cluster.vms[wiped].core->isVoter());
    CHECK(cluster.vms[wiped].core->incarnation() != before);
    CHECK(cluster.applied(wiped, "one"));
    checkPromises(cluster);
}

TEST(RaftTraps, Trap2ASecondVmLostRightAfterARepairDoesNotLetTheRepairedOneCountTooEarly)
{
    FakeCluster cluster(3);
    const std::size_t leader = settle(cluster);
    const std::size_t repaired = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    cluster.wipe(repaired);
    CHECK(cluster.runUntil(
        [&]() { return cluster.vms[leader].core->log().membership().members[repaired].voter == false; }));
    cluster.cut(leader, repaired);
    cluster.run(100ms);
    CHECK(!cluster.vms[leader].core->log().membership().members[repaired].voter);
    cluster.crash(second);
    CHECK(cluster.propose(leader, "second lost"));
    cluster.run(300ms);
    CHECK(cluster.committed.empty());
    CHECK(cluster.vms[leader].core->role() == RaftRole::Leader);
    cluster.cuts.clear();
    CHECK(cluster.runUntil([&]() { return !cluster.committed.empty(); }));
    CHECK(cluster.vms[repaired].core->log().lastIndex() >= cluster.committed.begin()->first);
    cluster.run(100ms);
    cluster.crash(leader);
    cluster.start(second);
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    CHECK(cluster.applied(*cluster.leader(), "second lost"));
    checkPromises(cluster);
}

TEST(RaftTraps, Trap2ASecondVmLostWhileTheRepairedOneIsBehindStopsChanges)
{
    FakeCluster cluster(3);
    const std::size_t leader = settle(cluster);
    const std::size_t repaired = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    cluster.wipe(repaired);
    CHECK(cluster.runUntil([&]() { return !cluster.vms[leader].core->log().membership().members[repaired].voter; }));
    cluster.cut(leader, repaired);
    cluster.run(100ms);
    CHECK(!cluster.vms[leader].core->log().membership().members[repaired].voter);
    cluster.crash(second);
    cluster.propose(leader, "not accepted");
    cluster.run(10s);
    CHECK(cluster.committed.empty() && !cluster.leader());
    cluster.cuts.clear();
    cluster.start(second);
    settle(cluster);
    checkPromises(cluster);
}

TEST(RaftTraps, Trap3AControlVmCutOffForAnHourAnswersNothingStaleAndStartsNoElectionStorm)
{
    FakeCluster cluster(3);
    const std::size_t cutOff = settle(cluster);
    proposeAndWait(cluster, cutOff, "before");
    cluster.isolate(cutOff);
    const Instant cutAt = cluster.now;
    CHECK(cluster.runUntil([&]() { return !cluster.vms[cutOff].core->mayAnswer(cluster.now); }));
    CHECK(cluster.now - cutAt <= cluster.options.electionTimeout);
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    const std::size_t leader = *cluster.leader();
    proposeAndWait(cluster, leader, "while cut off");
    const Term term = cluster.vms[leader].core->term();
    const Term termOfCutOff = cluster.vms[cutOff].core->term();
    cluster.step = 50ms;
    for (int minute = 0; minute < 60; ++minute) {
        cluster.run(1min);
        CHECK(!cluster.vms[cutOff].core->mayAnswer(cluster.now));
        CHECK(!cluster.propose(cutOff, "grant") && cluster.vms[cutOff].core->term() == termOfCutOff);
    }
    cluster.step = 5ms;
    cluster.cuts.clear();
    cluster.run(5s);
    CHECK(cluster.leader() == leader);
    CHECK_EQUAL(term, cluster.vms[leader].core->term());
    CHECK(cluster.applied(cutOff, "while cut off"));
    checkPromises(cluster);
}

TEST(RaftTraps, Trap3AStoppedLeaderHasNoLeaseWhenItRunsAgain)
{
    FakeCluster cluster(3);
    const std::size_t stopped = settle(cluster);
    cluster.vms[stopped].paused = true;
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    proposeAndWait(cluster, *cluster.leader(), "meanwhile");
    CHECK(!cluster.vms[stopped].core->mayAnswer(cluster.now));
    cluster.vms[stopped].paused = false;
    cluster.run(2s);
    CHECK(cluster.applied(stopped, "meanwhile"));
    checkPromises(cluster);
}

TEST(RaftTraps, Trap5AfterARestartOf500ChangesKilledInAWriteTheAcceptedStateIsThere)
{
    RaftOptions options;
    options.snapshotEntries = 100;
    for (std::size_t steps = 1; steps < 4000; steps += 333) {
        FakeCluster cluster(3, steps, options);
        std::size_t leader = settle(cluster);
        for (int change = 0; change < 500; ++change) {
            cluster.propose(leader, "change " + std::to_string(change));
            cluster.run(10ms);
        }
        cluster.run(100ms);
        CHECK_EQUAL(500, cluster.committed.size());
        for (FakeCluster::Vm &vm : cluster.vms) {
            vm.disk->stepsLeft = steps;
        }
        for (int change = 500; change < 600 && cluster.leader(); ++change) {
            cluster.propose(*cluster.leader(), "change " + std::to_string(change));
            cluster.run(10ms);
        }
        const std::vector<std::string> accepted = cluster.committedCommands();
        for (std::size_t at = 0; at < cluster.vms.size(); ++at) {
            cluster.restart(at);
        }
        leader = settle(cluster);
        const std::vector<std::string> &found = cluster.vms[leader].applied;
        CHECK(found.size() >= accepted.size() && std::equal(accepted.begin(), accepted.end(), found.begin()));
        checkPromises(cluster);
    }
}

TEST(RaftTraps, AfterALossOfPowerOfAllTheFirstLeaderComesAtOnce)
{
    FakeCluster cluster(3);
    proposeAndWait(cluster, settle(cluster), "accepted");
    for (int round = 0; round < 20; ++round) {
        for (std::size_t at = 0; at < 3; ++at) {
            cluster.crash(at);
        }
        cluster.run(1s);
        for (std::size_t at = 0; at < 3; ++at) {
            cluster.start(at);
            cluster.run(70ms);
        }
        // The last one is up; no lease of before can be alive, so that none is waited out.
        CHECK(cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, 250ms));
        CHECK(cluster.applied(*cluster.leader(), "accepted"));
        cluster.run(1s);
        checkPromises(cluster);
    }
}

TEST(RaftTraps, AfterALossOfPowerAndOfADiskTheFirstLeaderComesAtOnce)
{
    FakeCluster cluster(3);
    proposeAndWait(cluster, settle(cluster), "accepted");
    for (int round = 0; round < 20; ++round) {
        settle(cluster);
        cluster.run(1s);
        const std::size_t lost = static_cast<std::size_t>(round) % 3;
        for (std::size_t at = 0; at < 3; ++at) {
            cluster.crash(at);
        }
        cluster.run(1s);
        cluster.vms[lost].disk = std::make_unique<FakeDisk>();
        for (std::size_t at = 0; at < 3; ++at) {
            cluster.start(at);
        }
        CHECK(cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, 250ms));
        CHECK(cluster.applied(*cluster.leader(), "accepted"));
        checkPromises(cluster);
    }
}

TEST(RaftTraps, OneThatRestartsBesideALiveLeaderWaitsOutItsLease)
{
    FakeCluster cluster(3);
    const std::size_t leader = settle(cluster);
    const std::size_t candidate = (leader + 1) % 3;
    const std::size_t restarted = (leader + 2) % 3;
    cluster.restart(restarted);
    cluster.run(100ms);
    // The leader is cut off from both, and still holds its lease.
    cluster.isolate(leader);
    const Instant cutAt = cluster.now;
    cluster.runUntil([&]() { return cluster.vms[candidate].core->role() == RaftRole::Leader; }, 5s);
    CHECK(cluster.now - cutAt >= cluster.options.electionTimeout * 9 / 10);
    checkPromises(cluster);
}

// The first membership is made of the incarnations in these answers; one that is lost in a crash would be a lost disk.
TEST(RaftTraps, AnIncarnationIsToldOnlyOnceItIsStored)
{
    RaftOptions options;
    options.self = VmId { "vm0" };
    options.controlVms = { VmId { "vm0" }, VmId { "vm1" }, VmId { "vm2" } };
    const Instant now = Instant() + 1h;
    RaftCore core(now, options, {});
    RaftMessage hello;
    hello.kind = RaftMessageKind::Hello;
    hello.from = VmId { "vm1" };
    hello.to = options.self;
    hello.incarnation = 7;
    hello.round = 1;
    core.receive(now, hello);
    const auto answers = [](const RaftActions &actions) {
        return std::count_if(actions.messages.begin(), actions.messages.end(),
            [](const RaftMessage &message) { return message.kind == RaftMessageKind::HelloAnswer; });
    };
    const RaftActions before = core.takeActions();
    CHECK_EQUAL(0, answers(before));
    core.onPersisted(now);
    const RaftActions after = core.takeActions();
    CHECK_EQUAL(1, answers(after));
}
