#include "daisyrelay/limits.h"
#include "poolmodel.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static constexpr Duration Ms = std::chrono::milliseconds(1);

TEST_GROUP(ConnectionPool)
{
    ConnectionId lastConnection = 0;
    ConnectionPool pool { [this]() { return ++lastConnection; } };
    Instant now { std::chrono::seconds(1) };
    std::map<WorkId, ConnectionId> started;
    std::map<WorkId, Error> rejected;
    std::vector<SilentConnection> silent;

    PoolWork makeWork(WorkId id, const char *className = "lookups") const
    {
        return { id, ClassId { className }, now + 1000 * Ms, 20 * Ms };
    }

    /// Applies the actions of the pool; connections open immediately.
    void applyActions()
    {
        for (std::vector<PoolAction> actions = pool.takeActions(); !actions.empty(); actions = pool.takeActions()) {
            for (const PoolAction &action : actions) {
                if (const auto *open = std::get_if<OpenConnection>(&action); open != nullptr) {
                    pool.onConnectionOpened(now, open->connection);
                } else if (const auto *start = std::get_if<StartWork>(&action); start != nullptr) {
                    started[start->work] = start->connection;
                } else if (const auto *reject = std::get_if<RejectWork>(&action); reject != nullptr) {
                    rejected[reject->work] = reject->error;
                } else if (const auto *silentReport = std::get_if<SilentConnection>(&action); silentReport != nullptr) {
                    silent.push_back(*silentReport);
                }
            }
        }
    }

    /// Runs one statement to completion, so that the pool measures its service time.
    void runStatement(WorkId id, Duration time, const char *className = "lookups")
    {
        pool.submit(now, makeWork(id, className));
        applyActions();
        now += time;
        pool.finish(now, started.at(id), ConnectionOutcome::Reusable);
        applyActions();
    }
};

TEST(ConnectionPool, RandomStepsPreserveInvariants)
{
    CHECK(rc::check([](std::uint64_t seed, bool hasAdmissionControl) {
        PoolOptions options;
        options.queue.hasAdmissionControl = hasAdmissionControl;
        options.queue.maxQueued = 8;
        std::mt19937_64 random(seed);
        options.random = std::ref(random);
        PoolModel model(seed, options);
        for (int step = 0; step < 300; ++step) {
            model.step();
            RC_ASSERT(model.violation() == "");
        }
        model.runUntilIdle(60);
        RC_ASSERT(model.violation() == "");
        RC_ASSERT(model.pendingCount() == 0U);
    }));
}

TEST(ConnectionPool, ExpiredWorkIsRejected)
{
    pool.submit(now, makeWork(1));
    pool.tick(now + 2000 * Ms);
    applyActions();
    CHECK(rejected.at(1).kind == ErrorKind::DeadlinePassed);
}

TEST(ConnectionPool, IdleTransactionKeepsConnectionButReleasesSlot)
{
    pool.setLimits(now, 4, 1);
    PoolWork begin = makeWork(1);
    begin.opensTransaction = true;
    pool.submit(now, begin);
    applyActions();
    pool.submit(now, makeWork(2));
    applyActions();
    CHECK_FALSE(started.contains(2));
    pool.reserveForTransaction(now, started.at(1));
    applyActions();
    CHECK(started.contains(2));
    CHECK(started.at(1) != started.at(2));
    CHECK_EQUAL(1, pool.runningCount());
}

TEST(ConnectionPool, TransactionsLeaveConnectionsForSingleStatements)
{
    pool.setLimits(now, 3, 1);
    for (WorkId id = 1; id <= 5; ++id) {
        PoolWork begin = makeWork(id);
        begin.opensTransaction = true;
        pool.submit(now, begin);
        applyActions();
        if (started.contains(id)) {
            pool.reserveForTransaction(now, started.at(id));
        }
    }
    CHECK_EQUAL(2, pool.transactionCount());
    pool.submit(now, makeWork(6));
    applyActions();
    CHECK(started.contains(6));
}

TEST(ConnectionPool, MinConnectionsOpenBeforeWorkArrives)
{
    pool.setLimits(now, 16, 2, 1);
    applyActions();
    CHECK_EQUAL(1, pool.openConnectionCount());
}

TEST(ConnectionPool, SurplusConnectionsCloseSlowlyDownToMinConnections)
{
    pool.setLimits(now, 16, 2, 1);
    pool.submit(now, makeWork(1));
    pool.submit(now, makeWork(2));
    applyActions();
    pool.finish(now, started.at(1), ConnectionOutcome::Reusable);
    pool.finish(now, started.at(2), ConnectionOutcome::Reusable);
    pool.tick(now + 1000 * Ms);
    CHECK_EQUAL(2, pool.openConnectionCount());
    for (int second = 2; second < 60; ++second) {
        pool.tick(now + second * 1000 * Ms);
    }
    CHECK_EQUAL(1, pool.openConnectionCount());
}

