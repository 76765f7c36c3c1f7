#include "daisyrelay/limits.h"
#include "poolmodel.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static constexpr Duration Ms = std::chrono::milliseconds(1);

TEST_GROUP(ConnectionPool)
{
    ConnectionId last = 0;
    ConnectionPool pool { [this]() { return ++last; } };
    Instant now { std::chrono::seconds(1) };
    std::map<WorkId, ConnectionId> started;
    std::map<WorkId, Error> refused;
    std::vector<SilentConnection> silent;

    PoolWork work(WorkId id, const char *className = "lookups") const
    {
        return { id, ClassId { className }, now + 1000 * Ms, 20 * Ms };
    }

    /// Takes the actions; connections open at once.
    void perform()
    {
        for (std::vector<PoolAction> actions = pool.takeActions(); !actions.empty(); actions = pool.takeActions()) {
            for (const PoolAction &action : actions) {
                if (const auto *open = std::get_if<OpenConnection>(&action); open != nullptr) {
                    pool.connectionOpened(now, open->connection);
                } else if (const auto *start = std::get_if<StartWork>(&action); start != nullptr) {
                    started[start->work] = start->connection;
                } else if (const auto *refuse = std::get_if<RefuseWork>(&action); refuse != nullptr) {
                    refused[refuse->work] = refuse->error;
                } else if (const auto *gone = std::get_if<SilentConnection>(&action); gone != nullptr) {
                    silent.push_back(*gone);
                }
            }
        }
    }

    /// Runs one statement from start to answer, so that the pool knows its service time.
    void measure(WorkId id, Duration time, const char *className = "lookups")
    {
        pool.submit(now, work(id, className));
        perform();
        now += time;
        pool.finish(now, started.at(id), ConnectionEnd::Reusable);
        perform();
    }
};

TEST(ConnectionPool, KeepsItsPromisesInAnySequence)
{
    CHECK(rc::check([](std::uint64_t seed, bool admission) {
        PoolOptions options;
        options.queue.admission = admission;
        options.queue.mostQueued = 8;
        std::mt19937_64 random(seed);
        options.random = std::ref(random);
        PoolModel model(seed, options);
        for (int step = 0; step < 300; ++step) {
            model.step();
            RC_ASSERT(model.fault() == "");
        }
        model.settle(60);
        RC_ASSERT(model.fault() == "");
        RC_ASSERT(model.openWork() == 0U);
    }));
}

TEST(ConnectionPool, RefusesWorkWhoseDeadlineHasPassed)
{
    pool.submit(now, work(1));
    pool.tick(now + 2000 * Ms);
    perform();
    CHECK(refused.at(1).kind == ErrorKind::DeadlinePassed);
}

TEST(ConnectionPool, AnIdleTransactionHoldsAConnectionButNoSlot)
{
    pool.setLimits(now, 4, 1);
    PoolWork begin = work(1);
    begin.opensTransaction = true;
    pool.submit(now, begin);
    perform();
    pool.submit(now, work(2));
    perform();
    CHECK_FALSE(started.contains(2));
    pool.hold(now, started.at(1));
    perform();
    CHECK(started.contains(2));
    CHECK(started.at(1) != started.at(2));
    CHECK_EQUAL(1, pool.running());
}

TEST(ConnectionPool, TransactionsLeaveConnectionsForSingleStatements)
{
    pool.setLimits(now, 3, 1);
    for (WorkId id = 1; id <= 5; ++id) {
        PoolWork begin = work(id);
        begin.opensTransaction = true;
        pool.submit(now, begin);
        perform();
        if (started.contains(id)) {
            pool.hold(now, started.at(id));
        }
    }
    CHECK_EQUAL(2, pool.transactions());
    pool.submit(now, work(6));
    perform();
    CHECK(started.contains(6));
}

TEST(ConnectionPool, AFreshHomeOpensAConnectionBeforeAnyWorkComes)
{
    pool.setLimits(now, 16, 2, 1);
    perform();
    CHECK_EQUAL(1, pool.openConnections());
}

TEST(ConnectionPool, SurplusConnectionsAreClosedSlowlyDownToTheWarmOne)
{
    pool.setLimits(now, 16, 2, 1);
    pool.submit(now, work(1));
    pool.submit(now, work(2));
    perform();
    pool.finish(now, started.at(1), ConnectionEnd::Reusable);
    pool.finish(now, started.at(2), ConnectionEnd::Reusable);
    pool.tick(now + 1000 * Ms);
    CHECK_EQUAL(2, pool.openConnections());
    for (int second = 2; second < 60; ++second) {
        pool.tick(now + second * 1000 * Ms);
    }
    CHECK_EQUAL(1, pool.openConnections());
}

