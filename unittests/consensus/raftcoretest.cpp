#include "fakecluster.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RaftCore) {};

static std::size_t waitUntilSettled(FakeCluster &cluster)
{
    CHECK_TEXT(cluster.runUntil([&cluster]() { return cluster.isSettled(); }), "the cluster did not settle");
    return *cluster.leader();
}

namespace {

enum class Operation : std::uint8_t {
    Propose,
    ProposeMany,
    Crash,
    Restart,
    CrashDuringWrite,
    WipeDisk,
    SaveDiskImage,
    RestoreDiskImage,
    CutLinkOneWay,
    CutLink,
    RestoreNetwork,
    DegradeNetwork,
    PauseVm,
    ResumeVm,
    FillDisk,
    FreeDisk,
    Count, ///< Number of operations.
};

struct Step {
    Operation operation;
    std::size_t vm;
    std::size_t other;
};

} // namespace

static rc::Gen<Step> randomStep(std::size_t size)
{
    return rc::gen::construct<Step>(rc::gen::map(rc::gen::inRange(0, static_cast<int>(Operation::Count)),
                                        [](int operation) { return static_cast<Operation>(operation); }),
        rc::gen::inRange<std::size_t>(0, size), rc::gen::inRange<std::size_t>(0, size));
}

static void restoreNetwork(FakeCluster &cluster)
{
    cluster.blockedLinks.clear();
    cluster.lossPercent = 0;
    cluster.duplicatePercent = 0;
    cluster.maxDelay = 2ms;
}

// Replaces the disk of a VM with an empty one or an older image. Does so only while the other VMs hold all
// acknowledged state of that VM, because consensus tolerates the loss of one disk at a time.
static void replaceDisk(FakeCluster &cluster, std::size_t vm, const FakeDisk *image)
{
    if (!cluster.isSettled()) {
        return;
    }
    restoreNetwork(cluster);
    cluster.run(300ms);
    if (!cluster.isSettled() || cluster.leader() == vm) {
        return;
    }
    cluster.crash(vm);
    cluster.vms[vm].disk = image == nullptr ? std::make_unique<FakeDisk>() : image->copy();
    cluster.start(vm);
    cluster.run(50ms);
}

static void performStep(
    FakeCluster &cluster, const Step &step, std::map<std::size_t, std::unique_ptr<FakeDisk>> &images)
{
    FakeCluster::Vm &vm = cluster.vms[step.vm];
    switch (step.operation) {
    case Operation::Propose:
    case Operation::ProposeMany:
        for (int count = step.operation == Operation::Propose ? 1 : 12; count > 0; --count) {
            for (std::size_t index = 0; index < cluster.vms.size(); ++index) {
                cluster.propose(index, std::to_string(cluster.now.time_since_epoch().count()) + std::to_string(count));
            }
        }
        break;
    case Operation::Crash:
        cluster.crash(step.vm, step.other);
        break;
    case Operation::Restart:
        cluster.restart(step.vm);
        break;
    case Operation::CrashDuringWrite:
        vm.disk->stepsUntilFailure = step.other * 97 + 1;
        break;
    case Operation::WipeDisk:
        replaceDisk(cluster, step.vm, nullptr);
        break;
    case Operation::SaveDiskImage:
        images[step.vm] = vm.disk->copy();
        break;
    case Operation::RestoreDiskImage:
        if (images.contains(step.vm)) {
            replaceDisk(cluster, step.vm, images.at(step.vm).get());
        }
        break;
    case Operation::CutLinkOneWay:
        cluster.blockedLinks.insert({ step.vm, step.other });
        break;
    case Operation::CutLink:
        cluster.cutLink(step.vm, step.other);
        break;
    case Operation::RestoreNetwork:
        restoreNetwork(cluster);
        break;
    case Operation::DegradeNetwork:
        cluster.lossPercent = 10;
        cluster.duplicatePercent = 20;
        cluster.maxDelay = 200ms;
        break;
    case Operation::PauseVm:
        vm.isPaused = true;
        break;
    case Operation::ResumeVm:
        vm.isPaused = false;
        break;
    case Operation::FillDisk:
        vm.disk->isFull = true;
        break;
    case Operation::FreeDisk:
        vm.disk->isFull = false;
        break;
    case Operation::Count:
        break;
    }
}

