// Tests of the assignment of coordinator slots: whose lease is waited for, and which entries are chosen.
#include "daisyrelay/supervision.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

using SlotList = std::vector<std::uint32_t>;

TEST_GROUP(CoordinatorSlots)
{
    static constexpr Duration Lease = 1500ms;
    static constexpr Duration LeaseAtLeader = Lease + ClockDriftMargin;
    Instant now { 100s };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    CoordinatorSlots slots { log, metrics, {} };
    std::map<std::string, EntryReport> last; ///< Last report of each entry; its zone is the first letter of its name.

    void setup() override
    {
        slots.reset(now, 1);
    }

    CoordinatorUpdate report(const std::string &name, const SlotList &held, const SlotList &released = {})
    {
        EntryReport &message = last[name];
        message.runId = std::max<std::uint64_t>(message.runId, 1);
        message.zone = ZoneId { name.substr(0, 1) };
        ++message.sequence;
        message.coordinators.held = held;
        message.coordinators.released = released;
        slots.recordReport(now, VmId { name }, message);
        slots.assign(now, true);
        const CoordinatorUpdate update = slots.respond(now, VmId { name }, message.runId);
        if (!update.table.empty()) {
            message.coordinators.tableVersion = update.table.front().version;
        }
        return update;
    }

    /// Ends the time in which leases of former leaders are waited for, and lets \p names report.
    void start(const std::vector<std::string> &names)
    {
        now += LeaseAtLeader - 1ms;
        for (const std::string &name : names) {
            CHECK(report(name, {}).granted.empty());
        }
        CHECK(std::all_of(slots.table().holders.begin(), slots.table().holders.end(),
            [](const VmId &holder) { return holder.value.empty(); }));
        now += 1ms;
        slots.assign(now, true);
    }

    std::size_t slotsOf(const std::string &name) const
    {
        return static_cast<std::size_t>(std::count_if(slots.table().holders.begin(), slots.table().holders.end(),
            [&name](const VmId &holder) { return holder.value.starts_with(name); }));
    }
};

// Two slots at one entry while another has none would make one failure stop more workspaces than necessary.
TEST(CoordinatorSlots, HoldersAreSpreadOverZonesAndEntriesAndKept)
{
    start({ "a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2" });
    for (const char *zone : { "a", "b", "c" }) {
        CHECK(slotsOf(zone) >= 4 && slotsOf(zone) <= 7);
    }
    const CoordinatorTable table = slots.table();
    for (const auto &[name, message] : std::map(last)) {
        CHECK(slotsOf(name) == 1 || slotsOf(name) == 2);
        const CoordinatorUpdate update = report(name, {});
        CHECK_EQUAL(slotsOf(name), update.granted.size());
        CHECK(update.lease == Lease);
        CHECK_EQUAL(1U, update.table.size());
        CHECK(report(name, update.granted).table.empty());
    }
    report("d1", {});
    CHECK(slots.table().holders == table.holders);
}

TEST(CoordinatorSlots, SilentHolderIsReplacedOnlyAfterItsLease)
{
    start({ "a1" });
    CHECK_EQUAL(CoordinatorSlotCount, report("a1", {}).granted.size());
    now += LeaseAtLeader - 1ms;
    CHECK(report("b1", {}).granted.empty());
    now += 1ms;
    CHECK_EQUAL(CoordinatorSlotCount, report("b1", {}).granted.size());
    CHECK(report("a1", { 3 }).granted.empty()); // A delayed report must not take the slot back.
    CHECK_EQUAL(1U, metrics.value("coordinator_claims_ignored_total{reason=\"expired\"}"));
}

TEST(CoordinatorSlots, AppointedEntryThatNeverReportsIsReplaced)
{
    start({ "a1" });
    now += SupervisionTiming {}.maxEntrySilence + 1ms;
    CHECK_EQUAL(CoordinatorSlotCount, report("b1", {}).granted.size());
}

TEST(CoordinatorSlots, LeavingEntryIsReplacedOnceItReportsTheRelease)
{
    start({ "a1" });
    const SlotList granted = report("a1", {}).granted;
    last["a1"].isLeaving = true;
    CHECK(report("a1", granted).granted.empty());
    CHECK(report("b1", {}).granted.empty());
    CHECK(report("a1", {}, granted).granted.empty());
    CHECK_EQUAL(granted.size(), report("b1", {}).granted.size());
}

// A report of the ended run may arrive after those of the new one. If it ended the lease of the new run, another entry
// would get the slot too early.
TEST(CoordinatorSlots, RestartEndsLeaseOfFormerRunOnly)
{
    start({ "a1" });
    report("a1", {});
    EntryReport delayed = last["a1"];
    last["a1"] = EntryReport { .runId = 2 };
    CHECK(report("a1", {}).granted.empty()); // Not known to be the newer run yet.
    CHECK_EQUAL(CoordinatorSlotCount, report("a1", {}).granted.size());
    delayed.sequence = 50;
    delayed.isLeaving = true;
    slots.recordReport(now, VmId { "a1" }, delayed);
    CHECK(slots.respond(now, VmId { "a1" }, 1).granted.empty());
    CHECK_EQUAL(CoordinatorSlotCount, slotsOf("a1"));
    delayed.runId = 3; // Ended before this leader saw it.
    delayed.coordinators.tableVersion = 1;
    for (const std::uint64_t sequence : { 51, 52 }) {
        delayed.sequence = sequence;
        slots.recordReport(now, VmId { "a1" }, delayed);
    }
    CHECK(report("b1", {}).granted.empty());
}

TEST(CoordinatorSlots, NewLeaderKeepsReportedHolders)
{
    CHECK((report("a1", { 2, 5, 99 }).granted == SlotList { 2, 5 }));
    CHECK(report("b1", {}).granted.empty());
    // The entry lost its authority; a former leader may have given it to another one.
    CHECK((report("a1", { 5 }).granted == SlotList { 5 }));
    CHECK(report("a1", {}).table.empty()); // The table of the former leader is more complete.
    now += 1s;
    report("a1", { 5 });
    report("b1", {});
    now += LeaseAtLeader - 1s;
    CHECK(report("b1", {}).granted.size() >= 7);
    CHECK(slots.table().holders.at(5) == VmId { "a1" });
}

TEST(CoordinatorSlots, ContestedSlotHasNoHolderUntilRelease)
{
    report("a1", { 4, 5 });
    CHECK(report("b1", { 4, 5 }).granted.empty());
    CHECK(report("a1", { 4, 5 }).granted.empty());
    CHECK(report("b1", { 5 }, { 4 }).granted.empty());
    CHECK((report("a1", { 4, 5 }).granted == SlotList { 4 }));
    now += LeaseAtLeader - 1ms;
    CHECK(report("c1", {}).granted.empty());
    CHECK(slots.table().holders.at(5).value.empty());
    now += 1ms;
    report("c1", {});
    CHECK(slots.table().holders.at(5) == VmId { "c1" });
}

TEST(CoordinatorSlots, NothingIsSentWithoutRateLimits)
{
    start({ "a1" });
    report("a1", {});
    const std::uint64_t version = slots.table().version;
    slots.assign(now, false);
    const CoordinatorUpdate update = slots.respond(now, VmId { "a1" }, 1);
    CHECK(update.table.empty() && update.granted.empty() && update.lease == 0s);
    CHECK_EQUAL(0U, slotsOf("a1"));
    CHECK(report("b1", {}).granted.empty()); // The former holder may still have authority.
    slots.reset(now, 2);
    CHECK(slots.table().version > version);
}
