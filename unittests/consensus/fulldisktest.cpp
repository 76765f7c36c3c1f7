// Disks that are full for a time, one after another, while changes go on.
#include "fakecluster.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(FullDisks)
{
    std::mt19937_64 random { 1 };
    std::uint64_t nextCommand = 1;

    std::uint64_t draw(std::uint64_t limit)
    {
        return random() % limit;
    }

    /// Proposes a change at the leader every 20 ms, if there is one.
    void runWithChanges(FakeCluster & cluster, Duration duration)
    {
        for (const Instant end = cluster.now + duration; cluster.now < end;) {
            if (const std::optional<std::size_t> leader = cluster.leader(); leader) {
                cluster.propose(*leader, "change " + std::to_string(nextCommand++) + std::string(draw(200), 'x'));
            }
            cluster.run(20ms);
        }
    }

    /// Fills the disk of one VM, the leader in half of the cases, and restarts VMs meanwhile. A full disk may take some
    /// bytes first, so that a write is torn.
    void fillOneDisk(FakeCluster & cluster)
    {
        const std::size_t vm = draw(2) == 0 ? cluster.leader().value_or(0) : draw(cluster.vms.size());
        cluster.vms[vm].disk->bytesUntilFull = draw(3) == 0 ? draw(300) : 0;
        runWithChanges(cluster, std::chrono::milliseconds(100 + draw(4000)));
        if (draw(4) == 0) {
            const std::size_t restarted = draw(cluster.vms.size());
            cluster.kill(restarted);
            cluster.run(std::chrono::milliseconds(draw(800)));
            cluster.vms[vm].disk->bytesUntilFull.reset();
            cluster.start(restarted);
        }
        cluster.vms[vm].disk->bytesUntilFull.reset();
        runWithChanges(cluster, std::chrono::milliseconds(draw(600)));
    }
};

// Long after the disks of all VMs had room again, changes were refused or stayed unanswered in a similar system.
TEST(FullDisks, ChangesAreCommittedAgainOnceDisksHaveRoom)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random.seed(seed);
        RaftOptions options;
        options.isMembershipOpen = draw(2) == 0;
        const std::size_t size = seed % 4 == 0 ? 5 : 3;
        options.maxVoters = size;
        options.snapshotEntryThreshold = 20 + draw(200);
        options.retainedEntries = 10;
        FakeCluster cluster(size, seed, options);
        CHECK(cluster.runUntil([&]() { return cluster.leader().has_value(); }));
        for (int round = 0; round < 12; ++round) {
            fillOneDisk(cluster);
        }
        const std::string last = "last change of seed " + std::to_string(seed);
        bool isProposed = false;
        const bool isCommitted = cluster.runUntil(
            [&]() {
                const std::optional<std::size_t> leader = cluster.leader();
                isProposed = isProposed || (leader && cluster.propose(*leader, last));
                return std::all_of(cluster.vms.begin(), cluster.vms.end(),
                    [&](const FakeCluster::Vm &vm) { return cluster.hasApplied(&vm - cluster.vms.data(), last); });
            },
            10s);
        CHECK_TEXT(isCommitted, ("seed " + std::to_string(seed) + "\n" + cluster.describe()).c_str());
        for (const FakeCluster::Vm &vm : cluster.vms) {
            CHECK(!vm.core->isStorageBlocked());
        }
        CHECK_EQUAL(std::string(), cluster.violation);
    }
}
