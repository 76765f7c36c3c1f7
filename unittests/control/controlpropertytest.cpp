#include "fakesystem.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Groups = 2;
constexpr int Entries = 5;

/// Injects or repairs one random fault.
void injectFault(FakeSystem &system)
{
    const auto randomBelow
        = [&system](int limit) { return static_cast<int>(system.random() % static_cast<std::uint32_t>(limit)); };
    auto database = std::next(system.databases.begin(), randomBelow(static_cast<int>(system.databases.size())));
    const GroupTerm *term = system.termOf(1 + randomBelow(Groups));
    if (term != nullptr && !term->primary.empty() && randomBelow(2) == 0) {
        database = system.databases.find(term->primary);
    }
    auto entry = std::next(system.entries.begin(), randomBelow(static_cast<int>(system.entries.size())));
    switch (randomBelow(14)) {
    case 0:
        system.changeLeader(-1);
        break;
    case 1:
        system.changeLeader(randomBelow(static_cast<int>(system.cores.size())));
        break;
    case 2:
        system.restartControl(randomBelow(static_cast<int>(system.cores.size())));
        break;
    case 3:
        entry->second.isIsolated = !entry->second.isIsolated;
        break;
    case 4:
        entry->second.pausedUntil = system.now + milliseconds(100 + randomBelow(3000));
        break;
    case 5:
        database->second.health = static_cast<FakeHealth>(randomBelow(4));
        break;
    case 6:
        entry->second.views = { { database->first, false, 1000 } };
        break;
    case 7:
        entry->second.views.clear();
        break;
    case 8:
        system.maxDelayMs = 1 + randomBelow(600);
        system.lossPercent = randomBelow(30);
        break;
    case 9:
        database->second.announcement.isLeaving = !database->second.announcement.isLeaving;
        break;
    case 10:
        if (system.entries.size() < Entries + 3) {
            system.addEntry();
        }
        break;
    default:
        for (auto &[id, each] : system.databases) {
            each.health = FakeHealth::Healthy;
        }
        system.maxDelayMs = 5;
        system.lossPercent = 0;
        if (system.leader < 0) {
            system.changeLeader(randomBelow(static_cast<int>(system.cores.size())));
        }
    }
}

/// Runs a system with random faults and calls \p check after each step.
template <typename Check>
void runWithFaults(std::uint32_t seed, const Check &check)
{
    FakeSystem system(seed, 3, Entries);
    for (int group = 1; group <= Groups; ++group) {
        for (int zone = 0; zone < 3; ++zone) {
            system.addDatabase(group, zone, zone == 0 ? 8 : 16);
        }
    }
    system.run(milliseconds(2500));
    for (int round = 0; round < 14; ++round) {
        injectFault(system);
        for (int step = 0; step < 30; ++step) {
            system.run(milliseconds(10));
            for (int group = 1; group <= Groups; ++group) {
                system.write(group);
            }
            check(system);
        }
    }
}

/// Checks the conditions that must hold at every step of a run.
class Invariants
{
public:
    void check(const FakeSystem &system)
    {
        for (int group = 1; group <= Groups; ++group) {
            checkTerms(system, group);
            checkWrites(system, group);
        }
        for (const auto &[id, database] : system.databases) {
            const std::uint32_t used = system.connectionsUsed(id);
            RC_ASSERT(used <= database.announcement.connections);
            maxUsed = std::max(maxUsed, used);
        }
    }

    std::size_t observed = 0; ///< Number of checks of a group that found an acknowledging term.
    std::size_t writes = 0; ///< Maximum number of acknowledged writes of a group.
    std::size_t terms = 0; ///< Maximum number of term starts of a group.
    std::uint32_t maxUsed = 0; ///< Maximum number of connections to a database.

    std::map<int, Term> highest; ///< Highest acknowledging term of each group in this run.

private:
    void checkTerms(const FakeSystem &system, int group)
    {
        const std::set<Term> acknowledging = system.acknowledgingTerms(group);
        RC_ASSERT(acknowledging.size() <= 1);
        RC_ASSERT((acknowledging.empty() || *acknowledging.begin() >= highest[group]));
        highest[group] = acknowledging.empty() ? highest[group] : *acknowledging.begin();
        observed += acknowledging.size();
    }

    void checkWrites(const FakeSystem &system, int group)
    {
        const auto acknowledged = system.acknowledged.find(FakeSystem::groupKey(group));
        const GroupTerm *term = system.termOf(group);
        if (acknowledged == system.acknowledged.end() || term == nullptr) {
            return;
        }
        for (const LogPoint &point : acknowledged->second) {
            RC_ASSERT((term->starts.size() >= MaxTermStarts || !term->isLost(point)));
        }
        writes = std::max(writes, acknowledged->second.size());
        terms = std::max(terms, term->starts.size());
    }
};

} // namespace

TEST_GROUP(ControlProperties) {};

TEST(ControlProperties, FaultsPreserveSingleTermAcknowledgedWritesAndConnectionLimits)
{
    Invariants invariants;
    CHECK(rc::check([&invariants]() {
        invariants.highest.clear();
        runWithFaults(*rc::gen::arbitrary<std::uint32_t>(),
            [&invariants](const FakeSystem &system) { invariants.check(system); });
    }));
    CHECK(invariants.observed > 10000);
    CHECK(invariants.writes > 100);
    CHECK(invariants.terms > 2);
    CHECK_EQUAL(16, invariants.maxUsed); // All connections of a database are used at some point.
}
