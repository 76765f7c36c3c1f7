#include "daisyrelay/relay.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(RelayCore)
{
    Counters counters;
    RelayCore core { { VmId { "vm1" }, ZoneId { "coanda" }, "one secret of the system", "1" }, counters };
    Instant now {};
};

TEST(RelayCore, AnUnknownClassIsRefusedAndCounted)
{
    core.onConfiguration(now, 1, {});
    core.onCallerRequest(now, { 1, {}, "" });
    const std::vector<RelayAction> actions = core.takeActions();
    CHECK_EQUAL(1, actions.size());
    CHECK(std::get<RespondToCaller>(actions.front()).result.error().kind == ErrorKind::UnknownClass);
    CHECK_EQUAL(1, counters.value("refused.unknown-class"));
}

TEST(RelayCore, AVmWithoutAConfigurationAsksTheCallerToComeBack)
{
    core.onCallerRequest(now, { 1, {}, "" });
    const std::vector<RelayAction> actions = core.takeActions();
    CHECK_EQUAL(1, actions.size());
    const Error error = std::get<RespondToCaller>(actions.front()).result.error();
    CHECK(error.kind == ErrorKind::NoLease);
    CHECK(error.retryAfterMs > 0);
}
