// Tests of the supervisor with a simulated log, whose commits the test controls, and simulated backend servers.
#include "supervisorfixture.h"

#include <algorithm>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP_BASE(Supervisor, SupervisorFixture) {};

TEST(Supervisor, ConfigurationIsAcknowledgedAfterCommit)
{
    commitsImmediately = false;
    const std::uint64_t request = putConfiguration(3);
    advance(100ms);
    CHECK(!responses.contains(request));
    commitNext();
    CHECK(supervisor.state().configuration().version == 3);
    performActions();
    CHECK(responses.at(request).status == ControlStatus::Done);
}

TEST(Supervisor, UncommittedChangeIsReportedUnavailableAfterTimeout)
{
    commitsImmediately = false;
    const std::uint64_t request = putConfiguration(3);
    advance(900ms);
    CHECK(responses.at(request).status == ControlStatus::Unavailable);
}

TEST(Supervisor, OlderOrEqualVersionIsAcknowledgedWithoutChange)
{
    putConfiguration(5);
    const std::uint64_t older = putConfiguration(4);
    const std::uint64_t equal = putConfiguration(5, 1);
    CHECK(responses.at(older).status == ControlStatus::Done);
    CHECK(responses.at(equal).status == ControlStatus::Done);
    CHECK_EQUAL(0U, supervisor.state().configuration().services.front().syncReplicas);
    CHECK_EQUAL(std::string("v5"), responses.at(sendRequest(ReadConfiguration {})).body);
}

TEST(Supervisor, ConcurrentChangesKeepTheHigherVersion)
{
    commitsImmediately = false;
    const std::uint64_t high = putConfiguration(8);
    const std::uint64_t low = putConfiguration(7);
    commitNext();
    commitNext();
    performActions();
    CHECK_EQUAL(8U, supervisor.state().configuration().version);
    CHECK(responses.at(high).status == ControlStatus::Done);
    CHECK(responses.at(low).status == ControlStatus::Done);
}

TEST(Supervisor, ExistingPrimaryIsRecordedWithoutPromotion)
{
    startService();
    advance(10s);
    CHECK_EQUAL(std::string("b0"), primary());
    CHECK(promotions.empty());
}

TEST(Supervisor, LateHeartbeatOfFormerIncarnationIsIgnored)
{
    startService();
    sendHeartbeat("b1", 1, 20);
    const std::uint64_t late = sendHeartbeat("b1", 9, 1, true);
    CHECK(responses.at(late).status == ControlStatus::Done);
    CHECK(!supervisor.state().find(BackendId { "b1" })->isDraining);
    sendRequest(BackendLeave { BackendId { "b1" }, 0 });
    sendHeartbeat("b1", 3, 20);
    CHECK(supervisor.state().find(BackendId { "b1" }) == nullptr);
    sendHeartbeat("b1", 1, 30);
    CHECK(supervisor.state().find(BackendId { "b1" }) != nullptr);
}

TEST(Supervisor, DrainingServerStaysDrainingUntilRestart)
{
    startService();
    sendHeartbeat("b1", 5, 1, true);
    sendHeartbeat("b1", 6, 1, false);
    CHECK(supervisor.state().find(BackendId { "b1" })->isDraining);
}

TEST(Supervisor, UnresponsivePrimaryIsReplacedByMostAdvancedReplica)
{
    startService();
    positions = { { "b1", { 1, 5 } }, { "b2", { 1, 9 } } };
    unresponsive.insert("b0");
    advance(700ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b2"), promotions.front().backend.value);
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Accepted);
    advance(200ms);
    CHECK_EQUAL(std::string("b0"), primary()); // The accepted promotion has not taken effect yet.
    primaryName = "b2";
    advance(100ms);
    CHECK_EQUAL(std::string("b2"), primary());
}

TEST(Supervisor, PromotionWithUnknownOutcomeIsSupersededByHigherToken)
{
    startService();
    unresponsive.insert("b0");
    advance(700ms);
    CHECK_EQUAL(1U, promotions.size());
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Unknown);
    advance(100ms);
    CHECK_EQUAL(2U, promotions.size());
    CHECK(promotions[1].fencingToken > promotions[0].fencingToken);
    CHECK(promotions[1].backend == promotions[0].backend);
    // A late response to the first promotion has no effect.
    supervisor.onPromotion(now, ServiceId { "s" }, promotions[0].fencingToken, PromotionOutcome::Rejected);
    advance(500ms);
    CHECK_EQUAL(2U, promotions.size());
}

TEST(Supervisor, RejectedPromotionIsRetriedWithHigherToken)
{
    startService();
    unresponsive.insert("b0");
    advance(700ms);
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Rejected);
    advance(500ms);
    CHECK_EQUAL(2U, promotions.size());
    CHECK(promotions[1].fencingToken > promotions[0].fencingToken);
}

TEST(Supervisor, PrimaryConfirmedByAnyEntryIsNotReplaced)
{
    startService();
    unresponsive.insert("b0");
    for (std::uint64_t round = 1; round <= 30; ++round) {
        EntryReport report;
        report.runId = 1;
        report.sequence = round;
        report.primaries.push_back({ ServiceId { "s" }, BackendId { "b0" }, true, false });
        supervisor.onReport(now, VmId { "e" }, report);
        advance(100ms);
    }
    CHECK(promotions.empty());
}