static void checkRandomHistory(std::size_t size)
{
    RaftOptions options;
    options.snapshotEntryThreshold = 10;
    options.retainedEntries = 3;
    options.snapshotChunkBytes = 40;
    options.maxAppendEntries = 4;
    FakeCluster cluster(size, *rc::gen::arbitrary<std::uint64_t>(), options);
    const auto steps = *rc::gen::container<std::vector<Step>>(40, randomStep(size));
    std::map<std::size_t, std::unique_ptr<FakeDisk>> images;
    for (const Step &step : steps) {
        performStep(cluster, step, images);
        cluster.run(*rc::gen::element<Duration>(20ms, 100ms, 700ms));
        if (!cluster.violation.empty()) {
            RC_FAIL(cluster.violation);
        }
    }
    restoreNetwork(cluster);
    for (std::size_t index = 0; index < size; ++index) {
        cluster.vms[index].disk->isFull = false;
        cluster.vms[index].disk->stepsUntilFailure.reset();
        cluster.vms[index].isPaused = false;
        if (!cluster.vms[index].core) {
            cluster.start(index);
        }
    }
    if (!cluster.runUntil([&cluster]() { return cluster.isSettled(); }, 60s)) {
        RC_FAIL(cluster.describe());
    }
    // A leader whose disk was full accepts proposals only after its next retry.
    RC_ASSERT(cluster.runUntil([&cluster]() {
        const std::optional<std::size_t> leader = cluster.leader();
        return leader && cluster.propose(*leader, "last");
    }));
    cluster.run(2s);
    RC_ASSERT(cluster.violation == std::string());
    for (const FakeCluster::Vm &vm : cluster.vms) {
        RC_ASSERT(vm.applied == cluster.committedCommands());
    }
}

TEST(RaftCore, RandomFaultsOnThreeVmsKeepInvariants)
{
    CHECK(rc::check([]() { checkRandomHistory(3); }));
}

TEST(RaftCore, RandomFaultsOnFiveVmsKeepInvariants)
{
    CHECK(rc::check([]() { checkRandomHistory(5); }));
}

TEST(RaftCore, BootstrapWaitsForAllControlVms)
{
    FakeCluster cluster(3);
    cluster.crash(2);
    cluster.run(5s);
    CHECK(!cluster.leader());
    cluster.start(2);
    waitUntilSettled(cluster);
    STRCMP_EQUAL("", cluster.violation.c_str());
}

TEST(RaftCore, SingleControlVmCommitsCommands)
{
    FakeCluster cluster(1);
    CHECK(cluster.propose(waitUntilSettled(cluster), "alone"));
    cluster.run(100ms);
    CHECK(cluster.hasApplied(0, "alone"));
}

TEST(RaftCore, AppendResponseIsSentOnlyAfterSync)
{
    RaftOptions options;
    options.self = VmId { "vm0" };
    StoredState stored;
    stored.hardState = { 1, {}, 7 };
    stored.snapshot = RaftSnapshot { 0, 0, { { { VmId { "vm0" }, 7, true }, { VmId { "vm1" }, 8, true } } }, "" };
    const Instant now = Instant() + 1h;
    RaftCore core(now, options, stored);
    RaftMessage append;
    append.from = VmId { "vm1" };
    append.to = options.self;
    append.incarnation = 8;
    append.term = 1;
    append.requestId = 1;
    append.entries = { { 1, 1, "x" } };
    core.receive(now, append);
    CHECK(core.takeActions().messages.empty());
    core.onPersistenceFailed(now);
    CHECK(core.takeActions().messages.empty());
    core.tick(now + options.storageRetryInterval);
    const RaftActions retry = core.takeActions();
    CHECK_EQUAL(1, retry.write.record.entries.size());
    core.onPersisted(now + options.storageRetryInterval);
    append.requestId = 2;
    core.receive(now + options.storageRetryInterval, append);
    const std::vector<RaftMessage> responses = core.takeActions().messages;
    CHECK(std::any_of(responses.begin(), responses.end(), [](const RaftMessage &response) {
        return response.kind == RaftMessageKind::AppendResponse && response.isGranted && response.lastIndex == 1;
    }));
}

