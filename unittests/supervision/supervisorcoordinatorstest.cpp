// Tests of the supervisor as the leader that appoints the coordinators of rate limits.
#include "supervisorfixture.h"

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP_BASE(SupervisorCoordinators, SupervisorFixture) {};

// Only a response may grant slots, since the entry counts the lease from its report.
TEST(SupervisorCoordinators, ResponsesAssignCoordinatorSlotsWhileRateLimitsExist)
{
    const auto report = [this](std::uint64_t sequence) {
        updates.clear();
        supervisor.onReport(now, VmId { "e" }, EntryReport { .runId = 1, .sequence = sequence, .configVersion = 1 });
        performActions();
        return updates.back().coordinators;
    };
    startService();
    advance(3s);
    CHECK(report(1).table.empty());
    PutConfiguration change;
    change.configuration.version = 2;
    change.configuration.workspaces.push_back({ WorkspaceId { "w" }, { "key" }, 0, 10, 5 });
    sendRequest(change);
    advance(50ms);
    CHECK(updates.size() > 1 && updates.back().coordinators.granted.empty());
    const CoordinatorUpdate update = report(2);
    CHECK_EQUAL(CoordinatorSlotCount, update.granted.size());
    CHECK_EQUAL(1U, update.table.size());
    CHECK_EQUAL(CoordinatorSlotCount, metrics.value("coordinator_changes_total{reason=\"assigned\"}"));
}

// Guards against a coordinator that keeps granting at a former, higher limit because new configurations do not reach
// it.
TEST(SupervisorCoordinators, EntryWithOutdatedLimitsLosesItsCoordinatorLease)
{
    const auto grantedTo = [this](std::uint64_t sequence, std::uint64_t configVersion) {
        updates.clear();
        EntryReport report { .runId = 1, .sequence = sequence };
        report.configVersion = configVersion;
        supervisor.onReport(now, VmId { "e" }, report);
        performActions();
        return updates.back().coordinators.granted.size();
    };
    startService();
    advance(3s);
    PutConfiguration change;
    change.configuration.version = 2;
    change.configuration.workspaces.push_back({ WorkspaceId { "w" }, { "key" }, 0, 10, 5 });
    sendRequest(change);
    CHECK(grantedTo(1, 2) > 0);
    change.configuration.version = 3;
    change.configuration.workspaces.front().operationsPerSecond = 5;
    sendRequest(change);
    CHECK(grantedTo(2, 2) > 0); // The new configuration is on its way.
    advance(2900ms); // The lease of 1.5 s would otherwise outlast the 4 s in which limits take effect.
    const std::size_t grantedWhenOutdated = grantedTo(3, 2);
    CHECK_EQUAL(0U, grantedWhenOutdated);
    CHECK(grantedTo(4, 3) > 0);
}
