// The leader's decisions, with a log that commits when the test says so and backend servers that answer as it says.
#include "daisyrelay/supervision.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Supervisor)
{
    Instant now { 100s };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    Supervisor supervisor { log, metrics, 1 };
    std::uint64_t index = 0;
    std::vector<SupervisionCommand> proposed;
    std::map<std::uint64_t, ControlResult> answers;
    std::vector<PromoteThroughPlatform> promotions;
    std::vector<EntryUpdate> updates;
    std::set<std::string> silent;
    std::set<std::string> refusing;
    std::map<std::string, LogPoint> positions;
    std::vector<ProbeKind> probed;
    std::string leads = "b0";
    bool commits = true;
    std::uint64_t nextRequest = 1;

    void setup() override
    {
        supervisor.onLeadership(now, true, 1, { VmId { "c" } });
    }

    void act()
    {
        for (std::vector<SupervisionAction> actions = supervisor.takeActions(); !actions.empty();
             actions = supervisor.takeActions()) {
            for (SupervisionAction &action : actions) {
                if (auto *propose = std::get_if<ProposeSupervision>(&action); propose != nullptr) {
                    proposed.push_back(propose->command);
                    if (commits) {
                        commitNext();
                    }
                } else if (auto *answer = std::get_if<SendControlResponse>(&action); answer != nullptr) {
                    CHECK(!answers.contains(answer->requestId));
                    answers[answer->requestId] = answer->result;
                } else if (auto *probe = std::get_if<ProbeBackend>(&action); probe != nullptr) {
                    answerProbe(*probe);
                } else if (auto *promote = std::get_if<PromoteThroughPlatform>(&action); promote != nullptr) {
                    promotions.push_back(*promote);
                } else if (auto *update = std::get_if<SendEntryUpdate>(&action); update != nullptr) {
                    updates.push_back(update->update);
                }
            }
        }
    }

    void commitNext()
    {
        const SupervisionCommand command = proposed.front();
        proposed.erase(proposed.begin());
        supervisor.onCommitted(now, { 1, ++index, encodeSupervisionCommand(command), LogEntryKind::Command });
    }

    void answerProbe(const ProbeBackend &probe)
    {
        probed.push_back(probe.kind);
        const std::string &name = probe.backend.id.value;
        ProbeOutcome outcome;
        outcome.probeId = probe.probeId;
        if (refusing.contains(name)) {
            outcome.result = ProbeResult::Refused;
        } else if (silent.contains(name)) {
            outcome.result = ProbeResult::NoResponse;
        } else if (probe.kind == ProbeKind::Role) {
            outcome.result = name == leads ? ProbeResult::IsPrimary : ProbeResult::IsReplica;
        } else {
            outcome.result = ProbeResult::Responded;
            outcome.received = positions[name];
            outcome.term = positions[name].term;
        }
        supervisor.onProbe(now, outcome);
    }

    std::uint64_t ask(const ControlRequest &request)
    {
        const std::uint64_t id = nextRequest++;
        supervisor.onRequest(now, id, request);
        act();
        return id;
    }

    std::uint64_t put(std::uint64_t version, std::uint32_t syncReplicas = 0)
    {
        PutConfiguration change;
        change.configuration.version = version;
        change.configuration.services.push_back({ ServiceId { "s" }, 16, syncReplicas });
        change.source = "v" + std::to_string(version);
        return ask(change);
    }

    std::uint64_t beat(const std::string &name, std::uint64_t sequence, std::int64_t born = 1, bool draining = false)
    {
        BackendHeartbeat heartbeat;
        heartbeat.record = { BackendId { name }, born, ServiceId { "s" }, "10.0.0." + name.substr(1), 80, {}, 2,
            draining, name == leads };
        heartbeat.sequence = sequence;
        return ask(heartbeat);
    }

    /// Lets time pass for \p duration; all servers but silent and refusing ones go on sending heartbeats.
    void pass(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += 10ms) {
            supervisor.tick(now);
            act();
        }
    }

    void startService()
    {
        put(1);
        for (const char *name : { "b0", "b1", "b2" }) {
            beat(name, 1);
        }
        pass(300ms);
    }

    std::string primary() const
    {
        const PrimaryRecord *record = supervisor.state().primaryOf(ServiceId { "s" });
        return record == nullptr ? "" : record->backend.value;
    }
};

