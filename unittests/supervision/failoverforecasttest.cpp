// Tests of the predicted end of a failover, which decides whether statements wait for it or are refused at once.
#include "daisyrelay/supervision.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(FailoverForecast)
{
    FailoverForecast forecast;
};

TEST(FailoverForecast, FirstMeasurementReplacesTheDefault)
{
    forecast.recordPromotion(1000ms);
    CHECK(forecast.promotionTime() == 1000ms);
}

TEST(FailoverForecast, FollowsWhatIsMeasured)
{
    forecast.recordPromotion(1000ms);
    for (int promotion = 0; promotion < 5; ++promotion) {
        forecast.recordPromotion(600ms);
    }
    CHECK(forecast.promotionTime() < 650ms);
}

// The lease of a silent entry is the longest part of a failover.
TEST(FailoverForecast, LedgerTellsWhenTheLastLeaseExpires)
{
    const Instant now { 100s };
    LeaseLedger ledger { FencingPolicy::Leases, { 3s, 1s } };
    ledger.reset(now - 10s, {}, false);
    ledger.grant(now, VmId { "e" }, 1, ZoneId { "z" });
    ledger.withdraw(now, ServiceId { "s" }, 1, ZoneId { "z" }, [](const VmId &) { return true; });
    CHECK(ledger.expiresAt(now, ServiceId { "s" }) == now + 1s + ClockDriftMargin);
    CHECK(ledger.expiresAt(now, ServiceId { "other" }) == now);
}
