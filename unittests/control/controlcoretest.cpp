#include "fakesystem.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

using std::chrono::milliseconds;
using std::chrono::seconds;

static void startGroup(FakeSystem &system, int group = 1)
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

/// Returns the time until an entry may acknowledge writes of a term above \p oldTerm, at most \p limit.
static Duration writeOutage(FakeSystem &system, Term oldTerm, Duration limit)
{
    const Instant start = system.now;
    while (system.now < start + limit) {
        system.run(milliseconds(10));
        const std::set<Term> terms = system.acknowledgingTerms(1);
        if (!terms.empty() && *terms.rbegin() > oldTerm) {
            break;
        }
    }
    return system.now - start;
}

TEST_GROUP(ControlCore) {};

TEST(ControlCore, CrashedPrimaryIsReplacedWithinOneSecond)
{
    FakeSystem system(1, 3, 7);
    startGroup(system);
    const BackendId old = primaryOf(system);
    CHECK(!old.empty());
    CHECK(system.write(1));
    system.databases.at(old).health = FakeHealth::Crashed;
    CHECK(writeOutage(system, system.termOf(1)->term, seconds(5)) <= seconds(1));
    CHECK(primaryOf(system) != old);
}

TEST(ControlCore, PrimaryUnreachableFromOneEntryIsNotReplaced)
{
    FakeSystem system(2, 3, 7);
    startGroup(system);
    const GroupTerm before = *system.termOf(1);
    for (auto &[vm, entry] : system.entries) {
        entry.views = { { before.primary, false, 5000 } };
        break;
    }
    system.run(seconds(20));
    CHECK(*system.termOf(1) == before);
}

TEST(ControlCore, StalledPrimaryIsReplacedDespiteAnnouncements)
{
    FakeSystem system(3, 3, 7);
    startGroup(system);
    const BackendId old = primaryOf(system);
    system.databases.at(old).health = FakeHealth::Stalled;
    system.entries.begin()->second.views = { { old, true, 600 } };
    CHECK(writeOutage(system, system.termOf(1)->term, seconds(5)) <= seconds(2));
    CHECK(primaryOf(system) != old);
}

TEST(ControlCore, PrimaryInIsolatedZoneIsReplacedAfterLeasesExpire)
{
    FakeSystem system(4, 3, 7);
    startGroup(system);
    const BackendId old = primaryOf(system);
    const Term term = system.termOf(1)->term;
    system.databases.at(old).health = FakeHealth::Silent;
    for (auto &[vm, entry] : system.entries) {
        entry.isIsolated = entry.zone == system.databases.at(old).announcement.zone;
    }
    CHECK(writeOutage(system, term, seconds(5)) <= seconds(3));
    CHECK_EQUAL(1, system.acknowledgingTerms(1).size());
}

TEST(ControlCore, SurvivorThatMayMissAcknowledgedWritesIsNotPromoted)
{
    FakeSystem system(5, 3, 7);
    startGroup(system);
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
        database.health = id == old ? FakeHealth::Crashed : FakeHealth::Healthy;
    }
    system.run(seconds(2));
    CHECK(!primaryOf(system).empty());
    CHECK(primaryOf(system) != old);
}

TEST(ControlCore, GroupWithOneDatabaseGetsPrimary)
{
    FakeSystem system(6, 3, 7);
    const BackendId only = system.addDatabase(1, 0);
    system.run(seconds(4));
    CHECK(primaryOf(system) == only);
    CHECK_EQUAL(1, system.acknowledgingTerms(1).size());
}

TEST(ControlCore, LeavingPrimaryHandsOverToCaughtUpReplica)
{
    FakeSystem system(7, 3, 7);
    startGroup(system);
    const BackendId old = primaryOf(system);
    for (int i = 0; i < 5; ++i) {
        CHECK(system.write(1));
    }
    const LogPoint last = system.acknowledged.at(FakeSystem::groupKey(1)).back();
    system.databases.at(old).announcement.isLeaving = true;
    CHECK(writeOutage(system, system.termOf(1)->term, seconds(5)) <= seconds(2));
    CHECK(primaryOf(system) != old);
    CHECK(!system.termOf(1)->isLost(last));
    system.run(seconds(5));
    CHECK_EQUAL(2, system.cores.front()->state().members().at(FakeSystem::groupKey(1)).members.size());
}

TEST(ControlCore, FlappingGroupFailsOverWithGrowingDelay)
{
    FailureDetector detector { ControlTiming {} };
    const GroupKey group = FakeSystem::groupKey(1);
    const BackendId primary { "p" };
    const PrimaryEvidence reportedBad { false, true, false, false };
    Instant now { seconds(100) };
    Duration previousDelay {};
    for (int round = 0; round < 4; ++round) {
        detector.onFailoverStarted(now, group);
        const Instant start = now;
        PrimaryAction action = PrimaryAction::None;
        while (action != PrimaryAction::Replace) {
            now += milliseconds(10);
            action = detector.evaluate(now, group, primary, reportedBad);
            if (action == PrimaryAction::Probe) {
                detector.onProbeResult(now, group, primary, false, false);
            }
        }
        CHECK(round == 0 || now - start >= 2 * previousDelay - milliseconds(20));
        previousDelay = now - start;
    }
    detector.onFailoverStarted(now, group);
    CHECK(detector.evaluate(now, group, primary, reportedBad) == PrimaryAction::Probe);
    detector.onProbeResult(now, group, primary, false, true);
    // A refused connection overrides the hold-off.
    CHECK(detector.evaluate(now, group, primary, reportedBad) == PrimaryAction::Replace);
}

