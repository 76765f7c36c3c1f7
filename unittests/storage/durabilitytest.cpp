// What a control VM finds on its disk after losses of power and kills at each step of its writes.
#include "fakedisk.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace daisyrelay;

TEST_GROUP(RaftDurability) {};

// Outcomes of a loss of power that are tried at each step.
static std::uint64_t outcomesPerStep()
{
    constexpr std::uint64_t Default = 6;
    const char *text = std::getenv("DAISYRELAY_DURABILITY_RUNS");
    return text == nullptr ? Default : std::strtoull(text, nullptr, 10);
}

static LogEntry entryAt(std::uint64_t index, Term term = 1)
{
    return { term, index, "change " + std::to_string(index) + " of term " + std::to_string(term) };
}

static RaftWrite writeOf(LogRecord record, std::optional<RaftSnapshot> snapshot = {})
{
    return { std::move(record), std::move(snapshot) };
}

// The writes of a control VM in order: bootstrap, changes, an own snapshot, a change of term with a replaced tail, a
// snapshot of the leader.
static std::vector<RaftWrite> writeHistory()
{
    const Membership membership { { { VmId { "vm1" }, 5, true } } };
    return {
        writeOf({ HardState { 0, {}, 5 }, {}, {} }),
        writeOf({ HardState { 0, {}, 5 }, {}, {} }, RaftSnapshot { 0, 0, membership, "" }),
        writeOf({ HardState { 1, VmId { "vm1" }, 5 }, {}, { entryAt(1), entryAt(2) } }),
        writeOf({ {}, {}, { entryAt(3) } }),
        writeOf({ HardState { 1, VmId { "vm1" }, 5 }, {}, { entryAt(3) } },
            RaftSnapshot { 2, 1, membership, "state at 2" }),
        writeOf({ {}, {}, { entryAt(4) } }),
        writeOf({ HardState { 2, {}, 5 }, 4, { entryAt(4, 2), entryAt(5, 2) } }),
        writeOf({ HardState { 3, {}, 5 }, {}, {} }, RaftSnapshot { 9, 3, membership, "state at 9" }),
        writeOf({ HardState { 3, VmId { "vm2" }, 5 }, {}, { entryAt(10, 3) } }),
    };
}

static bool isSame(const StoredState &left, const StoredState &right)
{
    return left.hardState == right.hardState && left.snapshot == right.snapshot && left.entries == right.entries;
}

static StoredState openDisk(FakeDisk &disk)
{
    Expected<StoredState> found = RaftStorage(disk).open();
    CHECK_TEXT(found.has_value(), found ? "" : found.error().detail.c_str());
    return std::move(*found);
}

// Plays `write` on copies of `initialDisk` up to each step in turn and passes the disk on. The last one has the whole
// write.
static void interruptAtEachStep(const FakeDisk &initialDisk, const RaftWrite &write,
    const std::function<void(FakeDisk &disk, bool isAcknowledged)> &check)
{
    bool isAcknowledged = false;
    for (std::size_t steps = 0; !isAcknowledged; ++steps) {
        const std::unique_ptr<FakeDisk> disk = initialDisk.clone();
        RaftStorage storage(*disk);
        CHECK(storage.open().has_value());
        disk->stepsUntilFailure = steps;
        isAcknowledged = storage.write(write).has_value();
        check(*disk, isAcknowledged);
    }
}

static void forEachWrite(const std::function<void(const FakeDisk &disk, const std::vector<RaftWrite> &next)> &check)
{
    const std::vector<RaftWrite> writes = writeHistory();
    FakeDisk disk;
    for (auto write = writes.begin(); write != writes.end(); ++write) {
        check(disk, { write, writes.end() });
        RaftStorage storage(disk);
        CHECK(storage.open().has_value() && storage.write(*write).has_value());
    }
}

// Guards against a VM that doesn't start, or has lost what it acknowledged, after a loss of power during a write.
TEST(RaftDurability, LossOfPowerAtEachStepKeepsTheFormerOrTheNewState)
{
    forEachWrite([](const FakeDisk &initialDisk, const std::vector<RaftWrite> &writes) {
        const StoredState before = openDisk(*initialDisk.clone());
        const std::unique_ptr<FakeDisk> written = initialDisk.clone();
        RaftStorage storage(*written);
        CHECK(storage.open().has_value() && storage.write(writes.front()).has_value());
        const StoredState after = openDisk(*written);
        interruptAtEachStep(initialDisk, writes.front(), [&](const FakeDisk &interrupted, bool isAcknowledged) {
            for (std::uint64_t seed = 1; seed <= outcomesPerStep(); ++seed) {
                std::mt19937_64 random(seed);
                const std::unique_ptr<FakeDisk> disk = interrupted.clone();
                disk->losePower(random);
                const StoredState found = openDisk(*disk);
                // A new snapshot beside the former log is the state in between.
                const bool isBetween = writes.front().snapshot && found.snapshot == writes.front().snapshot
                    && found.hardState == before.hardState;
                CHECK(isSame(found, after) || (!isAcknowledged && (isSame(found, before) || isBetween)));
            }
        });
    });
}

// Guards against acknowledgements of state that a killed process had written but not synced: the next process reads it,
// acts on it, and then loses power.
TEST(RaftDurability, StateReadAfterAKillSurvivesALossOfPower)
{
    forEachWrite([](const FakeDisk &initialDisk, const std::vector<RaftWrite> &writes) {
        interruptAtEachStep(initialDisk, writes.front(), [](FakeDisk &interrupted, bool /*isAcknowledged*/) {
            interrupted.kill();
            const StoredState acted = openDisk(interrupted);
            for (std::uint64_t seed = 1; seed <= outcomesPerStep(); ++seed) {
                std::mt19937_64 random(seed);
                const std::unique_ptr<FakeDisk> disk = interrupted.clone();
                disk->losePower(random);
                CHECK(isSame(openDisk(*disk), acted));
            }
        });
    });
}

// Guards against a VM that doesn't start, or has lost what it acknowledged, after a kill during a write and a loss of
// power during the next one.
TEST(RaftDurability, LossOfPowerDuringTheWriteAfterAKillKeepsTheFormerOrTheNewState)
{
    forEachWrite([](const FakeDisk &initialDisk, const std::vector<RaftWrite> &writes) {
        interruptAtEachStep(initialDisk, writes.front(), [&](FakeDisk &killed, bool /*isAcknowledged*/) {
            killed.kill();
            const StoredState before = openDisk(killed);
            RaftWrite next;
            next.record.hardState = HardState { 20, VmId { "vm3" }, 5 };
            interruptAtEachStep(killed, next, [&](const FakeDisk &interrupted, bool isAcknowledged) {
                std::mt19937_64 random(1);
                const std::unique_ptr<FakeDisk> disk = interrupted.clone();
                disk->losePower(random);
                const StoredState found = openDisk(*disk);
                CHECK(found.snapshot == before.snapshot && found.entries == before.entries);
                CHECK(found.hardState == next.record.hardState
                    || (!isAcknowledged && found.hardState == before.hardState));
            });
        });
    });
}
