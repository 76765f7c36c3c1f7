// Homes of the servers of a service whose commits wait for a replica.
#include "daisyrelay/supervision.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(SharedHomes)
{
    Instant now { 100s };
    EntryRegistry registry { SupervisionTiming {} };
    SupervisionState state;
    std::uint64_t index = 0;
    std::uint64_t sequence = 0;
    std::uint64_t homesVersion = 0; ///< That all entries have.
    std::map<std::string, std::map<BackendId, std::uint32_t>> held;
    std::set<std::string> entries;

    void configure(std::uint64_t version, std::uint32_t syncReplicas, std::uint32_t maxConnections = 16)
    {
        RouteConfiguration configuration;
        configuration.version = version;
        configuration.services.push_back({ ServiceId { "s" }, maxConnections, syncReplicas });
        state.apply(++index, PutConfiguration { configuration, "" });
    }

    void addServer(const std::string &name)
    {
        const ZoneId zone { "z" + name.substr(1) };
        state.apply(++index,
            RecordBackend {
                { BackendId { name }, 1, ServiceId { "s" }, "10.0.0." + name.substr(1), 80, zone, 2, false, false } });
    }

    void addEntries(int count)
    {
        for (int at = 0; at < count; ++at) {
            entries.insert("e" + std::to_string(at));
        }
    }

    void setup() override
    {
        configure(1, 1);
        for (const char *name : { "b0", "b1", "b2" }) {
            addServer(name);
        }
        registry.reset(now);
    }

    /// Lets all entries report and apply their quotas for a while. The sum of what they hold must not exceed the limit.
    void advance(Duration duration)
    {
        for (const Instant end = now + duration; now < end; now += 250ms) {
            for (const std::string &name : entries) {
                EntryReport report;
                report.runId = 1;
                report.sequence = ++sequence;
                report.homesVersion = homesVersion;
                report.zone = ZoneId { "z" + std::to_string((name.back() - '0') % 3) };
                for (const auto &[backend, connections] : held[name]) {
                    report.heldQuotas.push_back({ backend, connections });
                }
                registry.recordReport(now, VmId { name }, report);
                for (const ConnectionQuota &quota : registry.grantQuotas(now, VmId { name }, state)) {
                    held[name][quota.backend] = quota.connections;
                }
            }
            registry.removeExpired(now);
            registry.assignHomes(now, state);
            homesVersion = std::max(homesVersion, registry.homesVersion());
            checkSums();
        }
    }

    void checkSums()
    {
        std::map<BackendId, std::uint32_t> sums;
        for (const auto &[name, quotas] : held) {
            for (const auto &[backend, connections] : quotas) {
                sums[backend] += connections;
            }
        }
        for (const auto &[backend, sum] : sums) {
            CHECK(sum <= 16 - ReservedConnections);
        }
    }

    /// Returns the homes of all servers, which must be the same, or none if the servers have none.
    std::vector<VmId> sharedHomes()
    {
        std::vector<VmId> homes;
        for (const BackendHomes &backend : registry.homesSince(0).homes) {
            if (homes.empty()) {
                homes = backend.entries;
            }
            CHECK(homes == backend.entries);
        }
        return homes;
    }

    /// Checks that each home holds half of the connections to every server.
    void checkQuotas(const std::vector<VmId> &homes)
    {
        for (const VmId &home : homes) {
            for (const auto &[backend, record] : state.backends()) {
                CHECK_EQUAL(7U, held[home.value][backend]);
            }
        }
    }
};

// An entry that has no connection to a replica cannot obtain a receipt for its commits.
TEST(SharedHomes, HomesOfAPrimaryHoldConnectionsToItsReplicas)
{
    addEntries(8);
    advance(6s);
    const std::vector<VmId> homes = sharedHomes();
    CHECK_EQUAL(HomesPerBackend, homes.size());
    checkQuotas(homes);
}

// The loss of a zone leaves one home with connections to all servers.
TEST(SharedHomes, HomesLieInDifferentZones)
{
    addEntries(8);
    advance(6s);
    const std::vector<VmId> homes = sharedHomes();
    CHECK((homes.front().value.back() - '0') % 3 != (homes.back().value.back() - '0') % 3);
}

TEST(SharedHomes, LostHomeIsReplacedForAllServers)
{
    addEntries(8);
    advance(6s);
    const std::vector<VmId> before = sharedHomes();
    entries.erase(before.front().value);
    advance(2s);
    const std::vector<VmId> after = sharedHomes();
    CHECK_EQUAL(HomesPerBackend, after.size());
    CHECK(std::find(after.begin(), after.end(), before.back()) != after.end());
    CHECK(std::find(after.begin(), after.end(), before.front()) == after.end());
    held.erase(before.front().value); // Its connections have ended with the process.
    advance(8s);
    checkQuotas(sharedHomes());
}

TEST(SharedHomes, NewServerGetsTheHomesOfTheOthers)
{
    addEntries(8);
    advance(6s);
    const std::vector<VmId> before = sharedHomes();
    addServer("b3");
    advance(2s);
    CHECK_EQUAL(4U, registry.homesSince(0).homes.size());
    CHECK(sharedHomes() == before);
    checkQuotas(before);
}

// The eighth entry makes connections scarce; without it, every entry holds some again.
TEST(SharedHomes, HomesComeAndGoWithTheEighthEntry)
{
    addEntries(7);
    advance(6s);
    CHECK(sharedHomes().empty());
    addEntries(8);
    advance(4s);
    checkQuotas(sharedHomes());
    CHECK_EQUAL(HomesPerBackend, sharedHomes().size());
    entries.erase("e7");
    held.erase("e7");
    advance(9s);
    CHECK(sharedHomes().empty());
    for (const std::string &name : entries) {
        CHECK(held[name][BackendId { "b0" }] >= MinDirectConnections);
    }
}

TEST(SharedHomes, HomesAreSharedOnceCommitsWaitForAReplica)
{
    configure(2, 0);
    addEntries(8);
    advance(6s);
    configure(3, 1);
    advance(4s);
    checkQuotas(sharedHomes());
    CHECK_EQUAL(HomesPerBackend, sharedHomes().size());
}

// Half of a single connection would be none, and nothing would be served.
TEST(SharedHomes, SingleConnectionBelongsToOneHome)
{
    configure(2, 1, 3);
    addEntries(8);
    advance(6s);
    const std::vector<VmId> homes = sharedHomes();
    CHECK_EQUAL(1U, homes.size());
    for (const auto &[backend, record] : state.backends()) {
        CHECK_EQUAL(1U, held[homes.front().value][backend]);
    }
}

// Entries that report to a new leader keep the homes that they have.
TEST(SharedHomes, NewLeaderKeepsThem)
{
    addEntries(8);
    advance(6s);
    const std::vector<VmId> before = sharedHomes();
    registry.reset(now, 2);
    advance(4s);
    const std::vector<VmId> after = sharedHomes();
    CHECK((std::set<VmId>(before.begin(), before.end()) == std::set<VmId>(after.begin(), after.end())));
}
