#include "daisyrelay/standin.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(Database) {};

TEST(Database, APromotionStartsItsTermWithAnEntryOfItsOwn)
{
    Database database;
    CHECK(database.becomePrimary(3));
    CHECK(database.point() == LogPoint({ 3, 1 }));
    CHECK_FALSE(database.becomePrimary(2));
    CHECK_FALSE(database.becomeReplica(3));
}

TEST(Database, AReplicaTakesTheLogOfItsPrimary)
{
    Database primary;
    Database replica;
    primary.becomePrimary(1);
    CHECK(primary.executeStatement("put a 1").has_value());
    CHECK(primary.executeStatement("add n 4").has_value());
    CHECK(replica.becomeReplica(1));
    replica.appendEntries(primary.entriesAfter(replica.point(), 100));
    STRCMP_EQUAL("\"4\"", replica.executeRead("get n")->c_str());
    CHECK(replica.point() == primary.point());
}

TEST(Database, AReplacedPrimaryDropsWhatItsSuccessorDoesNotHave)
{
    Database oldPrimary;
    Database successor;
    oldPrimary.becomePrimary(1);
    CHECK(oldPrimary.executeStatement("put a kept").has_value());
    successor.appendEntries(oldPrimary.entriesAfter({}, 100));
    CHECK(oldPrimary.executeStatement("put a lost").has_value());
    successor.becomePrimary(2);
    CHECK(oldPrimary.becomeReplica(2));
    CHECK_FALSE(successor.contains(oldPrimary.point()));
    oldPrimary.truncateAfter(oldPrimary.point().position - 1);
    CHECK(successor.contains(oldPrimary.point()));
    oldPrimary.appendEntries(successor.entriesAfter(oldPrimary.point(), 100));
    STRCMP_EQUAL("\"kept\"", oldPrimary.executeRead("get a")->c_str());
    CHECK(oldPrimary.point() == successor.point());
}