TEST(ConnectionPool, SmallerLimitsCloseIdleConnectionsAtOnceAndBusyOnesAfterTheirWork)
{
    pool.setLimits(now, 4, 2, 4);
    perform();
    pool.submit(now, work(1));
    pool.submit(now, work(2));
    perform();
    pool.setLimits(now, 1, 1, 0);
    CHECK_EQUAL(2, pool.openConnections());
    pool.finish(now, started.at(1), ConnectionEnd::Reusable);
    CHECK_EQUAL(1, pool.openConnections());
}

TEST(ConnectionPool, ADatabaseThatCanNotBeReachedRefusesAtOnceAndIsProbedBack)
{
    pool.setLimits(now, 4, 2, 1);
    pool.submit(now, work(1));
    const std::vector<PoolAction> actions = pool.takeActions();
    pool.connectionClosed(now, std::get<OpenConnection>(actions.front()).connection);
    perform();
    pool.submit(now, work(2));
    perform();
    CHECK(refused.at(1).kind == ErrorKind::BackendUnavailable);
    CHECK(refused.at(2).kind == ErrorKind::BackendUnavailable);
    CHECK(refused.at(2).retryAfterMs > 0);
    now += std::chrono::milliseconds(refused.at(2).retryAfterMs);
    pool.tick(now);
    perform();
    pool.submit(now, work(3));
    perform();
    CHECK(started.contains(3));
    pool.finish(now, started.at(3), ConnectionEnd::Reusable);
    CHECK(pool.circuit(now) == CircuitBreaker::State::Closed);
}

TEST(ConnectionPool, AnEarlyRefusalTellsWhenToComeBack)
{
    pool.setLimits(now, 2, 1, 1);
    perform();
    for (WorkId id = 1; id <= 20; ++id) {
        measure(id, 5 * Ms);
    }
    for (WorkId id = 101; id <= 120; ++id) {
        pool.submit(now, work(id));
    }
    perform();
    CHECK(refused.contains(120));
    CHECK(refused.at(120).kind == ErrorKind::Overloaded);
    CHECK(refused.at(120).retryAfterMs >= 1);
    CHECK(refused.at(120).retryAfterMs <= 20);
    CHECK_FALSE(refused.contains(102));
}

TEST(ConnectionPool, ATighterTargetGoesFirstAndAChangedTargetActsOnQueuedWork)
{
    pool.setLimits(now, 1, 1, 1);
    perform();
    pool.submit(now, work(1));
    PoolWork slow = work(2, "reports");
    slow.target = 500 * Ms;
    pool.submit(now, slow);
    pool.submit(now, work(3));
    perform();
    pool.setTarget(now, ClassId { "reports" }, 5 * Ms);
    now += Ms;
    pool.finish(now, started.at(1), ConnectionEnd::Reusable);
    perform();
    CHECK(started.contains(2));
    CHECK_FALSE(started.contains(3));
}

/// A statement that never ends is judged by the answers of others that were sent later; the database stays in use.
TEST(ConnectionPool, TrapSevenAConnectionThatGoesSilentIsReplacedAndItsPeerKept)
{
    pool.setLimits(now, 4, 2, 2);
    perform();
    pool.submit(now, work(1));
    perform();
    const ConnectionId quiet = started.at(1);
    for (WorkId id = 2; id <= 60; ++id) {
        measure(id, 10 * Ms);
        pool.tick(now);
        perform();
    }
    CHECK_EQUAL(1, silent.size());
    CHECK_EQUAL(quiet, silent.front().connection);
    pool.finish(now, quiet, ConnectionEnd::Failed);
    perform();
    CHECK(pool.circuit(now) == CircuitBreaker::State::Closed);
    pool.submit(now, work(100));
    pool.submit(now, work(101));
    perform();
    CHECK(started.contains(100) && started.contains(101));
    CHECK(started.at(100) != quiet && started.at(101) != quiet);
}

TEST(ConnectionPool, ALongStatementOfASlowClassIsNotJudgedByAFastOne)
{
    pool.setLimits(now, 4, 2, 2);
    perform();
    measure(1, 2000 * Ms, "reports");
    pool.submit(now, work(2, "reports"));
    perform();
    for (WorkId id = 3; id <= 200; ++id) {
        measure(id, 10 * Ms);
        pool.tick(now);
        perform();
    }
    CHECK_EQUAL(0, silent.size());
}