// Guards against the replacement of a confirmed primary because of a late probe of its predecessor, which reports the
// replica role.
TEST(Supervisor, LateProbeOfTheFormerPrimarySaysNothingOfItsSuccessor)
{
    startService();
    advance(1s);
    const auto report = [this](std::uint64_t sequence, const std::string &confirmed) {
        EntryReport entryReport;
        entryReport.runId = 1;
        entryReport.sequence = sequence;
        entryReport.primaries.push_back({ ServiceId { "s" }, BackendId { confirmed }, true, false });
        supervisor.onReport(now, VmId { "e" }, entryReport);
    };
    primaryName = "b1"; // By a call of a former leader.
    sendHeartbeat("b0", 2);
    sendHeartbeat("b1", 2);
    advance(100ms);
    report(1, "b0"); // It confirmed the role shortly before.
    advance(100ms);
    late.insert("b0");
    probes.clear();
    for (int round = 0; round < 40 && primary() == "b0"; ++round) {
        advance(10ms);
    }
    CHECK_EQUAL(std::string("b1"), primary());
    CHECK(promotions.empty());
    CHECK_EQUAL(1U, probes.size());
    CHECK_EQUAL(std::string("b0"), probes.back().backend.id.value);
    unresponsive.insert("b1"); // Control cannot reach it, entries can.
    ProbeOutcome outcome;
    outcome.probeId = probes.back().probeId;
    outcome.result = ProbeResult::IsReplica;
    supervisor.onProbe(now, outcome);
    for (std::uint64_t round = 2; round <= 30; ++round) {
        report(round, "b1");
        advance(100ms);
    }
    CHECK_EQUAL(std::string("b1"), primary());
    CHECK(promotions.empty());
}

TEST(Supervisor, DrainingPrimaryIsReplacedWhileStillServing)
{
    startService();
    sendHeartbeat("b0", 2, 1, true);
    advance(400ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK(promotions.front().backend.value != "b0");
}

TEST(Supervisor, SynchronousReplicationRequiresAllSurveyResponses)
{
    putConfiguration(1, 1);
    for (const char *name : { "b0", "b1", "b2" }) {
        sendHeartbeat(name, 1);
    }
    advance(300ms);
    unresponsive = { "b0", "b2" };
    advance(2s);
    CHECK(promotions.empty()); // Only b2, which does not respond, may hold an acknowledged write.
    unresponsive = { "b0" };
    probeKinds.clear();
    advance(1s);
    CHECK_EQUAL(1U, promotions.size());
    CHECK(std::find(probeKinds.begin(), probeKinds.end(), ProbeKind::Pause) != probeKinds.end());
}

TEST(Supervisor, LostLeadershipFailsPendingRequests)
{
    commitsImmediately = false;
    const std::uint64_t request = putConfiguration(3);
    supervisor.onLeadership(now, false, 2, {});
    performActions();
    CHECK(responses.at(request).status == ControlStatus::Unavailable);
}

TEST(Supervisor, EntryReceivesOnlyLatestOfManyChanges)
{
    startService();
    EntryReport report;
    report.runId = 1;
    report.sequence = 1;
    supervisor.onReport(now, VmId { "e" }, report);
    performActions();
    updates.clear();
    for (std::uint64_t version = 2; version <= 41; ++version) {
        putConfiguration(version);
        advance(50ms);
    }
    std::size_t sent = 0;
    for (const EntryUpdate &update : updates) {
        sent += update.configuration.empty() ? 0 : 1;
    }
    CHECK(sent <= 3); // An unconfirmed configuration is sent again every second.
    report.sequence = 2;
    report.configVersion = 1;
    supervisor.onReport(now += 2s, VmId { "e" }, report);
    performActions();
    // The entry has version 1, which is no longer known after 41 versions, so it gets the whole configuration.
    const Expected<ConfigurationUpdate> update = decodeConfigurationUpdate(updates.back().configuration);
    CHECK_EQUAL(41U, std::get<RouteConfiguration>(*update).version);
}

TEST(Supervisor, SnapshotContainsCompleteState)
{
    startService();
    sendRequest(BackendLeave { BackendId { "b2" }, 0 });
    const Expected<SupervisionState> copy = SupervisionState::decode(supervisor.snapshot());
    CHECK(copy.has_value());
    CHECK_EQUAL(supervisor.snapshot(), copy->encode());
    CHECK(!SupervisionState::decode("damaged").has_value());
}

// A leader under load may lose its lease for a moment. If it forgot the quotas that it had granted, it would grant the
// same connections to other entries.
TEST(Supervisor, LeaderThatRegainsItsLeaseKeepsGrantedQuotas)
{
    startService();
    advance(1s);
    const auto report = [this](const char *entry, std::uint64_t sequence) {
        EntryReport message;
        message.runId = 1;
        message.sequence = sequence;
        message.requestedQuotas.push_back({ BackendId { "b0" }, 14 });
        updates.clear();
        supervisor.onReport(now, VmId { entry }, message);
        performActions();
        std::uint32_t granted = 0;
        for (const ConnectionQuota &quota : updates.back().quotas) {
            granted += quota.backend == BackendId { "b0" } ? quota.connections : 0;
        }
        return granted;
    };
    advance(1s);
    const std::uint32_t first = report("e1", 1);
    CHECK(first > 7);
    supervisor.onLeadership(now, false, 1, {});
    supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    performActions();
    const std::uint32_t second = report("e2", 1);
    CHECK(first + second <= 16 - ReservedConnections);
}
