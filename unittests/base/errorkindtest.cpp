#include "daisyrelay/base.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(ErrorKind) {};

TEST(ErrorKind, EveryKindHasARowThatIsFoundByItsName)
{
    for (std::size_t index = 0; index < errorKindCount(); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        CHECK(errorKindFromName(errorResponseFor(kind).name) == kind);
    }
}

TEST(ErrorKind, AnUnknownNameIsNoKind)
{
    CHECK_FALSE(errorKindFromName("no-such-kind").has_value());
}
