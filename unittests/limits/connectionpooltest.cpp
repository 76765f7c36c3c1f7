#include "daisyrelay/limits.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(ConnectionPool)
{
    ConnectionId last = 0;
    ConnectionPool pool { [this]() { return ++last; } };
    Instant now {};

    PoolWork work(WorkId id) const
    {
        return { id, ClassId { "lookups" }, now + std::chrono::seconds(1), std::chrono::milliseconds(20) };
    }
};

TEST(ConnectionPool, NeverOpensMoreThanItsLimit)
{
    pool.setLimits(now, 2, 2);
    for (WorkId id = 1; id <= 10; ++id) {
        pool.submit(now, work(id));
    }
    CHECK_EQUAL(2, pool.openConnections());
}

TEST(ConnectionPool, RefusesWorkWhoseDeadlineHasPassed)
{
    pool.submit(now, work(1));
    pool.tick(now + std::chrono::seconds(2));
    const std::vector<PoolAction> actions = pool.takeActions();
    CHECK_EQUAL(1, actions.size());
    CHECK(std::get<RefuseWork>(actions.front()).error.kind == ErrorKind::DeadlinePassed);
}
