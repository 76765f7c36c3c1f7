#include "fakecluster.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RaftCore) {};

static std::size_t settle(FakeCluster &cluster)
{
    CHECK_TEXT(cluster.runUntil([&cluster]() { return cluster.settled(); }), "the cluster did not settle");
    return *cluster.leader();
}

namespace {

enum class Op : std::uint8_t {
    Propose,
    ProposeMany,
    Crash,
    Restart,
    KillInWrite,
    Wipe,
    TakeImage,
    RestoreImage,
    CutOneWay,
    Cut,
    Heal,
    BadNetwork,
    Pause,
    Resume,
    FillDisk,
    FreeDisk,
    Last,
};

struct Step {
    Op op;
    std::size_t vm;
    std::size_t other;
};

} // namespace

static rc::Gen<Step> anyStep(std::size_t size)
{
    return rc::gen::construct<Step>(
        rc::gen::map(rc::gen::inRange(0, static_cast<int>(Op::Last)), [](int op) { return static_cast<Op>(op); }),
        rc::gen::inRange<std::size_t>(0, size), rc::gen::inRange<std::size_t>(0, size));
}

static void heal(FakeCluster &cluster)
{
    cluster.cuts.clear();
    cluster.lossPercent = 0;
    cluster.repeatPercent = 0;
    cluster.longestDelay = 2ms;
}

// Loses a disk, or puts an older one in, only where the others can know: consensus survives one lost disk at a time.
static void loseDisk(FakeCluster &cluster, std::size_t vm, const FakeDisk *image)
{
    if (!cluster.settled()) {
        return;
    }
    heal(cluster);
    cluster.run(300ms);
    if (!cluster.settled() || cluster.leader() == vm) {
        return;
    }
    cluster.crash(vm);
    cluster.vms[vm].disk = image == nullptr ? std::make_unique<FakeDisk>() : image->copy();
    cluster.start(vm);
    cluster.run(50ms);
}

static void perform(FakeCluster &cluster, const Step &step, std::map<std::size_t, std::unique_ptr<FakeDisk>> &images)
{
    FakeCluster::Vm &vm = cluster.vms[step.vm];
    switch (step.op) {
    case Op::Propose:
    case Op::ProposeMany:
        for (int count = step.op == Op::Propose ? 1 : 12; count > 0; --count) {
            for (std::size_t at = 0; at < cluster.vms.size(); ++at) {
                cluster.propose(at, std::to_string(cluster.now.time_since_epoch().count()) + std::to_string(count));
            }
        }
        break;
    case Op::Crash:
        cluster.crash(step.vm, step.other);
        break;
    case Op::Restart:
        cluster.restart(step.vm);
        break;
    case Op::KillInWrite:
        vm.disk->stepsLeft = step.other * 97 + 1;
        break;
    case Op::Wipe:
        loseDisk(cluster, step.vm, nullptr);
        break;
    case Op::TakeImage:
        images[step.vm] = vm.disk->copy();
        break;
    case Op::RestoreImage:
        if (images.contains(step.vm)) {
            loseDisk(cluster, step.vm, images.at(step.vm).get());
        }
        break;
    case Op::CutOneWay:
        cluster.cuts.insert({ step.vm, step.other });
        break;
    case Op::Cut:
        cluster.cut(step.vm, step.other);
        break;
    case Op::Heal:
        heal(cluster);
        break;
    case Op::BadNetwork:
        cluster.lossPercent = 10;
        cluster.repeatPercent = 20;
        cluster.longestDelay = 200ms;
        break;
    case Op::Pause:
        vm.paused = true;
        break;
    case Op::Resume:
        vm.paused = false;
        break;
    case Op::FillDisk:
        vm.disk->full = true;
        break;
    case Op::FreeDisk:
        vm.disk->full = false;
        break;
    case Op::Last:
        break;
    }
}

