#include "fakecluster.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RaftRegression) {};

static std::size_t waitUntilSettled(FakeCluster &cluster)
{
    CHECK_TEXT(cluster.runUntil([&cluster]() { return cluster.isSettled(); }), "the cluster did not settle");
    return *cluster.leader();
}

static void checkNoViolation(const FakeCluster &cluster)
{
    STRCMP_EQUAL("", cluster.violation.c_str());
}

static void proposeAndWait(FakeCluster &cluster, std::size_t index, const std::string &command)
{
    CHECK(cluster.propose(index, command));
    CHECK(cluster.runUntil([&]() { return cluster.hasApplied(index, command); }));
}

// A voter whose disk was full at the founding has stored its incarnation but no membership. Then another VM loses its
// disk, and the last one restarts: two of three disks hold what they promised, so a leader must be found.
TEST(RaftRegression, AVoterThatNeverStoredTheFoundingHelpsToElectALeader)
{
    FakeCluster cluster(3);
    cluster.run(cluster.tickInterval);
    cluster.vms[2].disk->isFull = true;
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    const std::size_t leader = *cluster.leader();
    proposeAndWait(cluster, leader, "accepted");
    cluster.crash(2);
    cluster.vms[2].disk->isFull = false;
    cluster.blockedLinks = { { leader, 1 - leader } };
    cluster.wipeDisk(1 - leader);
    cluster.run(2s);
    cluster.blockedLinks.clear();
    cluster.restart(leader);
    cluster.start(2);
    CHECK(cluster.vms[2].core->log().membership().members.empty());
    CHECK(cluster.hasApplied(waitUntilSettled(cluster), "accepted"));
    checkNoViolation(cluster);
}

// Commits an entry on the leader and one other VM only. The third must not lead with the other's vote.
struct EntryOnTwoOfThree {
    FakeCluster cluster { 3 };
    std::size_t leader = waitUntilSettled(cluster);
    std::size_t holder = (leader + 1) % 3;
    std::size_t lagging = (leader + 2) % 3;
    std::unique_ptr<FakeDisk> image = cluster.vms[holder].disk->copy();

    EntryOnTwoOfThree()
    {
        cluster.isolate(lagging);
        proposeAndWait(cluster, leader, "accepted");
    }

    void checkNoLeaderWithout(std::size_t lost)
    {
        cluster.blockedLinks.clear();
        cluster.isolate(lost);
        cluster.run(60s);
        CHECK(cluster.leader() != lagging && cluster.leader() != holder);
        checkNoViolation(cluster);
        cluster.blockedLinks.clear();
        const std::size_t newLeader = waitUntilSettled(cluster);
        CHECK(cluster.hasApplied(newLeader, "accepted"));
        cluster.run(1s);
        CHECK(cluster.hasApplied(holder, "accepted"));
        checkNoViolation(cluster);
    }
};

TEST(RaftRegression, AWipedControlVmDoesNotVote)
{
    EntryOnTwoOfThree setup;
    setup.cluster.wipeDisk(setup.holder);
    setup.checkNoLeaderWithout(setup.leader);
}

TEST(RaftRegression, AControlVmWithAnOlderDiskDoesNotVote)
{
    EntryOnTwoOfThree setup;
    const std::uint64_t before = setup.cluster.vms[setup.holder].core->incarnation();
    setup.cluster.vms[setup.holder].disk = std::move(setup.image);
    setup.cluster.start(setup.holder);
    setup.cluster.run(200ms);
    CHECK(setup.cluster.vms[setup.holder].core->incarnation() != before);
    setup.checkNoLeaderWithout(setup.leader);
}

TEST(RaftRegression, ARejoinedControlVmIsAVoterUnderANewIncarnation)
{
    FakeCluster cluster(3);
    const std::size_t leader = waitUntilSettled(cluster);
    proposeAndWait(cluster, leader, "one");
    const std::size_t wiped = (leader + 1) % 3;
    const std::uint64_t before = cluster.vms[wiped].core->incarnation();
    cluster.wipeDisk(wiped);
    CHECK(!cluster.vms[wiped].core->isVoter());
    waitUntilSettled(cluster);
    cluster.run(1s);
    CHECK(cluster.vms[wiped].core->isVoter());
    CHECK(cluster.vms[wiped].core->incarnation() != before);
    CHECK(cluster.hasApplied(wiped, "one"));
    checkNoViolation(cluster);
}