// A new primary was replaced at once, because the late result of a probe of its predecessor counted as its own.
TEST(ControlCore, ProbeOfTheFormerPrimarySaysNothingOfItsSuccessor)
{
    FailureDetector detector { ControlTiming {} };
    const GroupKey group = FakeSystem::groupKey(1);
    const BackendId former { "former" };
    const BackendId successor { "successor" };
    const PrimaryEvidence reportedBad { false, true, false, false };
    const Instant now { seconds(100) };
    CHECK(detector.evaluate(now, group, former, reportedBad) == PrimaryAction::Probe);
    detector.onFailoverStarted(now, group);
    CHECK(detector.evaluate(now, group, successor, reportedBad) == PrimaryAction::Probe);
    detector.onProbeResult(now, group, former, false, true);
    CHECK(detector.evaluate(now, group, successor, reportedBad) == PrimaryAction::None);
    detector.onProbeResult(now, group, successor, true, false);
    CHECK(detector.evaluate(now, group, successor, reportedBad) != PrimaryAction::Replace);
}

// A planned handover keeps no suspicion of the former primary, whose probe may never be answered.
TEST(ControlCore, SuccessorIsProbedAfterAPlannedHandover)
{
    FailureDetector detector { ControlTiming {} };
    const GroupKey group = FakeSystem::groupKey(1);
    const PrimaryEvidence reportedBad { false, true, false, false };
    const Instant now { seconds(100) };
    CHECK(detector.evaluate(now, group, BackendId { "former" }, reportedBad) == PrimaryAction::Probe);
    CHECK(detector.evaluate(now, group, BackendId { "successor" }, reportedBad) == PrimaryAction::Probe);
}

TEST(ControlCore, IdleEntryStaysWithinByteBudget)
{
    FakeSystem system(8, 3, 7);
    for (int group = 1; group <= 40; ++group) {
        for (int zone = 0; zone < 3; ++zone) {
            system.addDatabase(group, zone);
        }
    }
    system.run(seconds(8));
    system.shouldCountBytes = true;
    system.run(seconds(10));
    constexpr std::size_t Entries = 7;
    constexpr std::size_t MaxBytesPerSecond = 13000;
    const std::size_t bytesPerSecond = system.messageBytes / 10 / Entries;
    UT_PRINT(("bytes/s of an entry, both ways, 40 groups: " + std::to_string(bytesPerSecond)).c_str());
    CHECK(bytesPerSecond < MaxBytesPerSecond);
}

TEST_GROUP(ControlCoreRegressions) {};

// Guards against two primaries: the old primary returns after its replacement while an entry that was suspended during
// the failover still has the old table.
TEST(ControlCoreRegressions, ReturningOldPrimaryIsDemotedAndResumedEntryAcknowledgesNothing)
{
    FakeSystem system(9, 3, 7);
    startGroup(system);
    const BackendId old = primaryOf(system);
    const Term oldTerm = system.termOf(1)->term;
    FakeEntry &suspendedEntry = system.entries.begin()->second;
    suspendedEntry.pausedUntil = system.now + seconds(4);
    system.databases.at(old).health = FakeHealth::Silent;
    system.run(seconds(3));
    CHECK(system.termOf(1)->term > oldTerm);
    CHECK(primaryOf(system) != old);
    system.databases.at(old).health = FakeHealth::Healthy;
    CHECK(system.databases.at(old).announcement.role == BackendRole::Primary); // Not demoted yet.
    // The entry resumes with the old table and without a lease.
    CHECK(suspendedEntry.holder->state().findTerm(FakeSystem::groupKey(1))->term == oldTerm);
    CHECK(!suspendedEntry.holder->state().isValidAt(suspendedEntry.clock(system.now)));
    system.run(seconds(3));
    CHECK(system.databases.at(old).announcement.role == BackendRole::Replica);
    CHECK_EQUAL(1, system.acknowledgingTerms(1).size());
    CHECK(*system.acknowledgingTerms(1).begin() == system.termOf(1)->term);
    CHECK(suspendedEntry.holder->state().isValidAt(suspendedEntry.clock(system.now)));
}

// Guards against a lease that is too long: a process is suspended between creating a request and sending it.
TEST(ControlCoreRegressions, LeaseCountsFromRequestTimeDespiteDelayedSend)
{
    LeaseHolder holder(VmId { "vm1" }, ZoneId { "coanda" }, { VmId { "c1" } });
    const Instant start { seconds(10) };
    const LeaseHolder::Renewal renewal = holder.tick(start, {}, 0);
    const Instant resumed = start + milliseconds(900); // The process was suspended between the tick and the send.
    LeaseGrant grant;
    grant.nonce = renewal.request.nonce;
    grant.durationMs = 1000;
    grant.table.leaderTerm = 1;
    grant.table.version = 1;
    CHECK(holder.onGrant(resumed, VmId { "c1" }, grant));
    CHECK(holder.state().isValidAt(start + milliseconds(999)));
    CHECK(!holder.state().isValidAt(start + milliseconds(1000)));
    grant.nonce = renewal.request.nonce + 1; // Not requested in this run.
    holder.onGrant(resumed, VmId { "c1" }, grant);
    CHECK(!holder.state().isValidAt(start + milliseconds(1000)));
}

// Guards against grants of an outdated leader: a control VM is suspended as the leader and resumes after it was
// replaced.
TEST(ControlCoreRegressions, SuspendedLeaderGrantsNothingAfterResume)
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
    const Instant resumedAt = start + seconds(3600);
    core.onLeadership(resumedAt, false, 1); // The driver reports the leadership before each input.
    core.onLeaseRequest(resumedAt, request);
    core.tick(resumedAt);
    CHECK(core.takeActions().empty());
}
