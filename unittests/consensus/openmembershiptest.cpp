// Tests of an open membership: VMs outside the settings join, and unresponsive members are replaced.
#include "fakecluster.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

static RaftOptions openOptions(std::size_t voters)
{
    RaftOptions options;
    options.isMembershipOpen = true;
    options.maxVoters = voters;
    return options;
}

static std::size_t voterCount(const FakeCluster &cluster)
{
    const std::optional<std::size_t> leader = cluster.leader();
    if (!leader) {
        return 0;
    }
    const std::vector<Member> &members = cluster.vms[*leader].core->log().membership().members;
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const Member &member) { return member.isVoter; }));
}

static bool isMember(const FakeCluster &cluster, std::size_t vm)
{
    const std::optional<std::size_t> leader = cluster.leader();
    if (!leader) {
        return false;
    }
    const std::vector<Member> &members = cluster.vms[*leader].core->log().membership().members;
    return std::any_of(
        members.begin(), members.end(), [&](const Member &member) { return member.vm == cluster.vms[vm].id; });
}

TEST_GROUP(OpenMembership) {};

TEST(OpenMembership, WipedVmRejoinsLongRunningLeader)
{
    FakeCluster cluster(3, 7, openOptions(3));
    CHECK(cluster.runUntil([&]() { return cluster.isSettled(); }));
    cluster.run(30s);
    const std::size_t wiped = (*cluster.leader() + 1) % 3;
    cluster.wipeDisk(wiped);
    const std::uint64_t before = cluster.vms[*cluster.leader()].core->log().lastIndex();
    CHECK(cluster.runUntil([&]() { return cluster.isSettled(); }, 3s));
    CHECK(cluster.vms[*cluster.leader()].core->log().lastIndex() <= before + 4);
    CHECK_EQUAL(std::string(), cluster.violation);
}

TEST(OpenMembership, UnlistedVmReplacesUnresponsiveVoter)
{
    FakeCluster cluster(4, 7, openOptions(3));
    cluster.crash(3);
    // Only the first three VMs are configured as control VMs.
    cluster.options.controlVms.pop_back();
    for (std::size_t index = 0; index < 3; ++index) {
        cluster.wipeDisk(index);
    }
    CHECK(cluster.runUntil([&]() { return voterCount(cluster) == 3; }));
    const std::size_t crashed = (*cluster.leader() + 1) % 3;
    cluster.crash(crashed);
    cluster.start(3);
    CHECK(cluster.runUntil([&]() { return isMember(cluster, 3) && !isMember(cluster, crashed); }, 10s));
    CHECK(cluster.runUntil([&]() { return voterCount(cluster) == 3; }, 3s));
    CHECK(cluster.propose(*cluster.leader(), "after"));
    cluster.run(1s);
    CHECK(cluster.hasApplied(3, "after"));
    CHECK_EQUAL(std::string(), cluster.violation);
}

TEST(OpenMembership, MemberRemovedDuringPartitionRejoins)
{
    FakeCluster cluster(4, 11, openOptions(3));
    CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
    cluster.run(2s);
    const std::size_t partitioned = (*cluster.leader() + 1) % 4;
    cluster.isolate(partitioned);
    CHECK(cluster.runUntil([&]() { return !isMember(cluster, partitioned); }, 60s));
    cluster.blockedLinks.clear();
    CHECK(cluster.runUntil([&]() { return isMember(cluster, partitioned); }, 10s));
    CHECK(cluster.propose(*cluster.leader(), "after"));
    cluster.run(1s);
    CHECK(cluster.hasApplied(partitioned, "after"));
    CHECK_EQUAL(std::string(), cluster.violation);
}

TEST(OpenMembership, EmptyDisksWithoutPermissionDoNotBootstrap)
{
    RaftOptions options = openOptions(3);
    options.canBootstrap = false;
    FakeCluster cluster(3, 7, options);
    cluster.run(20s);
    CHECK(!cluster.leader());
}

TEST(OpenMembership, LeaderWithFullDiskStepsDown)
{
    FakeCluster cluster(3, 7, openOptions(3));
    CHECK(cluster.runUntil([&]() { return cluster.isSettled(); }));
    const std::size_t blocked = *cluster.leader();
    cluster.vms[blocked].disk->isFull = true;
    cluster.propose(blocked, "stuck");
    CHECK(cluster.runUntil([&]() { return cluster.leader() && cluster.leader() != blocked; }, 5s));
    CHECK(cluster.propose(*cluster.leader(), "goes on"));
    CHECK_EQUAL(std::string(), cluster.violation);
}

TEST(OpenMembership, LeaderThatPreparesToLeaveIsReplaced)
{
    FakeCluster cluster(3, 7, openOptions(3));
    CHECK(cluster.runUntil([&]() { return cluster.isSettled(); }));
    const std::size_t leaving = *cluster.leader();
    cluster.vms[leaving].core->prepareToLeave(cluster.now);
    CHECK(cluster.runUntil([&]() { return cluster.leader() && cluster.leader() != leaving; }, 2s));
}

// Guards against a learner that stays outside the membership for good after it was removed during a partition.
TEST(OpenMembership, LearnerRemovedDuringPartitionRejoins)
{
    FakeCluster cluster(4, 11, openOptions(3), 3);
    CHECK(cluster.runUntil([&]() { return isMember(cluster, 3); }));
    cluster.run(2s);
    CHECK(!cluster.vms[3].core->isVoter());
    cluster.isolate(3);
    CHECK(cluster.runUntil([&]() { return !isMember(cluster, 3); }, 60s));
    cluster.blockedLinks.clear();
    CHECK(cluster.runUntil([&]() { return isMember(cluster, 3); }, 10s));
    CHECK(cluster.propose(*cluster.leader(), "after"));
    cluster.run(1s);
    CHECK(cluster.hasApplied(3, "after"));
    CHECK_EQUAL(std::string(), cluster.violation);
}
