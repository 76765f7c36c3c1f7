// Bytes, messages, connections and convergence of control and its entries at several sizes. The bounds come from the
// target: 13 KB a second for control on each VM, a configuration in force within 13 s.
#include "controlsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Scale)
{
    static constexpr std::uint64_t MaxBytesPerSecond = 13000;
    static constexpr Duration StartupTime = 8s;

    /// Fails if any entry has used more than the target allows in the last \p duration.
    static void checkUsage(const ControlSimulation &simulation, Duration duration)
    {
        const auto seconds = static_cast<std::uint64_t>(duration / 1s);
        for (const LinkUsage &usage : simulation.entryUsage) {
            CHECK(usage.bytes <= MaxBytesPerSecond * seconds);
        }
    }

    static void checkSteadyState(const ControlSize &size)
    {
        ControlSimulation simulation(size);
        simulation.run(StartupTime);
        CHECK_EQUAL(size.entries, simulation.entriesWithTopology());
        CHECK_EQUAL(size.entries, simulation.readyEntries());
        simulation.run(5s, 5);
        simulation.resetCounts();
        simulation.run(5s, 5);
        checkUsage(simulation, 5s);
        CHECK(simulation.statementsOk > 0);
        CHECK_EQUAL(0U, simulation.statementsFailed);
        CHECK_EQUAL(0U, simulation.connectionsRefused);
    }
};

TEST(Scale, HundredVmsStayWithinTheBytesOfTheTarget)
{
    checkSteadyState({ 95, 333 });
}

TEST(Scale, ConfigurationReachesAllEntriesInTime)
{
    ControlSimulation simulation({ 95, 120 });
    simulation.run(StartupTime);
    simulation.putConfiguration(2, 900ms);
    simulation.run(5s);
    CHECK_EQUAL(95U, simulation.entriesWithConfiguration(2));
}

TEST(Scale, RestartOfAllEntriesCausesNoConnectionsBeyondTheLimits)
{
    ControlSimulation simulation({ 40, 120 });
    simulation.run(StartupTime, 5);
    for (std::size_t index = 0; index < 40; ++index) {
        simulation.restartEntry(index);
    }
    simulation.run(StartupTime, 5);
    CHECK_EQUAL(40U, simulation.readyEntries());
    CHECK_EQUAL(40U, simulation.entriesWithTopology());
    CHECK_EQUAL(0U, simulation.connectionsRefused);
}

TEST(Scale, NewLeaderMovesFewHomes)
{
    constexpr std::size_t Servers = 360;
    ControlSimulation simulation({ 40, Servers / 3 });
    simulation.run(StartupTime, 5);
    simulation.resetCounts();
    simulation.run(StartupTime, 5);
    const std::uint64_t usual = simulation.connectionsOpened;
    simulation.resetCounts();
    simulation.changeLeader();
    simulation.run(StartupTime, 5);
    CHECK_EQUAL(40U, simulation.entriesWithTopology());
    CHECK_EQUAL(0U, simulation.statementsFailed);
    // Moving a home opens a connection at its new place. Of the two homes of each server, few move.
    CHECK(simulation.connectionsOpened < usual + Servers / 4);
}
