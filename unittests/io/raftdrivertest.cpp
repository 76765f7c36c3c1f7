// Tests of the driver of consensus on a folder of its own.
#include "daisyrelay/io.h"

#include <filesystem>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RaftDriver)
{
    std::string folder;
    Counters counters;
    std::size_t appliedCount = 0;
    std::size_t snapshotCount = 0;
    std::string unreadable;

    void setup() override
    {
        std::string path = (std::filesystem::temp_directory_path() / "raftdriver-XXXXXX").string();
        CHECK(::mkdtemp(path.data()) != nullptr);
        folder = path;
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    /// Returns the driver of the only control VM, which stores a snapshot after each entry.
    std::unique_ptr<RaftDriver> open()
    {
        RaftOptions options;
        options.self = VmId { "c" };
        options.controlVms = { VmId { "c" } };
        options.seed = 1;
        options.canBootstrap = true;
        options.snapshotEntryThreshold = 1;
        RaftDriver::Hooks hooks;
        hooks.send = [](const RaftMessage &) {};
        hooks.apply = [this](const LogEntry &entry) {
            ++appliedCount;
            return entry.command != unreadable;
        };
        hooks.restore = [](std::string_view) { return Expected<void> {}; };
        hooks.snapshot = [this]() {
            ++snapshotCount;
            return std::string("state");
        };
        return std::move(*RaftDriver::open(folder, std::move(options), counters, std::move(hooks)));
    }

    /// Waits in simulated time until \p driver leads.
    static Instant elect(RaftDriver & driver)
    {
        Instant now = Clock::now();
        for (const Instant end = now + 30s; now < end && !driver.core().isConfirmedLeader(now); now += 10ms) {
            driver.core().tick(now);
            driver.flush();
        }
        return now;
    }
};

// Guards against a lost entry: a snapshot of a state without an entry that could not be read would replace that entry.
TEST(RaftDriver, StoresNoSnapshotAfterAnUnreadableEntry)
{
    unreadable = "later";
    const std::unique_ptr<RaftDriver> driver = open();
    Instant now = elect(*driver);
    CHECK(driver->core().propose(now, "first").has_value());
    driver->flush();
    CHECK(appliedCount > 0);
    CHECK(snapshotCount > 0);
    const std::size_t snapshotsBefore = snapshotCount;
    CHECK(driver->core().propose(now, "later").has_value());
    CHECK(driver->core().propose(now, "last").has_value());
    driver->flush();
    const std::size_t appliedBefore = appliedCount;
    now += 10ms;
    driver->core().tick(now);
    driver->flush();
    CHECK_EQUAL(snapshotsBefore, snapshotCount);
    CHECK_EQUAL(appliedBefore, appliedCount);
}
