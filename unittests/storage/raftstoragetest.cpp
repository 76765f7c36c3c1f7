#include "fakedisk.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(RaftStorage) {};

static LogEntry entryAt(std::uint64_t index)
{
    return { 1, index, "change " + std::to_string(index) };
}

static RaftWrite appendWrite(std::uint64_t index)
{
    RaftWrite write;
    write.record.entries = { entryAt(index) };
    return write;
}

// Stores entries one by one, as a control VM does with configuration changes.
static std::unique_ptr<FakeDisk> diskWithEntries(std::uint64_t entries)
{
    auto disk = std::make_unique<FakeDisk>();
    RaftStorage storage(*disk);
    CHECK(storage.open().has_value());
    RaftWrite first;
    first.record.hardState = HardState { 1, VmId { "vm1" }, 5 };
    CHECK(storage.write(first).has_value());
    for (std::uint64_t index = 1; index <= entries; ++index) {
        CHECK(storage.write(appendWrite(index)).has_value());
    }
    return disk;
}

// Simulates a crash at each step of `write` in turn and passes the state found afterwards to `check`. Returns the
// number of steps that `write` takes.
static std::size_t crashAtEachStep(const FakeDisk &initialDisk, const RaftWrite &write,
    const std::function<void(const StoredState &found, bool isAcknowledged)> &check)
{
    for (std::size_t steps = 0;; ++steps) {
        for (const std::size_t keptUnsyncedBytes : { std::size_t { 0 }, std::size_t { 7 }, SIZE_MAX / 2 }) {
            const std::unique_ptr<FakeDisk> disk = initialDisk.copy();
            RaftStorage storage(*disk);
            CHECK(storage.open().has_value());
            disk->stepsUntilFailure = steps;
            const bool isAcknowledged = storage.write(write).has_value();
            disk->crash(keptUnsyncedBytes);
            const Expected<StoredState> found = RaftStorage(*disk).open();
            CHECK_TEXT(found.has_value(), found ? "" : found.error().detail.c_str());
            check(*found, isAcknowledged);
            if (isAcknowledged) {
                return steps;
            }
        }
    }
}

TEST(RaftStorage, CrashAtAnyByteOfAppendKeepsLatestAcknowledgedState)
{
    const std::unique_ptr<FakeDisk> disk = diskWithEntries(500);
    const std::size_t writeSteps
        = crashAtEachStep(*disk, appendWrite(501), [](const StoredState &found, bool isAcknowledged) {
              CHECK(found.hardState == (HardState { 1, VmId { "vm1" }, 5 }));
              const std::size_t size = found.entries.size();
              CHECK(size == 501 || (size == 500 && !isAcknowledged));
              CHECK(found.entries.back() == entryAt(size));
          });
    CHECK(writeSteps > FrameHeaderBytes);
}

TEST(RaftStorage, CrashAtAnyByteOfSnapshotLosesNoEntry)
{
    const std::unique_ptr<FakeDisk> disk = diskWithEntries(50);
    RaftWrite write;
    write.snapshot = RaftSnapshot { 48, 1, {}, "state at 48" };
    write.record.hardState = HardState { 1, VmId { "vm1" }, 5 };
    write.record.entries = { entryAt(49), entryAt(50) };
    const std::size_t writeSteps
        = crashAtEachStep(*disk, write, [&write](const StoredState &found, bool isAcknowledged) {
              CHECK(found.hardState == *write.record.hardState);
              CHECK(found.entries.back() == entryAt(50));
              CHECK(found.snapshot.has_value() || !isAcknowledged);
              CHECK_EQUAL(found.snapshot ? 2 : 50, found.entries.size());
              CHECK(!found.snapshot || found.snapshot == write.snapshot);
          });
    CHECK(writeSteps > 2 * FrameHeaderBytes);
}

TEST(RaftStorage, SnapshotFromLeaderReplacesDivergedLog)
{
    const std::unique_ptr<FakeDisk> disk = diskWithEntries(10);
    RaftWrite write;
    write.snapshot = RaftSnapshot { 8, 3, {}, "state" };
    write.record.hardState = HardState { 3, {}, 5 };
    crashAtEachStep(*disk, write, [](const StoredState &found, bool /*isAcknowledged*/) {
        CHECK(found.snapshot ? found.entries.empty() : found.entries.size() == 10);
    });
}

