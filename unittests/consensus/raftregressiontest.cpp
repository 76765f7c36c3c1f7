// Regression tests of named consensus failures: lost disks, partitions, paused leaders and crashes during writes.
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

// A voter whose disk was full during bootstrap has stored its incarnation but no membership. Then a second VM loses its
// disk and the third one restarts. Two of three disks still hold all acknowledged state, so a leader must be elected.
TEST(RaftRegression, VoterWithoutBootstrapMembershipHelpsElectLeader)
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

// Commits an entry on the leader and one other VM, the holder. If the holder loses the entry, its vote must not help
// the lagging VM to become leader, because the committed entry would be lost.
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

    void checkNoLeaderWithout(std::size_t isolated)
    {
        cluster.blockedLinks.clear();
        cluster.isolate(isolated);
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

TEST(RaftRegression, WipedControlVmDoesNotVote)
{
    EntryOnTwoOfThree scenario;
    scenario.cluster.wipeDisk(scenario.holder);
    scenario.checkNoLeaderWithout(scenario.leader);
}

TEST(RaftRegression, ControlVmWithRolledBackDiskDoesNotVote)
{
    EntryOnTwoOfThree scenario;
    const std::uint64_t before = scenario.cluster.vms[scenario.holder].core->incarnation();
    scenario.cluster.vms[scenario.holder].disk = std::move(scenario.image);
    scenario.cluster.start(scenario.holder);
    scenario.cluster.run(200ms);
    CHECK(scenario.cluster.vms[scenario.holder].core->incarnation() != before);
    scenario.checkNoLeaderWithout(scenario.leader);
}

TEST(RaftRegression, WipedControlVmBecomesVoterUnderNewIncarnation)
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

// A repaired VM that counts for a quorum before it has caught up would let an entry commit on the leader alone. Losing
// the leader would then lose the entry.
TEST(RaftRegression, RepairedVmCountsForQuorumOnlyAfterCatchingUp)
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

TEST(RaftRegression, LossOfSecondVmWhileRepairedVmLagsBlocksCommits)
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

// A leader that is partitioned for an hour must lose its lease before another VM is elected. When the partition heals,
// its term must not have grown, because a higher term would force an election.
TEST(RaftRegression, PartitionedLeaderServesNothingStaleAndForcesNoElection)
{
    FakeCluster cluster(3);
    const std::size_t partitioned = waitUntilSettled(cluster);
    proposeAndWait(cluster, partitioned, "before");
    cluster.isolate(partitioned);
    const Instant isolatedAt = cluster.now;
    CHECK(cluster.runUntil([&]() { return !cluster.vms[partitioned].core->isConfirmedLeader(cluster.now); }));
    CHECK(cluster.now - isolatedAt <= cluster.options.electionTimeout);
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    const std::size_t leader = *cluster.leader();
    proposeAndWait(cluster, leader, "while cut off");
    const Term term = cluster.vms[leader].core->term();
    const Term partitionedTerm = cluster.vms[partitioned].core->term();
    cluster.tickInterval = 50ms;
    for (int minute = 0; minute < 60; ++minute) {
        cluster.run(1min);
        CHECK(!cluster.vms[partitioned].core->isConfirmedLeader(cluster.now));
        CHECK(!cluster.propose(partitioned, "grant") && cluster.vms[partitioned].core->term() == partitionedTerm);
    }
    cluster.tickInterval = 5ms;
    cluster.blockedLinks.clear();
    cluster.run(5s);
    CHECK(cluster.leader() == leader);
    CHECK_EQUAL(term, cluster.vms[leader].core->term());
    CHECK(cluster.hasApplied(partitioned, "while cut off"));
    checkNoViolation(cluster);
}

// A process can be paused for longer than its lease, and must notice that the lease has expired when it resumes.
TEST(RaftRegression, PausedLeaderHasNoLeaseAfterResume)
{
    FakeCluster cluster(3);
    const std::size_t paused = waitUntilSettled(cluster);
    cluster.vms[paused].isPaused = true;
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    proposeAndWait(cluster, *cluster.leader(), "meanwhile");
    CHECK(!cluster.vms[paused].core->isConfirmedLeader(cluster.now));
    cluster.vms[paused].isPaused = false;
    cluster.run(2s);
    CHECK(cluster.hasApplied(paused, "meanwhile"));
    checkNoViolation(cluster);
}

TEST(RaftRegression, CommittedCommandsSurviveCrashOfAllVmsDuringWrites)
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

// After a restart of all VMs no lease can be valid, so the first election must not wait for a lease to expire.
TEST(RaftRegression, RestartOfAllVmsElectsLeaderWithoutLeaseWait)
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
        // All VMs are up and no earlier lease can be valid, so no VM waits for one to expire.
        CHECK(cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, 250ms));
        CHECK(cluster.hasApplied(*cluster.leader(), "accepted"));
        cluster.run(1s);
        checkNoViolation(cluster);
    }
}

TEST(RaftRegression, RestartOfAllVmsWithOneLostDiskElectsLeaderWithoutLeaseWait)
{
    FakeCluster cluster(3);
    proposeAndWait(cluster, waitUntilSettled(cluster), "accepted");
    for (int round = 0; round < 20; ++round) {
        waitUntilSettled(cluster);
        cluster.run(1s);
        const std::size_t wiped = static_cast<std::size_t>(round) % 3;
        for (std::size_t index = 0; index < 3; ++index) {
            cluster.crash(index);
        }
        cluster.run(1s);
        cluster.vms[wiped].disk = std::make_unique<FakeDisk>();
        for (std::size_t index = 0; index < 3; ++index) {
            cluster.start(index);
        }
        CHECK(cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, 250ms));
        CHECK(cluster.hasApplied(*cluster.leader(), "accepted"));
        checkNoViolation(cluster);
    }
}

// A VM that votes right after its restart may have acknowledged the leader just before, so its vote could elect a
// second leader during the lease of the first one.
TEST(RaftRegression, VmRestartedBesideLiveLeaderWaitsForLeaseExpiry)
{
    FakeCluster cluster(3);
    const std::size_t leader = waitUntilSettled(cluster);
    const std::size_t candidate = (leader + 1) % 3;
    const std::size_t restarted = (leader + 2) % 3;
    cluster.restart(restarted);
    cluster.run(100ms);
    // The leader is partitioned from both VMs and still holds its lease.
    cluster.isolate(leader);
    const Instant isolatedAt = cluster.now;
    cluster.runUntil([&]() { return cluster.vms[candidate].core->role() == RaftRole::Leader; }, 5s);
    CHECK(cluster.now - isolatedAt >= cluster.options.electionTimeout * 9 / 10);
    checkNoViolation(cluster);
}

// The bootstrap membership consists of the incarnations in these responses. An incarnation that was sent but lost in a
// crash would look like a lost disk.
TEST(RaftRegression, IncarnationIsSentOnlyAfterSync)
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