static void checkHistory(std::size_t size)
{
    RaftOptions options;
    options.snapshotEntries = 10;
    options.keptEntries = 3;
    options.chunkBytes = 40;
    options.appendEntries = 4;
    FakeCluster cluster(size, *rc::gen::arbitrary<std::uint64_t>(), options);
    const auto steps = *rc::gen::container<std::vector<Step>>(40, anyStep(size));
    std::map<std::size_t, std::unique_ptr<FakeDisk>> images;
    for (const Step &step : steps) {
        perform(cluster, step, images);
        cluster.run(*rc::gen::element<Duration>(20ms, 100ms, 700ms));
        if (!cluster.violation.empty()) {
            RC_FAIL(cluster.violation);
        }
    }
    heal(cluster);
    for (std::size_t at = 0; at < size; ++at) {
        cluster.vms[at].disk->full = false;
        cluster.vms[at].disk->stepsLeft.reset();
        cluster.vms[at].paused = false;
        if (!cluster.vms[at].core) {
            cluster.start(at);
        }
    }
    if (!cluster.runUntil([&cluster]() { return cluster.settled(); }, 60s)) {
        RC_FAIL(cluster.describe());
    }
    // A disk that was full is tried again after a while.
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

TEST(RaftCore, NoHistoryOfThreeVmsBreaksAPromise)
{
    CHECK(rc::check([]() { checkHistory(3); }));
}

TEST(RaftCore, NoHistoryOfFiveVmsBreaksAPromise)
{
    CHECK(rc::check([]() { checkHistory(5); }));
}

TEST(RaftCore, TheFirstStartWaitsForAllControlVms)
{
    FakeCluster cluster(3);
    cluster.crash(2);
    cluster.run(5s);
    CHECK(!cluster.leader());
    cluster.start(2);
    settle(cluster);
    STRCMP_EQUAL("", cluster.violation.c_str());
}

TEST(RaftCore, ALoneControlVmServes)
{
    FakeCluster cluster(1);
    CHECK(cluster.propose(settle(cluster), "alone"));
    cluster.run(100ms);
    CHECK(cluster.applied(0, "alone"));
}

TEST(RaftCore, AnAnswerThatPromisesLeavesOnlyAfterTheSync)
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
    append.round = 1;
    append.entries = { { 1, 1, "x" } };
    core.receive(now, append);
    CHECK(core.takeActions().messages.empty());
    core.onPersistFailed(now);
    CHECK(core.takeActions().messages.empty());
    core.tick(now + options.storageRetry);
    const RaftActions retry = core.takeActions();
    CHECK_EQUAL(1, retry.write.record.append.size());
    core.onPersisted(now + options.storageRetry);
    append.round = 2;
    core.receive(now + options.storageRetry, append);
    const std::vector<RaftMessage> answers = core.takeActions().messages;
    CHECK(std::any_of(answers.begin(), answers.end(), [](const RaftMessage &answer) {
        return answer.kind == RaftMessageKind::AppendAnswer && answer.granted && answer.lastIndex == 1;
    }));
}

TEST(RaftCore, AFollowerFarBehindGetsTheSnapshotInChunksAndMemoryStaysBounded)
{
    RaftOptions options;
    options.snapshotEntries = 20;
    options.keptEntries = 5;
    options.chunkBytes = 100;
    FakeCluster cluster(3, 1, options);
    const std::size_t leader = settle(cluster);
    const std::size_t down = (leader + 1) % 3;
    cluster.crash(down);
    for (int change = 0; change < 300; ++change) {
        cluster.propose(leader, "change " + std::to_string(change));
        cluster.run(10ms);
        const RaftLog &log = cluster.vms[leader].core->log();
        CHECK(log.lastIndex() - log.firstIndex() < 2 * options.snapshotEntries);
    }
    cluster.start(down);
    cluster.run(3s);
    CHECK_EQUAL(300, cluster.vms[down].applied.size());
    STRCMP_EQUAL("", cluster.violation.c_str());
}

TEST(RaftCore, ALeaderWithAFullDiskRefusesChangesAndGoesOnAnswering)
{
    FakeCluster cluster(3);
    const std::size_t leader = settle(cluster);
    cluster.vms[leader].disk->full = true;
    cluster.propose(leader, "first");
    CHECK(cluster.vms[leader].core->isBlocked());
    CHECK(!cluster.propose(leader, "second"));
    cluster.run(5s);
    CHECK(cluster.leader() == leader);
    cluster.vms[leader].disk->full = false;
    cluster.run(2s);
    CHECK(cluster.propose(leader, "third"));
    cluster.run(100ms);
    CHECK(cluster.applied(leader, "first") && cluster.applied(leader, "third"));
    STRCMP_EQUAL("", cluster.violation.c_str());
}

TEST(RaftCore, ARemovedControlVmDoesNotCount)
{
    FakeCluster cluster(3);
    const std::size_t leader = settle(cluster);
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

TEST(RaftCore, AnEntryOfAnOlderTermIsCommittedOnlyTogetherWithOneOfTheLeadersTerm)
{
    RaftOptions options;
    options.self = VmId { "vm0" };
    StoredState stored;
    stored.hardState = { 1, {}, 7 };
    stored.snapshot = RaftSnapshot { 0, 0, { { { VmId { "vm0" }, 7, true }, { VmId { "vm1" }, 8, true } } }, "" };
    stored.entries = { { 1, 1, "older" } };
    Instant now = Instant() + 1h;
    RaftCore core(now, options, stored);
    RaftMessage answer;
    answer.from = VmId { "vm1" };
    answer.to = options.self;
    answer.incarnation = 8;
    for (const Instant end = now + 5s; now < end && core.role() != RaftRole::Leader; now += 10ms) {
        core.tick(now);
        for (const RaftMessage &message : core.takeActions().messages) {
            answer.kind = static_cast<RaftMessageKind>(static_cast<int>(message.kind) + 1);
            answer.standing = RaftStanding::Live;
            answer.term = message.term;
            answer.round = message.round;
            answer.granted = message.kind != RaftMessageKind::Hello;
            core.receive(now, answer);
        }
        if (!core.takeActions().write.empty()) {
            core.onPersisted(now);
        }
    }
    CHECK(core.role() == RaftRole::Leader);
    answer.kind = RaftMessageKind::AppendAnswer;
    answer.term = core.term();
    answer.lastIndex = 1;
    core.receive(now, answer);
    CHECK_EQUAL(0, core.commitIndex());
    answer.lastIndex = 2;
    core.receive(now, answer);
    CHECK_EQUAL(2, core.commitIndex());
}
