// Tests of the registration of lease holders: no entry may hold a lease that the next leader does not know of.
#include "daisyrelay/supervision.h"

#include <utility>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(LeaseRegistrar)
{
    Instant now { 100s };
    LeaseHolderTable table;
    std::vector<SupervisionCommand> proposed;
    LeaseRegistrar registrar { {}, [this](SupervisionCommand command) { proposed.push_back(std::move(command)); } };
    std::uint64_t index = 0;
    const VmId entry { "e" };
    const ZoneId zone { "z" };

    bool report(const ZoneId &from)
    {
        return registrar.recordReport(now, entry, from, table);
    }

    void commit(const SupervisionCommand &command)
    {
        ++index;
        if (const auto *registration = std::get_if<RegisterLeaseHolder>(&command); registration != nullptr) {
            table.apply(index, *registration);
        } else {
            table.apply(std::get<RemoveLeaseHolder>(command));
        }
    }

    void commitAll()
    {
        for (const SupervisionCommand &command : std::exchange(proposed, {})) {
            commit(command);
        }
    }
};

TEST(LeaseRegistrar, NoLeaseBeforeTheRegistrationIsCommitted)
{
    CHECK(!report(zone));
    CHECK(!report(zone));
    CHECK_EQUAL(1U, proposed.size());
    commitAll();
    CHECK(report(zone));
    CHECK(proposed.empty());
}

TEST(LeaseRegistrar, LostProposalIsRepeated)
{
    report(zone);
    proposed.clear();
    now += 1s;
    report(zone);
    CHECK_EQUAL(1U, proposed.size());
}

TEST(LeaseRegistrar, SilentEntryIsRemoved)
{
    report(zone);
    commitAll();
    now += 29s;
    registrar.removeSilent(now, table);
    CHECK(proposed.empty());
    now += 2s;
    registrar.removeSilent(now, table);
    commitAll();
    CHECK(table.find(entry) == nullptr);
}

// Guards against a lease that no later leader knows of: the entry reports again while its removal is being committed.
TEST(LeaseRegistrar, ReturningEntryIsRegisteredAgainBeforeItGetsALease)
{
    report(zone);
    commitAll();
    now += 31s;
    registrar.removeSilent(now, table);
    const std::vector<SupervisionCommand> removal = std::exchange(proposed, {});
    CHECK(!report(zone));
    commitAll();
    CHECK(report(zone));
    commit(removal.front());
    CHECK(table.find(entry) != nullptr);
}

TEST(LeaseRegistrar, NewLeaderKeepsTheEntriesOfTheFormerOne)
{
    table.apply(1, RegisterLeaseHolder { entry, zone });
    registrar.reset(now, table);
    registrar.removeSilent(now + 29s, table);
    CHECK(proposed.empty());
    CHECK(report(zone));
}

// Leases on primaries of the own zone are shorter, so a wrong zone would end the wait for a lease too early.
TEST(LeaseRegistrar, AddressTakenOverInAnotherZoneHasNoKnownZone)
{
    report(zone);
    commitAll();
    CHECK(report(zone));
    CHECK(!report(ZoneId { "other" }));
    commitAll();
    CHECK(report(ZoneId { "other" }));
    CHECK(table.find(entry)->zone.empty());
}

TEST(LeaseRegistrar, TableSurvivesASnapshot)
{
    SupervisionState state;
    state.apply(1, RegisterLeaseHolder { entry, zone });
    const Expected<SupervisionState> restored = SupervisionState::decode(state.encode());
    CHECK(restored.has_value());
    CHECK(restored->leaseHolders().records() == state.leaseHolders().records());
}

// A leader change at the same time as the loss of a primary must not add the duration of a lease to the failover.
TEST(LeaseRegistrar, EntryGetsNoLeaseBeforeItsRegistrationIsCommitted)
{
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    Supervisor fencing { log, metrics, 1, {}, FencingPolicy::Leases };
    fencing.onLeadership(now, true, 1, { VmId { "c" } });
    const auto lastLease = [&fencing]() {
        LeaseDurations lease;
        for (const SupervisionAction &action : fencing.takeActions()) {
            if (const auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
                lease = update->update.lease;
            }
        }
        return lease;
    };
    fencing.onReport(now, VmId { "e" }, EntryReport { .zone = ZoneId { "z" }, .runId = 1, .sequence = 1 });
    CHECK(lastLease() == LeaseDurations {});
    const RegisterLeaseHolder registration { VmId { "e" }, ZoneId { "z" } };
    fencing.onCommitted(now, { 1, 1, encodeSupervisionCommand(registration), LogEntryKind::Command });
    CHECK(lastLease() != LeaseDurations {});
}
