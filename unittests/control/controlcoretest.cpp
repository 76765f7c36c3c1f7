#include "fakesystem.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

using std::chrono::milliseconds;
using std::chrono::seconds;

static void formGroup(FakeSystem &system, int group = 1)
{
    for (int zone = 0; zone < 3; ++zone) {
        system.addDatabase(group, zone);
    }
    system.run(seconds(4));
}

static BackendId primaryOf(const FakeSystem &system, int group = 1)
{
    const GroupTerm *term = system.termOf(group);
    return term == nullptr ? BackendId {} : term->primary;
}

/// Returns how long no entry may acknowledge writes, up to \p limit.
static Duration gap(FakeSystem &system, Term oldTerm, Duration limit)
{
    const Instant start = system.now;
    while (system.now < start + limit) {
        system.run(milliseconds(10));
        const std::set<Term> terms = system.acknowledging(1);
        if (!terms.empty() && *terms.rbegin() > oldTerm) {
            break;
        }
    }
    return system.now - start;
}

TEST_GROUP(ControlCore) {};

TEST(ControlCore, ACrashedPrimaryIsReplacedWithinASecond)
{
    FakeSystem system(1, 3, 7);
    formGroup(system);
    const BackendId old = primaryOf(system);
    CHECK(!old.empty());
    CHECK(system.write(1));
    system.databases.at(old).health = FakeHealth::Crashed;
    CHECK(gap(system, system.termOf(1)->term, seconds(5)) <= seconds(1));
    CHECK(primaryOf(system) != old);
}

TEST(ControlCore, OneEntryThatCanNotReachThePrimaryDoesNotDeposeIt)
{
    FakeSystem system(2, 3, 7);
    formGroup(system);
    const GroupTerm before = *system.termOf(1);
    for (auto &[vm, entry] : system.entries) {
        entry.views = { { before.primary, false, 5000 } };
        break;
    }
    system.run(seconds(20));
    CHECK(*system.termOf(1) == before);
}

TEST(ControlCore, AStalledPrimaryThatGoesOnAnnouncingIsReplaced)
{
    FakeSystem system(3, 3, 7);
    formGroup(system);
    const BackendId old = primaryOf(system);
    system.databases.at(old).health = FakeHealth::Stalled;
    system.entries.begin()->second.views = { { old, true, 600 } };
    CHECK(gap(system, system.termOf(1)->term, seconds(5)) <= seconds(2));
    CHECK(primaryOf(system) != old);
}

TEST(ControlCore, APrimaryThatOnlyItsOwnZoneCanReachIsReplacedOnceTheZonesLeasesHaveRunOut)
{
    FakeSystem system(4, 3, 7);
    formGroup(system);
    const BackendId old = primaryOf(system);
    const Term term = system.termOf(1)->term;
    system.databases.at(old).health = FakeHealth::Silent;
    for (auto &[vm, entry] : system.entries) {
        entry.cutOff = entry.zone == system.databases.at(old).announcement.zone;
    }
    CHECK(gap(system, term, seconds(5)) <= seconds(3));
    CHECK_EQUAL(1, system.acknowledging(1).size());
}

TEST(ControlCore, NothingIsPromotedWhileTheDatabasesThatMayHoldAcknowledgedWritesAreAway)
{
    FakeSystem system(5, 3, 7);
    formGroup(system);
    const BackendId old = primaryOf(system);
    BackendId survivor;
    for (auto &[id, database] : system.databases) {
        if (id != old && survivor.empty()) {
            survivor = id;
        } else {
            database.health = FakeHealth::Crashed;
        }
    }
    system.run(seconds(10));
    CHECK(primaryOf(system).empty());
    for (auto &[id, database] : system.databases) {
        database.health = id == old ? FakeHealth::Crashed : FakeHealth::Works;
    }
    system.run(seconds(2));
    CHECK(!primaryOf(system).empty());
    CHECK(primaryOf(system) != old);
}

TEST(ControlCore, AGroupOfOneDatabaseWorks)
{
    FakeSystem system(6, 3, 7);
    const BackendId only = system.addDatabase(1, 0);
    system.run(seconds(4));
    CHECK(primaryOf(system) == only);
    CHECK_EQUAL(1, system.acknowledging(1).size());
}

TEST(ControlCore, ALeavingPrimaryHandsOverToAReplicaThatHasReachedIt)
{
    FakeSystem system(7, 3, 7);
    formGroup(system);
    const BackendId old = primaryOf(system);
    for (int i = 0; i < 5; ++i) {
        CHECK(system.write(1));
    }
    const LogPoint last = system.acknowledged.at(FakeSystem::groupKey(1)).back();
    system.databases.at(old).announcement.leaving = true;
    CHECK(gap(system, system.termOf(1)->term, seconds(5)) <= seconds(2));
    CHECK(primaryOf(system) != old);
    CHECK(!system.termOf(1)->isLost(last));
    system.run(seconds(5));
    CHECK_EQUAL(2, system.cores.front()->state().members().at(FakeSystem::groupKey(1)).members.size());
}