TEST(Supervisor, AConfigurationIsAcknowledgedOnlyOnceItIsCommitted)
{
    commits = false;
    const std::uint64_t request = put(3);
    pass(100ms);
    CHECK(!answers.contains(request));
    commitNext();
    CHECK(supervisor.state().configuration().version == 3);
    act();
    CHECK(answers.at(request).status == ControlStatus::Done);
}

TEST(Supervisor, AChangeThatIsNotCommittedIsAnsweredAsUnknownInTime)
{
    commits = false;
    const std::uint64_t request = put(3);
    pass(900ms);
    CHECK(answers.at(request).status == ControlStatus::Unavailable);
}

TEST(Supervisor, OlderAndEqualVersionsAreAcknowledgedAndChangeNothing)
{
    put(5);
    const std::uint64_t older = put(4);
    const std::uint64_t equal = put(5, 1);
    CHECK(answers.at(older).status == ControlStatus::Done);
    CHECK(answers.at(equal).status == ControlStatus::Done);
    CHECK_EQUAL(0U, supervisor.state().configuration().services.front().syncReplicas);
    CHECK_EQUAL(std::string("v5"), answers.at(ask(ReadConfiguration {})).body);
}

TEST(Supervisor, TwoOperatorsAtOnceLeaveTheHigherVersionInWhicheverOrderTheyCommit)
{
    commits = false;
    const std::uint64_t high = put(8);
    const std::uint64_t low = put(7);
    commitNext();
    commitNext();
    act();
    CHECK_EQUAL(8U, supervisor.state().configuration().version);
    CHECK(answers.at(high).status == ControlStatus::Done);
    CHECK(answers.at(low).status == ControlStatus::Done);
}

TEST(Supervisor, ThePrimaryThatIsFoundIsAdoptedAndNeverPromoted)
{
    startService();
    pass(10s);
    CHECK_EQUAL(std::string("b0"), primary());
    CHECK(promotions.empty());
}

TEST(Supervisor, ALateHeartbeatOfAFormerLifeChangesNothing)
{
    startService();
    beat("b1", 1, 20);
    const std::uint64_t late = beat("b1", 9, 1, true);
    CHECK(answers.at(late).status == ControlStatus::Done);
    CHECK(!supervisor.state().find(BackendId { "b1" })->draining);
    ask(BackendLeave { BackendId { "b1" }, 0 });
    beat("b1", 3, 20);
    CHECK(supervisor.state().find(BackendId { "b1" }) == nullptr);
    beat("b1", 1, 30);
    CHECK(supervisor.state().find(BackendId { "b1" }) != nullptr);
}

TEST(Supervisor, AServerThatBeganToDrainDoesNotComeBackInTheSameLife)
{
    startService();
    beat("b1", 5, 1, true);
    beat("b1", 6, 1, false);
    CHECK(supervisor.state().find(BackendId { "b1" })->draining);
}

TEST(Supervisor, ASilentPrimaryIsReplacedByTheMostAdvancedServer)
{
    startService();
    positions = { { "b1", { 1, 5 } }, { "b2", { 1, 9 } } };
    silent.insert("b0");
    pass(700ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK_EQUAL(std::string("b2"), promotions.front().backend.value);
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Accepted);
    pass(200ms);
    CHECK_EQUAL(std::string("b0"), primary()); // Accepted is not done yet.
    leads = "b2";
    pass(100ms);
    CHECK_EQUAL(std::string("b2"), primary());
}

