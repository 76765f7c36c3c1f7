// Tests of the activation of format versions: no VM may have to follow a log, or hold a lease by rules, that its build
// does not know.
#include "supervisorfixture.h"

using namespace daisyrelay;

TEST_GROUP(FormatActivation)
{
    Instant now { 100s };
    EventLog log { [](std::string_view) {} };
    Metrics metrics;
    SupervisionState state;
    FormatActivation activation { log, metrics, {} };
    std::vector<VmId> controlVms { VmId { "c1" }, VmId { "c2" } };
    std::set<VmId> entries { VmId { "e1" } };
    std::uint64_t index = 10;

    void announce(const char *vm, std::optional<FormatRange> range = FormatRange {})
    {
        activation.recordPeer(VmId { vm }, range);
    }

    void announceAll()
    {
        for (const char *vm : { "c1", "c2", "e1" }) {
            announce(vm);
        }
    }

    /// Makes the state one that an earlier build has left.
    void recordConfiguration()
    {
        PutConfiguration change;
        change.configuration.version = 1;
        state.apply(index++, change);
    }

    std::vector<SupervisionCommand> runFor(Duration duration)
    {
        std::vector<SupervisionCommand> commands;
        for (const Instant end = now + duration; now < end; now += 20ms) {
            if (activation.isDue(now)) {
                for (SupervisionCommand &command : activation.tick(now, state, controlVms, entries)) {
                    state.apply(index++, command);
                    commands.push_back(std::move(command));
                }
            }
        }
        return commands;
    }
};

TEST(FormatActivation, NewSystemIsActivatedAtOnce)
{
    activation.reset(now, true);
    announceAll();
    CHECK_EQUAL(1U, runFor(40ms).size());
    CHECK_EQUAL(CurrentFormat, state.activeFormat());
    CHECK(state.areLeaseHoldersComplete());
}

TEST(FormatActivation, ReplacedSystemIsActivatedOnceAllHaveSupportedItForSomeTime)
{
    recordConfiguration();
    activation.reset(now, false);
    announceAll();
    CHECK(runFor(19s).empty());
    CHECK(!runFor(2s).empty());
    CHECK_EQUAL(CurrentFormat, state.activeFormat());
}

TEST(FormatActivation, AnyVmOfAnEarlierBuildHoldsTheVersionBack)
{
    recordConfiguration();
    for (const char *earlier : { "c2", "e1" }) {
        activation.reset(now, false);
        announceAll();
        announce(earlier, std::nullopt);
        CHECK(runFor(60s).empty());
    }
}

TEST(FormatActivation, RegisteredEntryThatIsSilentHoldsTheVersionBack)
{
    state.apply(index++, RegisterLeaseHolder { VmId { "e2" }, ZoneId { "z" } });
    activation.reset(now, false);
    announceAll();
    CHECK(runFor(60s).empty());
}

TEST(FormatActivation, ReturnToTheEarlierBuildStartsTheTimeAnew)
{
    recordConfiguration();
    activation.reset(now, false);
    announceAll();
    CHECK(runFor(15s).empty());
    announce("c2", std::nullopt);
    CHECK(runFor(1s).empty());
    announce("c2");
    CHECK(runFor(15s).empty());
}

// Guards against two primaries: entries may hold leases of a former leader that registered none of them.
TEST(FormatActivation, LeaseHoldersAreCompleteOnlyOnceEarlierLeasesHaveExpired)
{
    recordConfiguration();
    activation.reset(now, false);
    announceAll();
    while (state.activeFormat() == 0) {
        (void)runFor(20ms);
    }
    state.apply(index++, RegisterLeaseHolder { VmId { "e1" }, ZoneId { "z" } });
    CHECK(!state.areLeaseHoldersComplete());
    (void)runFor(3s);
    CHECK(!state.areLeaseHoldersComplete());
    (void)runFor(1s);
    CHECK(state.areLeaseHoldersComplete());
}

TEST(FormatActivation, VersionNeverFalls)
{
    state.apply(index++, ActivateFormat { CurrentFormat });
    state.apply(index++, ActivateFormat { 1 });
    CHECK_EQUAL(CurrentFormat, state.activeFormat());
    const Expected<SupervisionState> restored = SupervisionState::decode(state.encode());
    CHECK_EQUAL(CurrentFormat, restored->activeFormat());
}

TEST(FormatActivation, VmOfAnEarlierBuildTakesNoPartAfterTheActivation)
{
    announce("c1");
    CHECK(activation.supportsActive(VmId { "c2" }, state));
    state.apply(index++, ActivateFormat { CurrentFormat });
    CHECK(activation.supportsActive(VmId { "c1" }, state));
    CHECK(!activation.supportsActive(VmId { "c2" }, state));
    announce("c1", std::nullopt);
    CHECK(!activation.supportsActive(VmId { "c1" }, state));
}

TEST_GROUP_BASE(FormatSupervisor, SupervisorFixture) {};

// Guards against a control VM that continues with a state of its own after a command that it has ignored.
TEST(FormatSupervisor, UnreadableCommandStopsTheStateMachine)
{
    CHECK(supervisor.onCommitted(now, { 1, 1, std::string("\x7f", 1), LogEntryKind::Command }).error().kind
        == ErrorKind::StorageCorrupt);
    PutConfiguration change;
    change.configuration.version = 1;
    const std::string readable = encodeSupervisionCommand(change);
    CHECK(!supervisor.onCommitted(now, { 1, 2, readable, LogEntryKind::Command }).has_value());
    CHECK_EQUAL(0U, supervisor.state().configuration().version);
}