TEST(RaftRegression, ASecondVmLostRightAfterARepairDoesNotLetTheRepairedOneCountTooEarly)
{
    FakeCluster cluster(3);
    const std::size_t leader = waitUntilSettled(cluster);
    const std::size_t repaired = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    cluster.wipeDisk(repaired);
    CHECK(cluster.runUntil(
        [&]() { return cluster.vms[leader].core->log().membership().members[repaired].isVoter == false; }));
    cluster.cutLink(leader, repaired);
    cluster.run(100ms);
    CHECK(!cluster.vms[leader].core->log().membership().members[repaired].isVoter);
    cluster.crash(second);
    CHECK(cluster.propose(leader, "second lost"));
    cluster.run(300ms);
    CHECK(cluster.committed.empty());
    CHECK(cluster.vms[leader].core->role() == RaftRole::Leader);
    cluster.blockedLinks.clear();
    CHECK(cluster.runUntil([&]() { return !cluster.committed.empty(); }));
    CHECK(cluster.vms[repaired].core->log().lastIndex() >= cluster.committed.begin()->first);
    cluster.run(100ms);
    cluster.crash(leader);
    cluster.start(second);
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    CHECK(cluster.hasApplied(*cluster.leader(), "second lost"));
    checkNoViolation(cluster);
}

TEST(RaftRegression, ASecondVmLostWhileTheRepairedOneIsBehindStopsChanges)
{
    FakeCluster cluster(3);
    const std::size_t leader = waitUntilSettled(cluster);
    const std::size_t repaired = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    cluster.wipeDisk(repaired);
    CHECK(cluster.runUntil([&]() { return !cluster.vms[leader].core->log().membership().members[repaired].isVoter; }));
    cluster.cutLink(leader, repaired);
    cluster.run(100ms);
    CHECK(!cluster.vms[leader].core->log().membership().members[repaired].isVoter);
    cluster.crash(second);
    cluster.propose(leader, "not accepted");
    cluster.run(10s);
    CHECK(cluster.committed.empty() && !cluster.leader());
    cluster.blockedLinks.clear();
    cluster.start(second);
    waitUntilSettled(cluster);
    checkNoViolation(cluster);
}

TEST(RaftRegression, AControlVmCutOffForAnHourAnswersNothingStaleAndStartsNoElectionStorm)
{
    FakeCluster cluster(3);
    const std::size_t cutOff = waitUntilSettled(cluster);
    proposeAndWait(cluster, cutOff, "before");
    cluster.isolate(cutOff);
    const Instant cutAt = cluster.now;
    CHECK(cluster.runUntil([&]() { return !cluster.vms[cutOff].core->isConfirmedLeader(cluster.now); }));
    CHECK(cluster.now - cutAt <= cluster.options.electionTimeout);
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    const std::size_t leader = *cluster.leader();
    proposeAndWait(cluster, leader, "while cut off");
    const Term term = cluster.vms[leader].core->term();
    const Term cutOffTerm = cluster.vms[cutOff].core->term();
    cluster.tickInterval = 50ms;
    for (int minute = 0; minute < 60; ++minute) {
        cluster.run(1min);
        CHECK(!cluster.vms[cutOff].core->isConfirmedLeader(cluster.now));
        CHECK(!cluster.propose(cutOff, "grant") && cluster.vms[cutOff].core->term() == cutOffTerm);
    }
    cluster.tickInterval = 5ms;
    cluster.blockedLinks.clear();
    cluster.run(5s);
    CHECK(cluster.leader() == leader);
    CHECK_EQUAL(term, cluster.vms[leader].core->term());
    CHECK(cluster.hasApplied(cutOff, "while cut off"));
    checkNoViolation(cluster);
}

TEST(RaftRegression, AStoppedLeaderHasNoLeaseWhenItRunsAgain)
{
    FakeCluster cluster(3);
    const std::size_t stopped = waitUntilSettled(cluster);
    cluster.vms[stopped].isPaused = true;
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    proposeAndWait(cluster, *cluster.leader(), "meanwhile");
    CHECK(!cluster.vms[stopped].core->isConfirmedLeader(cluster.now));
    cluster.vms[stopped].isPaused = false;
    cluster.run(2s);
    CHECK(cluster.hasApplied(stopped, "meanwhile"));
    checkNoViolation(cluster);
}