TEST(Supervisor, APromotionOfUnknownFateIsOvertakenByAHigherToken)
{
    startService();
    silent.insert("b0");
    pass(700ms);
    CHECK_EQUAL(1U, promotions.size());
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Unknown);
    pass(100ms);
    CHECK_EQUAL(2U, promotions.size());
    CHECK(promotions[1].fencingToken > promotions[0].fencingToken);
    CHECK(promotions[1].backend == promotions[0].backend);
    // The answer to the first one, should it still come, decides nothing.
    supervisor.onPromotion(now, ServiceId { "s" }, promotions[0].fencingToken, PromotionOutcome::Rejected);
    pass(500ms);
    CHECK_EQUAL(2U, promotions.size());
}

TEST(Supervisor, ARejectedPromotionIsDecidedAnewWithANewToken)
{
    startService();
    silent.insert("b0");
    pass(700ms);
    supervisor.onPromotion(now, ServiceId { "s" }, promotions.front().fencingToken, PromotionOutcome::Rejected);
    pass(500ms);
    CHECK_EQUAL(2U, promotions.size());
    CHECK(promotions[1].fencingToken > promotions[0].fencingToken);
}

TEST(Supervisor, APrimaryThatAnyEntryHearsIsNotReplaced)
{
    startService();
    silent.insert("b0");
    for (std::uint64_t round = 1; round <= 30; ++round) {
        EntryReport report;
        report.run = 1;
        report.sequence = round;
        report.primaries.push_back({ ServiceId { "s" }, BackendId { "b0" }, true, false });
        supervisor.onReport(now, VmId { "e" }, report);
        pass(100ms);
    }
    CHECK(promotions.empty());
}

TEST(Supervisor, APrimaryThatLeavesIsReplacedWhileItStillServes)
{
    startService();
    beat("b0", 2, 1, true);
    pass(400ms);
    CHECK_EQUAL(1U, promotions.size());
    CHECK(promotions.front().backend.value != "b0");
}

TEST(Supervisor, WhereWritesWaitForAReplicaAllArePausedAndMustAnswer)
{
    put(1, 1);
    for (const char *name : { "b0", "b1", "b2" }) {
        beat(name, 1);
    }
    pass(300ms);
    silent = { "b0", "b2" };
    pass(2s);
    CHECK(promotions.empty()); // The acknowledged write may be on the silent one.
    CHECK(std::find(probed.begin(), probed.end(), ProbeKind::Pause) != probed.end());
    silent = { "b0" };
    pass(1s);
    CHECK_EQUAL(1U, promotions.size());
}

TEST(Supervisor, ALeaderThatYieldsAnswersWhatWaits)
{
    commits = false;
    const std::uint64_t request = put(3);
    supervisor.onLeadership(now, false, 2, {});
    act();
    CHECK(answers.at(request).status == ControlStatus::Unavailable);
}

TEST(Supervisor, ManyChangesInARowCostAnEntryOnlyTheNewest)
{
    startService();
    EntryReport report;
    report.run = 1;
    report.sequence = 1;
    supervisor.onReport(now, VmId { "e" }, report);
    act();
    updates.clear();
    for (std::uint64_t version = 2; version <= 41; ++version) {
        put(version);
        pass(50ms);
    }
    std::size_t sent = 0;
    for (const EntryUpdate &update : updates) {
        sent += update.configuration.has_value() ? 1 : 0;
    }
    CHECK(sent <= 3); // One is on its way; it is sent again after a second without confirmation.
    report.sequence = 2;
    report.configVersion = 1;
    supervisor.onReport(now += 2s, VmId { "e" }, report);
    act();
    CHECK_EQUAL(41U, updates.back().configuration->version);
}

TEST(Supervisor, ASnapshotHoldsTheWholeState)
{
    startService();
    ask(BackendLeave { BackendId { "b2" }, 0 });
    const Expected<SupervisionState> copy = SupervisionState::decode(supervisor.snapshot());
    CHECK(copy.has_value());
    CHECK_EQUAL(supervisor.snapshot(), copy->encode());
    CHECK(!SupervisionState::decode("damaged").has_value());
}
