// Bursts of load through entries and homes while all servers are up. Guards against congestion collapse: statements
// that are given up and sent again while their first attempt still runs.
#include "burstcluster.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <limits>

using namespace daisyrelay;
using namespace std::chrono_literals;

/// 70% of what the three servers of five slots can run at 25 ms a statement.
static constexpr double UsualLoad = 420;
/// Statements that the servers can run in the two seconds of a burst.
static constexpr int Capacity = 1200;

TEST_GROUP(Burst)
{
    using Tally = BurstCluster::Tally;

    BurstCluster cluster { 10, 7 };

    void report(const std::string &name, const BurstCluster::Tallies &tallies)
    {
        std::printf("%s\n", BurstCluster::describe(name, tallies).c_str());
    }

    /// Sends a burst of \p factor times the usual load for two seconds.
    void checkBurst(double factor)
    {
        const BurstCluster::Tallies before = *cluster.load(UsualLoad, 2s, true);
        const std::shared_ptr<const BurstCluster::Tallies> tallies = cluster.load(UsualLoad * factor, 2s);
        // Operations that are served on a later attempt, after the burst, do not count as served during the burst.
        const int servedInBurst = BurstCluster::sum(*tallies, &Tally::onTime);
        cluster.load(UsualLoad, 1s); // Service may take a second to become normal.
        const BurstCluster::Tallies after = *cluster.load(UsualLoad, 2s, true);
        const BurstCluster::Tallies burst = *tallies;
        std::printf("served within target during the burst: %d\n", servedInBurst);
        report("before", before);
        report("burst x" + std::to_string(factor), burst);
        report("after", after);
        CHECK(BurstCluster::sum(before, &Tally::onTime) >= 0.97 * BurstCluster::sum(before, &Tally::sent));
        CHECK(servedInBurst >= 0.9 * Capacity);
        CHECK(burst[0].onTime >= 0.95 * burst[0].sent);
        CHECK(BurstCluster::sum(burst, &Tally::slowRefusals) <= 0.02 * BurstCluster::sum(burst, &Tally::refused));
        CHECK(BurstCluster::sum(after, &Tally::onTime) >= 0.97 * BurstCluster::sum(after, &Tally::sent));
        checkWrites();
    }

    void checkWrites()
    {
        for (const auto &[id, count] : cluster.runCounts) {
            CHECK_EQUAL(1, count);
        }
    }

    void changeLoads(const std::function<void(const VmId &home, HomeLoad &load)> &change)
    {
        cluster.intercept = [change](const VmId &from, SendToEntry &message) -> std::optional<Duration> {
            if (auto *response = std::get_if<ForwardedStatementResponse>(&message.message); response != nullptr) {
                change(from, response->load);
            }
            return Duration::zero();
        };
    }
};

TEST(Burst, TwiceTheUsualLoad)
{
    checkBurst(2);
}

TEST(Burst, TwoAndAHalfTimesTheUsualLoad)
{
    checkBurst(2.5);
}

TEST(Burst, FourTimesTheUsualLoad)
{
    checkBurst(4);
}

TEST(Burst, TwoAndAHalfTimesWithoutReportsOfHomes)
{
    changeLoads([](const VmId &, HomeLoad &load) { load = {}; });
    checkBurst(2.5);
}

TEST(Burst, TwoAndAHalfTimesWithReportsThatAre300MillisecondsOld)
{
    std::map<VmId, std::deque<std::pair<Instant, HomeLoad>>> history;
    changeLoads([&](const VmId &home, HomeLoad &load) {
        std::deque<std::pair<Instant, HomeLoad>> &reports = history[home];
        reports.emplace_back(cluster.now, load);
        while (reports.size() > 1 && reports[1].first <= cluster.now - 300ms) {
            reports.pop_front();
        }
        load.waitMs = reports.front().second.waitMs;
    });
    checkBurst(2.5);
}

TEST(Burst, TwoAndAHalfTimesWithInvalidReports)
{
    int count = 0;
    changeLoads([&](const VmId &, HomeLoad &load) {
        load.waitMs.fill(++count % 2 == 0 ? -1 : std::numeric_limits<std::int32_t>::max());
    });
    checkBurst(2.5);
    CHECK(cluster.metric("home_loads_ignored_total{reason=\"invalid\"}") > 1000);
}

TEST(Burst, TwoAndAHalfTimesWithCallersThatLeave)
{
    // Half of the callers leave after 40 ms. Guards against servers that work for them while others wait.
    cluster.leavingFraction = 0.5;
    const BurstCluster::Tallies burst = *cluster.load(UsualLoad * 2.5, 2s, true);
    report("burst with leaving callers", burst);
    std::printf("statements started after their callers had left: %d\n", cluster.startedAfterLeaving);
    CHECK(BurstCluster::sum(burst, &Tally::onTime) >= 600); // Half of the capacity.
    CHECK(cluster.startedAfterLeaving <= 10);
    checkWrites();
}

TEST(Burst, HomeFailsWithAFullQueue)
{
    // Twice the usual load. The home of a replica fails without closing its connections.
    cluster.load(UsualLoad * 2, 500ms);
    cluster.kill(VmId { "h1a" });
    cluster.load(UsualLoad * 2, 500ms);
    const BurstCluster::Tallies after = *cluster.load(UsualLoad, 2s, true);
    report("after a home failed", after);
    CHECK(BurstCluster::sum(after, &Tally::onTime) >= 0.95 * BurstCluster::sum(after, &Tally::sent));
    CHECK_EQUAL(0, cluster.metric("homes_lost_total{reason=\"home-disconnected\"}"));
    CHECK(cluster.metric("homes_lost_total{reason=\"home-silent\"}") >= 10);
    checkWrites();
}

TEST(Burst, ServerThatIsGoneIsTriedRarely)
{
    // The usual load. Guards against statements that are sent to the server again and again.
    cluster.load(UsualLoad, 1s);
    cluster.servers["b1"].isDead = true;
    cluster.load(UsualLoad, 500ms);
    const std::uint64_t attempts = cluster.servers["b1"].attempts;
    const BurstCluster::Tallies after = *cluster.load(UsualLoad, 2s, true);
    report("without a replica", after);
    std::printf(
        "attempts at the server that is gone: %d\n", static_cast<int>(cluster.servers["b1"].attempts - attempts));
    CHECK(cluster.servers["b1"].attempts - attempts < 60);
    CHECK(BurstCluster::sum(after, &Tally::onTime) >= 0.9 * 0.66 * Capacity);
    checkWrites();
}

TEST(Burst, LostMessagesAreNoticedWhileTheHomeResponds)
{
    // The usual load; one in fifty statements and responses between entries is lost. Guards against statements that
    // wait for their timeout because their home is alive.
    int count = 0;
    cluster.intercept = [&](const VmId &, SendToEntry &message) -> std::optional<Duration> {
        const bool isStatement = std::holds_alternative<ForwardedStatement>(message.message)
            || std::holds_alternative<ForwardedStatementResponse>(message.message);
        return isStatement && ++count % 50 == 0 ? std::nullopt : std::optional(Duration::zero());
    };
    const BurstCluster::Tallies tallies = *cluster.load(UsualLoad, 2s, true);
    report("with lost messages", tallies);
    const int answered = BurstCluster::sum(tallies, &Tally::onTime) + BurstCluster::sum(tallies, &Tally::late);
    CHECK(answered >= 0.98 * BurstCluster::sum(tallies, &Tally::sent));
    CHECK_EQUAL(0, cluster.metric("homes_lost_total{reason=\"home-silent\"}"));
    checkWrites();
}
