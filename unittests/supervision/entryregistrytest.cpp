// Tests of the division of connections among entries: order of reports, requests for more, expired entries.
#include "daisyrelay/supervision.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(EntryRegistry)
{
    Instant now { 100s };
    EntryRegistry registry { SupervisionTiming {} };
    SupervisionState state;
    std::uint64_t sequence = 0;

    void setup() override
    {
        RouteConfiguration configuration;
        configuration.version = 1;
        configuration.services.push_back({ ServiceId { "s" }, 16, 0 });
        state.apply(1, PutConfiguration { configuration, "" });
        state.apply(
            2, RecordBackend { { BackendId { "b" }, 1, ServiceId { "s" }, "10.0.0.1", 80, {}, 2, false, true } });
        registry.reset(now);
        now += 2s;
    }

    void sendReport(const std::string &entry, std::uint32_t held, std::uint32_t requestedCount)
    {
        EntryReport report;
        report.runId = 1;
        report.sequence = ++sequence;
        report.heldQuotas.push_back({ BackendId { "b" }, held });
        report.requestedQuotas.push_back({ BackendId { "b" }, requestedCount });
        registry.recordReport(now, VmId { entry }, report);
    }

    /// Returns the quota that is sent to the entry, or \p held if none is sent.
    std::uint32_t grant(const std::string &entry, std::uint32_t held)
    {
        const std::vector<ConnectionQuota> changes = registry.grantQuotas(now, VmId { entry }, state);
        return changes.empty() ? held : changes.front().connections;
    }
};

TEST(EntryRegistry, FirstRequesterLeavesOtherEntriesTheirShares)
{
    for (const char *entry : { "a", "b", "c", "d", "e", "f" }) {
        sendReport(entry, 0, 20);
    }
    std::uint32_t sum = 0;
    for (const char *entry : { "a", "b", "c", "d", "e", "f" }) {
        const std::uint32_t granted = grant(entry, 0);
        CHECK(granted >= 2);
        sum += granted;
    }
    CHECK(sum <= 16 - ReservedConnections);
}

TEST(EntryRegistry, LoweredQuotaCountsUntilEntryConfirmsRelease)
{
    sendReport("a", 14, 20);
    sendReport("b", 0, 5);
    CHECK_EQUAL(7U, grant("a", 14));
    CHECK_EQUAL(0U, grant("b", 0)); // Entry a may still use all connections.
    sendReport("a", 7, 20);
    CHECK_EQUAL(7U, grant("b", 0));
}

TEST(EntryRegistry, ConnectionsOfExpiredEntryAreReassigned)
{
    sendReport("a", 7, 0);
    sendReport("b", 7, 14);
    CHECK_EQUAL(7U, grant("b", 7));
    now += 11s;
    sendReport("b", 7, 14);
    registry.removeExpired(now);
    CHECK_EQUAL(14U, grant("b", 7));
}

TEST(EntryRegistry, NewLeaderGrantsOneConnectionAndLowersNoQuota)
{
    registry.reset(now);
    sendReport("a", 0, 14);
    CHECK_EQUAL(1U, grant("a", 0));
    sendReport("b", 5, 0);
    CHECK_EQUAL(5U, grant("b", 5));
}

// Guards against connections above the limit of a server after a change of leader: every entry got one before the
// homes, which held all of them, had reported to the new leader.
TEST(EntryRegistry, NewLeaderGrantsNothingWhileHomesOfTheFormerOneHoldAllConnections)
{
    registry.reset(now, 2);
    std::uint32_t granted = 0;
    for (int at = 0; at < 20; ++at) {
        const VmId entry { "e" + std::to_string(at) };
        EntryReport report;
        report.runId = 1;
        report.sequence = ++sequence;
        report.homesVersion = at == 19 ? 0 : 7; // The last entry has just started.
        registry.recordReport(now, entry, report);
        for (const ConnectionQuota &quota : registry.grantQuotas(now, entry, state)) {
            granted += quota.connections;
        }
    }
    CHECK_EQUAL(1U, granted);
}

TEST(EntryRegistry, ScarceConnectionsAreHeldByFewHomeEntries)
{
    RouteConfiguration configuration;
    configuration.version = 2;
    configuration.services.push_back({ ServiceId { "s" }, 25, 0 });
    state.apply(3, PutConfiguration { configuration, "" });
    for (int index = 0; index < 23; ++index) {
        const std::string id = "b" + std::to_string(index);
        state.apply(static_cast<std::uint64_t>(index) + 4,
            RecordBackend { { BackendId { id }, 1, ServiceId { "s" }, "10.0.1." + std::to_string(index), 80, {}, 2,
                false, false } });
    }
    registry.reset(now);
    constexpr int Entries = 79;
    std::map<std::string, std::map<BackendId, std::uint32_t>> held;
    for (int round = 0; round < 12; ++round) {
        now += 500ms;
        for (int index = 0; index < Entries; ++index) {
            const std::string name = "e" + std::to_string(index);
            EntryReport report;
            report.runId = 1;
            report.sequence = ++sequence;
            for (const auto &[backend, connections] : held[name]) {
                report.heldQuotas.push_back({ backend, connections });
            }
            registry.recordReport(now, VmId { name }, report);
            for (const ConnectionQuota &quota : registry.grantQuotas(now, VmId { name }, state)) {
                held[name][quota.backend] = quota.connections;
            }
        }
        registry.assignHomes(now, state);
    }
    CHECK_EQUAL(24U, registry.homesSince(0).homes.size());
    std::map<BackendId, std::uint32_t> sums;
    for (const auto &[name, quotas] : held) {
        for (const auto &[backend, connections] : quotas) {
            sums[backend] += connections;
        }
    }
    for (const BackendHomes &homes : registry.homesSince(0).homes) {
        CHECK_EQUAL(HomesPerBackend, homes.entries.size());
        CHECK(sums[homes.backend] <= 23);
        for (const VmId &home : homes.entries) {
            CHECK_EQUAL(11U, held[home.value][homes.backend]);
        }
    }
}

// When an added entry makes connections scarce, every entry holds some. The homes must not all go to the same few.
TEST(EntryRegistry, HomesAreSpreadWhenAllEntriesHoldConnections)
{
    constexpr int Servers = 20;
    constexpr int Entries = 20;
    for (int index = 0; index < Servers; ++index) {
        const std::string id = "x" + std::to_string(index);
        state.apply(static_cast<std::uint64_t>(index) + 4,
            RecordBackend { { BackendId { id }, 1, ServiceId { "s" }, "10.0.1." + std::to_string(index), 80, {}, 2,
                false, false } });
    }
    for (int entry = 0; entry < Entries; ++entry) {
        EntryReport report;
        report.runId = 1;
        report.sequence = ++sequence;
        for (int index = 0; index < Servers; ++index) {
            report.heldQuotas.push_back({ BackendId { "x" + std::to_string(index) }, 2 });
        }
        registry.recordReport(now, VmId { "e" + std::to_string(entry) }, report);
    }
    registry.assignHomes(now, state);
    std::map<VmId, std::size_t> counts;
    for (const BackendHomes &homes : registry.homesSince(0).homes) {
        for (const VmId &home : homes.entries) {
            CHECK(++counts[home] <= 3);
        }
    }
    CHECK(counts.size() >= Entries - 2);
}