TEST(RaftStorage, TornTailIsRemovedAndItsSizeReported)
{
    const std::unique_ptr<FakeDisk> disk = diskWithEntries(3);
    std::string &log = disk->bytesOf("log");
    log.resize(log.size() - 1);
    const Expected<StoredState> found = RaftStorage(*disk).open();
    CHECK(found.has_value());
    CHECK_EQUAL(2, found->entries.size());
    CHECK(found->tornTailBytes > 0);
}

TEST(RaftStorage, CorruptionBeforeLastRecordIsReportedWithFileAndOffset)
{
    const std::unique_ptr<FakeDisk> disk = diskWithEntries(3);
    const std::size_t second = FrameHeaderBytes + readFrame(disk->bytesOf("log"), 0)->size();
    disk->bytesOf("log")[second] ^= 1;
    const Expected<StoredState> found = RaftStorage(*disk).open();
    CHECK(!found && found.error().kind == ErrorKind::StorageCorrupt);
    STRCMP_CONTAINS(("log: offset " + std::to_string(second)).c_str(), found.error().detail.c_str());
}

TEST(RaftStorage, ModifiedBytesAreNotAcceptedAsSyncedState)
{
    const std::unique_ptr<FakeDisk> disk = diskWithEntries(5);
    RaftStorage storage(*disk);
    const Expected<StoredState> initial = storage.open();
    RaftWrite write;
    write.snapshot = RaftSnapshot { 2, 1, {}, "state" };
    write.record.hardState = initial->hardState;
    write.record.entries = { entryAt(3), entryAt(4), entryAt(5) };
    CHECK(storage.write(write).has_value() && storage.write(appendWrite(6)).has_value());
    CHECK(rc::check([&disk]() {
        const std::unique_ptr<FakeDisk> damaged = disk->copy();
        std::string &bytes = damaged->bytesOf(*rc::gen::element<std::string>("log", "snapshot"));
        const auto offset = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto replacement = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        RC_PRE(
            (offset + replacement.size() <= bytes.size() && bytes.substr(offset, replacement.size()) != replacement));
        bytes.replace(offset, replacement.size(), replacement);
        const Expected<StoredState> found = RaftStorage(*damaged).open();
        const bool isTailRemoved = found && found->entries.size() == 3 && found->tornTailBytes > 0;
        RC_ASSERT((isTailRemoved || (!found && found.error().kind == ErrorKind::StorageCorrupt)));
    }));
}

TEST(RaftStorage, ArbitraryBytesAreRejectedOrRemovedWithoutCrash)
{
    CHECK(rc::check([](const std::string &log) {
        const std::unique_ptr<FakeDisk> disk = diskWithEntries(1);
        disk->bytesOf("log") += log;
        RC_ASSERT(RaftStorage(*disk).open().has_value());
        disk->bytesOf("log") = log;
        RC_ASSERT(!RaftStorage(*disk).open().has_value());
    }));
}

TEST(RaftStorage, TruncatedEncodedValueIsRejected)
{
    const RaftSnapshot snapshot { 9, 2, { { { VmId { "vm1" }, 5, true } } }, "state" };
    const std::string bytes = encodeRaftSnapshot(snapshot);
    const std::string record = encodeLogRecord({ HardState { 1, VmId { "vm1" }, 5 }, 4, { entryAt(4) } });
    CHECK(decodeRaftSnapshot(bytes) == snapshot);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK(!decodeRaftSnapshot(std::string_view(bytes).substr(0, size)).has_value());
    }
    for (std::size_t size = 0; size < record.size(); ++size) {
        CHECK(!decodeLogRecord(std::string_view(record).substr(0, size)).has_value());
    }
}

TEST(RaftStorage, FailedWriteSucceedsWhenRepeatedWithFreeDisk)
{
    const std::unique_ptr<FakeDisk> disk = diskWithEntries(2);
    RaftStorage storage(*disk);
    CHECK(storage.open().has_value());
    disk->stepsUntilFailure = 9;
    CHECK(!storage.write(appendWrite(3)).has_value());
    disk->stepsUntilFailure.reset();
    disk->isFull = true;
    CHECK(!storage.write(appendWrite(3)).has_value());
    disk->isFull = false;
    CHECK(storage.write(appendWrite(3)).has_value());
    disk->crash(0);
    CHECK_EQUAL(3, RaftStorage(*disk).open()->entries.size());
}