TEST(RaftCore, LaggingFollowerReceivesSnapshotInChunksAndLogStaysBounded)
{
    RaftOptions options;
    options.snapshotEntryThreshold = 20;
    options.retainedEntries = 5;
    options.snapshotChunkBytes = 100;
    FakeCluster cluster(3, 1, options);
    const std::size_t leader = waitUntilSettled(cluster);
    const std::size_t crashed = (leader + 1) % 3;
    cluster.crash(crashed);
    for (int change = 0; change < 300; ++change) {
        cluster.propose(leader, "change " + std::to_string(change));
        cluster.run(10ms);
        const RaftLog &log = cluster.vms[leader].core->log();
        CHECK(log.lastIndex() - log.firstIndex() < 2 * options.snapshotEntryThreshold);
    }
    cluster.start(crashed);
    cluster.run(3s);
    CHECK_EQUAL(300, cluster.vms[crashed].applied.size());
    STRCMP_EQUAL("", cluster.violation.c_str());
}

TEST(RaftCore, LeaderWithFullDiskRejectsProposalsAndStaysConfirmed)
{
    FakeCluster cluster(3);
    const std::size_t leader = waitUntilSettled(cluster);
    cluster.vms[leader].disk->isFull = true;
    cluster.propose(leader, "first");
    CHECK(cluster.vms[leader].core->isStorageBlocked());
    CHECK(!cluster.propose(leader, "second"));
    cluster.run(5s);
    CHECK(cluster.leader() == leader);
    cluster.vms[leader].disk->isFull = false;
    cluster.run(2s);
    CHECK(cluster.propose(leader, "third"));
    cluster.run(100ms);
    CHECK(cluster.hasApplied(leader, "first") && cluster.hasApplied(leader, "third"));
    STRCMP_EQUAL("", cluster.violation.c_str());
}

TEST(RaftCore, RemovedControlVmDoesNotCountForQuorum)
{
    FakeCluster cluster(3);
    const std::size_t leader = waitUntilSettled(cluster);
    const std::size_t removed = (leader + 1) % 3;
    CHECK(cluster.vms[leader].core->removeMember(cluster.now, cluster.vms[removed].id));
    CHECK(!cluster.vms[leader].core->removeMember(cluster.now, cluster.vms[(leader + 2) % 3].id));
    cluster.run(2s);
    CHECK_EQUAL(2, cluster.vms[leader].core->log().membership().members.size());
    const Term term = cluster.vms[leader].core->term();
    cluster.crash((leader + 2) % 3);
    cluster.propose(leader, "with the removed one only");
    cluster.run(20s);
    CHECK(cluster.committed.empty() && !cluster.leader());
    CHECK_EQUAL(term, cluster.vms[leader].core->term());
    STRCMP_EQUAL("", cluster.violation.c_str());
}

TEST(RaftCore, EntryOfOlderTermCommitsOnlyWithEntryOfCurrentTerm)
{
    RaftOptions options;
    options.self = VmId { "vm0" };
    StoredState stored;
    stored.hardState = { 1, {}, 7 };
    stored.snapshot = RaftSnapshot { 0, 0, { { { VmId { "vm0" }, 7, true }, { VmId { "vm1" }, 8, true } } }, "" };
    stored.entries = { { 1, 1, "older" } };
    Instant now = Instant() + 1h;
    RaftCore core(now, options, stored);
    RaftMessage response;
    response.from = VmId { "vm1" };
    response.to = options.self;
    response.incarnation = 8;
    for (const Instant end = now + 5s; now < end && core.role() != RaftRole::Leader; now += 10ms) {
        core.tick(now);
        for (const RaftMessage &message : core.takeActions().messages) {
            response.kind = static_cast<RaftMessageKind>(static_cast<int>(message.kind) + 1);
            response.dataStatus = RaftDataStatus::Active;
            response.term = message.term;
            response.requestId = message.requestId;
            response.isGranted = message.kind != RaftMessageKind::Hello;
            core.receive(now, response);
        }
        if (!core.takeActions().write.empty()) {
            core.onPersisted(now);
        }
    }
    CHECK(core.role() == RaftRole::Leader);
    response.kind = RaftMessageKind::AppendResponse;
    response.term = core.term();
    response.lastIndex = 1;
    core.receive(now, response);
    CHECK_EQUAL(0, core.commitIndex());
    response.lastIndex = 2;
    core.receive(now, response);
    CHECK_EQUAL(2, core.commitIndex());
}