TEST(ConnectionPool, LowerLimitsCloseIdleConnectionsAtOnceAndBusyOnesAfterCompletion)
{
    pool.setLimits(now, 4, 2, 4);
    applyActions();
    pool.submit(now, makeWork(1));
    pool.submit(now, makeWork(2));
    applyActions();
    pool.setLimits(now, 1, 1, 0);
    CHECK_EQUAL(2, pool.openConnectionCount());
    pool.finish(now, started.at(1), ConnectionOutcome::Reusable);
    CHECK_EQUAL(1, pool.openConnectionCount());
}

TEST(ConnectionPool, UnreachableDatabaseRefusesAtOnceAndRecoversAfterProbe)
{
    pool.setLimits(now, 4, 2, 1);
    pool.submit(now, makeWork(1));
    const std::vector<PoolAction> actions = pool.takeActions();
    pool.onConnectionClosed(now, std::get<OpenConnection>(actions.front()).connection);
    applyActions();
    pool.submit(now, makeWork(2));
    applyActions();
    CHECK(rejected.at(1).kind == ErrorKind::BackendUnavailable);
    CHECK(rejected.at(2).kind == ErrorKind::BackendUnavailable);
    CHECK(rejected.at(2).retryAfterMs > 0);
    now += std::chrono::milliseconds(rejected.at(2).retryAfterMs);
    pool.tick(now);
    applyActions();
    pool.submit(now, makeWork(3));
    applyActions();
    CHECK(started.contains(3));
    pool.finish(now, started.at(3), ConnectionOutcome::Reusable);
    CHECK(pool.circuitState(now) == CircuitBreaker::State::Closed);
}

TEST(ConnectionPool, EarlyRejectionSetsRetryAfter)
{
    pool.setLimits(now, 2, 1, 1);
    applyActions();
    for (WorkId id = 1; id <= 20; ++id) {
        runStatement(id, 5 * Ms);
    }
    for (WorkId id = 101; id <= 120; ++id) {
        pool.submit(now, makeWork(id));
    }
    applyActions();
    CHECK(rejected.contains(120));
    CHECK(rejected.at(120).kind == ErrorKind::Overloaded);
    CHECK(rejected.at(120).retryAfterMs >= 1);
    CHECK(rejected.at(120).retryAfterMs <= 20);
    CHECK_FALSE(rejected.contains(102));
}

TEST(ConnectionPool, TighterTargetRunsFirstAndChangedTargetAppliesToQueuedWork)
{
    pool.setLimits(now, 1, 1, 1);
    applyActions();
    pool.submit(now, makeWork(1));
    PoolWork slow = makeWork(2, "reports");
    slow.target = 500 * Ms;
    pool.submit(now, slow);
    pool.submit(now, makeWork(3));
    applyActions();
    pool.setTarget(now, ClassId { "reports" }, 5 * Ms);
    now += Ms;
    pool.finish(now, started.at(1), ConnectionOutcome::Reusable);
    applyActions();
    CHECK(started.contains(2));
    CHECK_FALSE(started.contains(3));
}

/// Guards against a statement that never completes on a silent connection. The connection is detected by comparison
/// with statements that started later and completed; the database must stay in use.
TEST(ConnectionPool, SilentConnectionIsReplacedAndDatabaseStaysInUse)
{
    pool.setLimits(now, 4, 2, 2);
    applyActions();
    pool.submit(now, makeWork(1));
    applyActions();
    const ConnectionId silentConnection = started.at(1);
    for (WorkId id = 2; id <= 60; ++id) {
        runStatement(id, 10 * Ms);
        pool.tick(now);
        applyActions();
    }
    CHECK_EQUAL(1, silent.size());
    CHECK_EQUAL(silentConnection, silent.front().connection);
    pool.finish(now, silentConnection, ConnectionOutcome::Failed);
    applyActions();
    CHECK(pool.circuitState(now) == CircuitBreaker::State::Closed);
    pool.submit(now, makeWork(100));
    pool.submit(now, makeWork(101));
    applyActions();
    CHECK(started.contains(100) && started.contains(101));
    CHECK(started.at(100) != silentConnection && started.at(101) != silentConnection);
}

TEST(ConnectionPool, LongStatementOfSlowClassIsNotReportedSilent)
{
    pool.setLimits(now, 4, 2, 2);
    applyActions();
    runStatement(1, 2000 * Ms, "reports");
    pool.submit(now, makeWork(2, "reports"));
    applyActions();
    for (WorkId id = 3; id <= 200; ++id) {
        runStatement(id, 10 * Ms);
        pool.tick(now);
        applyActions();
    }
    CHECK_EQUAL(0, silent.size());
}
