// The last moment of a deployment: right after an acknowledgement, choices of disks are lost while all other VMs lose
// power.
#pragma once

#include "fakecluster.h"

#include <CppUTest/TestHarness.h>

namespace daisyrelay {

using namespace std::chrono_literals;

constexpr std::size_t VmCount = 6;
constexpr std::size_t SeedCount = 3;
/// Time after which a VM that is back counts as recovered.
constexpr Duration CatchupTime = 4s;
/// Time after a loss of power within which changes are accepted again.
constexpr Duration RecoveryTime = 12s;
/// How long after the acknowledgement the power may be lost.
constexpr Duration FaultWindow = 60ms;

using VmSet = std::set<std::size_t>;

inline RaftOptions deploymentOptions(std::size_t snapshotEntryThreshold)
{
    RaftOptions options;
    options.isMembershipOpen = true;
    options.maxVoters = 5;
    options.snapshotEntryThreshold = snapshotEntryThreshold;
    options.retainedEntries = 2;
    return options;
}

// All choices of at most two VMs.
inline std::vector<VmSet> lostDiskChoices()
{
    std::set<VmSet> choices;
    for (std::size_t first = 0; first < VmCount; ++first) {
        for (std::size_t second = 0; second < VmCount; ++second) {
            choices.insert({ first, second });
        }
    }
    choices.insert(VmSet {});
    return { choices.begin(), choices.end() };
}

inline std::string describe(const VmSet &vms)
{
    std::string text = "lost disks:";
    for (const std::size_t vm : vms) {
        text += " vm" + std::to_string(vm);
    }
    return text;
}

// The disks of all VMs at each write after a moment.
class WriteJournal
{
public:
    explicit WriteJournal(FakeCluster &cluster) : cluster_(cluster)
    {
        cluster_.beforeWrite = [this](std::size_t vm, const RaftWrite &write) {
            writes_.push_back({ vm, write, cluster_.vms[vm].disk->clone() });
        };
    }

    ~WriteJournal()
    {
        cluster_.beforeWrite = {};
    }

    [[nodiscard]] std::size_t size() const
    {
        return writes_.size();
    }

    /// Returns the disks after \p position writes, of which the last one but `steps` steps has been done.
    [[nodiscard]] std::vector<std::unique_ptr<FakeDisk>> disksDuring(std::size_t position, std::size_t steps) const
    {
        std::vector<std::unique_ptr<FakeDisk>> disks;
        for (const FakeCluster::Vm &vm : cluster_.vms) {
            disks.push_back(vm.disk->clone());
        }
        for (std::size_t index = writes_.size(); index > position; --index) {
            disks[writes_[index - 1].vm] = writes_[index - 1].diskBefore->clone();
        }
        if (position < writes_.size()) {
            FakeDisk &disk = *disks[writes_[position].vm];
            RaftStorage storage(disk);
            CHECK(storage.open().has_value());
            disk.stepsUntilFailure = steps;
            static_cast<void>(storage.write(writes_[position].write));
        }
        return disks;
    }

private:
    struct Write {
        std::size_t vm = 0;
        RaftWrite write;
        std::unique_ptr<FakeDisk> diskBefore;
    };

    FakeCluster &cluster_;
    std::vector<Write> writes_;
};

// Starts all VMs from `disks` after a loss of power, each after a delay. Returns what is wrong, or an empty string.
inline std::string recover(const FakeCluster &before, const std::vector<std::unique_ptr<FakeDisk>> &disks,
    const VmSet &lostDisks, const std::vector<std::string> &acknowledged, std::uint64_t seed)
{
    RaftOptions options = before.options;
    options.controlVms.clear();
    options.canBootstrap = false;
    FakeCluster cluster(VmCount, seed, options, SeedCount);
    cluster.committed = before.committed;
    std::mt19937_64 random(seed);
    std::vector<std::pair<Duration, std::size_t>> starts;
    for (std::size_t vm = 0; vm < VmCount; ++vm) {
        cluster.kill(vm);
        cluster.vms[vm].disk = lostDisks.contains(vm) ? std::make_unique<FakeDisk>() : disks[vm]->clone();
        cluster.losePower(vm);
        starts.emplace_back(std::chrono::milliseconds(random() % 500), vm);
    }
    std::sort(starts.begin(), starts.end());
    const Instant restartedAt = cluster.now;
    for (const auto &[delay, vm] : starts) {
        cluster.run(restartedAt + delay - cluster.now);
        cluster.start(vm);
    }
    std::string problem;
    if (!cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, RecoveryTime)) {
        problem = "no leader; ";
    } else {
        const std::size_t leader = *cluster.leader();
        for (const std::string &command : acknowledged) {
            problem += cluster.hasApplied(leader, command) ? "" : command + " is lost; ";
        }
        if (!cluster.propose(leader, "after the fault")
            || !cluster.runUntil([&]() { return cluster.hasApplied(leader, "after the fault"); }, 2s)) {
            problem += "no commit after the fault; ";
        }
    }
    if (!problem.empty() || !cluster.violation.empty()) {
        problem += cluster.violation + " (" + describe(lostDisks) + ")\n" + cluster.describe();
    }
    return problem;
}

/// Plays the moment on a running cluster: a command is acknowledged, and at a random step of a random write from then
/// on, each choice of disks is lost. Those of \p alreadyLost count as lost too. \returns the first problem.
inline std::string playLastMoment(
    FakeCluster &cluster, std::vector<std::string> acknowledged, std::mt19937_64 &random, const VmSet &alreadyLost = {})
{
    cluster.runUntil([&cluster]() { return cluster.leader().has_value(); }, CatchupTime);
    const std::optional<std::size_t> leader = cluster.leader();
    if (!leader || !cluster.propose(*leader, "last")) {
        return "no leader before the fault\n" + cluster.describe();
    }
    const auto isAcknowledged = [&]() { return cluster.hasApplied(*leader, "last"); };
    WriteJournal journal(cluster);
    std::size_t firstWrite = 0; // After the acknowledgement.
    const auto onWrite = cluster.beforeWrite;
    cluster.beforeWrite = [&](std::size_t vm, const RaftWrite &write) {
        firstWrite = isAcknowledged() ? firstWrite : journal.size() + 1;
        onWrite(vm, write);
    };
    if (!cluster.runUntil(isAcknowledged, 2s)) {
        return "no commit before the fault\n" + cluster.describe();
    }
    cluster.run(FaultWindow);
    acknowledged.emplace_back("last");
    const std::size_t position = firstWrite + random() % (journal.size() + 1 - firstWrite);
    constexpr std::size_t MaxSteps = 1500;
    const std::size_t steps = random() % MaxSteps;
    const auto disks = journal.disksDuring(position, steps);
    for (const VmSet &lostDisks : lostDiskChoices()) {
        VmSet lost = lostDisks;
        lost.insert(alreadyLost.begin(), alreadyLost.end());
        if (lost.size() > 2) {
            continue;
        }
        if (std::string problem = recover(cluster, disks, lostDisks, acknowledged, random()); !problem.empty()) {
            return "write " + std::to_string(position) + " step " + std::to_string(steps) + ": " + problem;
        }
    }
    return "";
}

} // namespace daisyrelay