TEST(RaftRegression, AfterARestartOf500ChangesKilledInAWriteTheAcceptedStateIsThere)
{
    RaftOptions options;
    options.snapshotEntryThreshold = 100;
    for (std::size_t steps = 1; steps < 4000; steps += 333) {
        FakeCluster cluster(3, steps, options);
        std::size_t leader = waitUntilSettled(cluster);
        for (int change = 0; change < 500; ++change) {
            cluster.propose(leader, "change " + std::to_string(change));
            cluster.run(10ms);
        }
        cluster.run(100ms);
        CHECK_EQUAL(500, cluster.committed.size());
        for (FakeCluster::Vm &vm : cluster.vms) {
            vm.disk->stepsUntilFailure = steps;
        }
        for (int change = 500; change < 600 && cluster.leader(); ++change) {
            cluster.propose(*cluster.leader(), "change " + std::to_string(change));
            cluster.run(10ms);
        }
        const std::vector<std::string> accepted = cluster.committedCommands();
        for (std::size_t index = 0; index < cluster.vms.size(); ++index) {
            cluster.restart(index);
        }
        leader = waitUntilSettled(cluster);
        const std::vector<std::string> &found = cluster.vms[leader].applied;
        CHECK(found.size() >= accepted.size() && std::equal(accepted.begin(), accepted.end(), found.begin()));
        checkNoViolation(cluster);
    }
}

TEST(RaftRegression, AfterALossOfPowerOfAllTheFirstLeaderComesAtOnce)
{
    FakeCluster cluster(3);
    proposeAndWait(cluster, waitUntilSettled(cluster), "accepted");
    for (int round = 0; round < 20; ++round) {
        for (std::size_t index = 0; index < 3; ++index) {
            cluster.crash(index);
        }
        cluster.run(1s);
        for (std::size_t index = 0; index < 3; ++index) {
            cluster.start(index);
            cluster.run(70ms);
        }
        // The last one is up; no lease of before can be alive, so that none is waited out.
        CHECK(cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, 250ms));
        CHECK(cluster.hasApplied(*cluster.leader(), "accepted"));
        cluster.run(1s);
        checkNoViolation(cluster);
    }
}

TEST(RaftRegression, AfterALossOfPowerAndOfADiskTheFirstLeaderComesAtOnce)
{
    FakeCluster cluster(3);
    proposeAndWait(cluster, waitUntilSettled(cluster), "accepted");
    for (int round = 0; round < 20; ++round) {
        waitUntilSettled(cluster);
        cluster.run(1s);
        const std::size_t lost = static_cast<std::size_t>(round) % 3;
        for (std::size_t index = 0; index < 3; ++index) {
            cluster.crash(index);
        }
        cluster.run(1s);
        cluster.vms[lost].disk = std::make_unique<FakeDisk>();
        for (std::size_t index = 0; index < 3; ++index) {
            cluster.start(index);
        }
        CHECK(cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, 250ms));
        CHECK(cluster.hasApplied(*cluster.leader(), "accepted"));
        checkNoViolation(cluster);
    }
}

TEST(RaftRegression, OneThatRestartsBesideALiveLeaderWaitsOutItsLease)
{
    FakeCluster cluster(3);
    const std::size_t leader = waitUntilSettled(cluster);
    const std::size_t candidate = (leader + 1) % 3;
    const std::size_t restarted = (leader + 2) % 3;
    cluster.restart(restarted);
    cluster.run(100ms);
    // The leader is cut off from both, and still holds its lease.
    cluster.isolate(leader);
    const Instant cutAt = cluster.now;
    cluster.runUntil([&]() { return cluster.vms[candidate].core->role() == RaftRole::Leader; }, 5s);
    CHECK(cluster.now - cutAt >= cluster.options.electionTimeout * 9 / 10);
    checkNoViolation(cluster);
}

// The first membership is made of the incarnations in these helloResponses; one that is lost in a crash would be a lost
// disk.
TEST(RaftRegression, AnIncarnationIsToldOnlyOnceItIsStored)
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
    hello.requestId = 1;
    core.receive(now, hello);
    const auto helloResponses = [](const RaftActions &actions) {
        return std::count_if(actions.messages.begin(), actions.messages.end(),
            [](const RaftMessage &message) { return message.kind == RaftMessageKind::HelloResponse; });
    };
    const RaftActions before = core.takeActions();
    CHECK_EQUAL(0, helloResponses(before));
    core.onPersisted(now);
    const RaftActions after = core.takeActions();
    CHECK_EQUAL(1, helloResponses(after));
}
