#include "fakesystem.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Databases = 3;
constexpr int Group = 1;

/// A system whose processes start in a random order: databases become known to each control VM at different times, and
/// the first leader is elected while they do.
class StartingSystem
{
public:
    /// The first database starts within one second, the others up to one second after \p lateBy.
    StartingSystem(std::uint32_t seed, Duration lateBy) : system_(seed, 3, 5)
    {
        system_.changeLeader(-1);
        electAt_ = system_.now + milliseconds(randomBelow(800));
        for (int zone = 0; zone < Databases; ++zone) {
            FakeDatabase &database = system_.databases.at(system_.addDatabase(Group, zone));
            database.health = FakeHealth::Crashed;
            const Instant startedAt
                = system_.now + milliseconds(randomBelow(1000)) + (zone == 0 ? Duration::zero() : lateBy);
            startAt_.emplace(database.announcement.id, startedAt);
            // Announcements reach other VMs only once the membership protocol has found them.
            for (std::size_t i = 0; i < system_.cores.size(); ++i) {
                database.heardFrom.push_back(startedAt + milliseconds(randomBelow(1500)));
            }
        }
    }

    /// Runs until an entry may acknowledge writes.
    void runUntilPrimary()
    {
        runUntil([this]() { return !system_.acknowledgingTerms(Group).empty(); });
    }

    /// Runs until a write is on two databases, as a caller with durability "replicated" requires.
    void runUntilAcknowledgedWrite()
    {
        runUntil([this]() { return system_.write(Group); });
    }

    void run(Duration duration)
    {
        const Instant end = system_.now + duration;
        while (system_.now < end) {
            step();
            system_.write(Group);
        }
    }

    BackendId killPrimary()
    {
        const BackendId primary = system_.termOf(Group)->primary;
        if (!primary.empty()) {
            startAt_.erase(primary);
            system_.databases.at(primary).health = FakeHealth::Crashed;
        }
        return primary;
    }

    void scheduleElection(Duration delay)
    {
        system_.changeLeader(-1);
        electAt_ = system_.now + delay;
    }

    int randomBelow(int limit)
    {
        return static_cast<int>(system_.random() % static_cast<std::uint32_t>(limit));
    }

    FakeSystem &system()
    {
        return system_;
    }

private:
    template <typename Condition>
    void runUntil(const Condition &condition)
    {
        const Instant end = system_.now + seconds(20);
        bool isMet = condition();
        while (!isMet && system_.now < end) {
            step();
            isMet = condition();
        }
        CHECK(isMet);
    }

    void step()
    {
        for (const auto &[id, startedAt] : startAt_) {
            if (system_.now >= startedAt) {
                system_.databases.at(id).health = FakeHealth::Healthy;
            }
        }
        if (electAt_ != Instant {} && system_.now >= electAt_) {
            electAt_ = {};
            system_.changeLeader(randomBelow(static_cast<int>(system_.cores.size())));
        }
        system_.run(milliseconds(10));
    }

    FakeSystem system_;
    std::map<BackendId, Instant> startAt_;
    Instant electAt_ {};
};

/// Kills the primary after \p delay. \returns whether another primary followed and no acknowledged write was lost.
bool isPrimaryReplaced(StartingSystem &starting, Duration delay)
{
    FakeSystem &system = starting.system();
    starting.run(delay);
    const Term term = system.termOf(Group)->term;
    const BackendId old = starting.killPrimary();
    if (starting.randomBelow(2) == 0) {
        starting.scheduleElection(milliseconds(starting.randomBelow(1000)));
    }
    starting.run(seconds(8));
    const GroupTerm &current = *system.termOf(Group);
    for (const LogPoint &point : system.acknowledged[FakeSystem::groupKey(Group)]) {
        CHECK(current.starts.size() >= MaxTermStarts || !current.isLost(point));
    }
    return current.term > term && !current.primary.empty() && current.primary != old;
}

constexpr std::uint32_t Seeds = 20;
constexpr int MaxKillDelayMs = 3000;
constexpr int KillDelayStepMs = 500;

/// \returns the runs in which a killed primary was not replaced, as text.
template <typename Start>
std::string findUnreplacedPrimaries(Duration lateBy, const Start &start)
{
    std::string failures;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        for (int delayMs = 0; delayMs <= MaxKillDelayMs; delayMs += KillDelayStepMs) {
            StartingSystem starting(seed, lateBy);
            start(starting);
            if (!isPrimaryReplaced(starting, milliseconds(delayMs))) {
                failures += "seed " + std::to_string(seed) + " after " + std::to_string(delayMs) + " ms; ";
            }
        }
    }
    return failures;
}

} // namespace

TEST_GROUP(GroupFormationRegressions) {};

// Guards against a group that forms with the one database that announced itself first: no other database may be
// promoted while that one alone counts as a member, although the replicas are up.
TEST(GroupFormationRegressions, PrimaryKilledAtAnyTimeAfterTheStartIsReplaced)
{
    CHECK_EQUAL(std::string(),
        findUnreplacedPrimaries(Duration::zero(), [](StartingSystem &starting) { starting.runUntilPrimary(); }));
}

// Guards against acknowledging writes while a second database joins a group of one: the write would be on two
// databases, but the new one may not be promoted before it has joined.
TEST(GroupFormationRegressions, PrimaryKilledAfterFirstAcknowledgedWriteIsReplacedIfReplicasStartLate)
{
    CHECK_EQUAL(std::string(),
        findUnreplacedPrimaries(seconds(4), [](StartingSystem &starting) { starting.runUntilAcknowledgedWrite(); }));
}