TEST(ControlCore, AFlappingGroupIsDampedByAGrowingDelay)
{
    FailureDetector detector { ControlTiming {} };
    const GroupKey group = FakeSystem::groupKey(1);
    const PrimaryEvidence bad { false, true, false, false };
    Instant now { seconds(100) };
    Duration previous {};
    for (int round = 0; round < 4; ++round) {
        detector.onFailoverStarted(now, group);
        const Instant start = now;
        PrimaryAction verdict = PrimaryAction::None;
        while (verdict != PrimaryAction::Replace) {
            now += milliseconds(10);
            verdict = detector.evaluate(now, group, bad);
            if (verdict == PrimaryAction::Probe) {
                detector.onProbeResult(now, group, false, false);
            }
        }
        CHECK(round == 0 || now - start >= 2 * previous - milliseconds(20));
        previous = now - start;
    }
    detector.onFailoverStarted(now, group);
    CHECK(detector.evaluate(now, group, bad) == PrimaryAction::Probe);
    detector.onProbeResult(now, group, false, true);
    CHECK(detector.evaluate(now, group, bad) == PrimaryAction::Replace); // A refused connection is certain.
}

TEST(ControlCore, AQuietEntryCostsFewBytes)
{
    FakeSystem system(8, 3, 7);
    for (int group = 1; group <= 40; ++group) {
        for (int zone = 0; zone < 3; ++zone) {
            system.addDatabase(group, zone);
        }
    }
    system.run(seconds(8));
    system.countBytes = true;
    system.run(seconds(10));
    constexpr std::size_t Entries = 7;
    constexpr std::size_t MaxBytesPerSecond = 13000;
    const std::size_t bytesPerSecond = system.messageBytes / 10 / Entries;
    UT_PRINT(("bytes/s of an entry, both ways, 40 groups: " + std::to_string(bytesPerSecond)).c_str());
    CHECK(bytesPerSecond < MaxBytesPerSecond);
}

TEST_GROUP(ControlCoreTraps) {};

TEST(ControlCoreTraps, APrimaryThatComesBackAfterBeingReplacedIsDemotedAndASleepingEntryAcknowledgesNothingForIt)
{
    FakeSystem system(9, 3, 7);
    formGroup(system);
    const BackendId old = primaryOf(system);
    const Term oldTerm = system.termOf(1)->term;
    FakeEntry &sleeper = system.entries.begin()->second;
    sleeper.pausedUntil = system.now + seconds(4);
    system.databases.at(old).health = FakeHealth::Silent;
    system.run(seconds(3));
    CHECK(system.termOf(1)->term > oldTerm);
    CHECK(primaryOf(system) != old);
    system.databases.at(old).health = FakeHealth::Works;
    CHECK(system.databases.at(old).announcement.role == BackendRole::Primary); // It still believes so.
    // The sleeper wakes with the old table in hand and no lease.
    CHECK(sleeper.holder->state().findTerm(FakeSystem::groupKey(1))->term == oldTerm);
    CHECK(!sleeper.holder->state().isValidAt(sleeper.clock(system.now)));
    system.run(seconds(3));
    CHECK(system.databases.at(old).announcement.role == BackendRole::Replica);
    CHECK_EQUAL(1, system.acknowledging(1).size());
    CHECK(*system.acknowledging(1).begin() == system.termOf(1)->term);
    CHECK(sleeper.holder->state().isValidAt(sleeper.clock(system.now)));
}

TEST(ControlCoreTraps, AProcessStoppedBetweenTheRequestAndItsSendingCountsTheLeaseFromTheRequest)
{
    LeaseHolder holder(VmId { "vm1" }, ZoneId { "coanda" }, { VmId { "c1" } });
    const Instant start { seconds(10) };
    const LeaseHolder::Renewal renewal = holder.tick(start, {}, 0);
    const Instant resumed = start + milliseconds(900); // Stopped after the tick, sent only now.
    LeaseGrant grant;
    grant.nonce = renewal.request.nonce;
    grant.durationMs = 1000;
    grant.table.leaderTerm = 1;
    grant.table.version = 1;
    CHECK(holder.onGrant(resumed, VmId { "c1" }, grant));
    CHECK(holder.state().isValidAt(start + milliseconds(999)));
    CHECK(!holder.state().isValidAt(start + milliseconds(1000)));
    grant.nonce = renewal.request.nonce + 1; // Not asked for in this run.
    holder.onGrant(resumed, VmId { "c1" }, grant);
    CHECK(!holder.state().isValidAt(start + milliseconds(1000)));
}

TEST(ControlCoreTraps, AControlVmThatWasStoppedWhileItLedGrantsNothingWhenItWakes)
{
    ControlCore core(VmId { "c1" });
    const Instant start { seconds(10) };
    core.onLeadership(start, true, 1);
    core.onCommitted(start, { 1, 1, encodeControlCommand(EntryRegistration { VmId { "vm1" }, ZoneId { "z" }, true }) });
    LeaseRequest request;
    request.entry = VmId { "vm1" };
    request.zone = ZoneId { "z" };
    request.nonce = 5;
    (void)core.takeActions();
    core.onLeaseRequest(start, request);
    CHECK_EQUAL(1, core.takeActions().size());
    const Instant woken = start + seconds(3600);
    core.onLeadership(woken, false, 1); // What consensus says before each input.
    core.onLeaseRequest(woken, request);
    core.tick(woken);
    CHECK(core.takeActions().empty());
}
