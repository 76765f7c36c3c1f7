#include "daisyrelay/standin.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(Database) {};

TEST(Database, APromotionStartsItsTermWithAnEntryOfItsOwn)
{
    Database database;
    CHECK(database.promote(3));
    CHECK(database.point() == LogPoint({ 3, 1 }));
    CHECK_FALSE(database.promote(2));
    CHECK_FALSE(database.follow(3));
}

TEST(Database, AReplicaTakesTheLogOfItsPrimary)
{
    Database primary;
    Database replica;
    primary.promote(1);
    CHECK(primary.execute("put a 1").has_value());
    CHECK(primary.execute("add n 4").has_value());
    CHECK(replica.follow(1));
    replica.append(primary.entriesAfter(replica.point(), 100));
    STRCMP_EQUAL("\"4\"", replica.read("get n")->c_str());
    CHECK(replica.point() == primary.point());
}

TEST(Database, AReplacedPrimaryDropsWhatItsSuccessorDoesNotHave)
{
    Database old;
    Database successor;
    old.promote(1);
    CHECK(old.execute("put a kept").has_value());
    successor.append(old.entriesAfter({}, 100));
    CHECK(old.execute("put a lost").has_value());
    successor.promote(2);
    CHECK(old.follow(2));
    CHECK_FALSE(successor.holds(old.point()));
    old.truncate(old.point().position - 1);
    CHECK(successor.holds(old.point()));
    old.append(successor.entriesAfter(old.point(), 100));
    STRCMP_EQUAL("\"kept\"", old.read("get a")->c_str());
    CHECK(old.point() == successor.point());
}
