#include "daisyrelay/load.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(LoadReport) {};

TEST(LoadReport, EachBrokenPromiseBreaksTheRun)
{
    CHECK(LoadReport {}.hasNoViolations());
    CHECK_FALSE((LoadReport { .staleOwnReads = 1 }.hasNoViolations()));
    CHECK_FALSE((LoadReport { .lostWrites = 1 }.hasNoViolations()));
    CHECK_FALSE((LoadReport { .duplicatedWrites = 1 }.hasNoViolations()));
    CHECK_FALSE((LoadReport { .unverifiedSessions = 1 }.hasNoViolations()));
}

TEST(LoadReport, QuantilesAreTakenFromTheSortedLatencies)
{
    ClassReport report;
    report.latenciesMs = { 9, 1, 5, 7, 3 };
    DOUBLES_EQUAL(5, report.latencyMs(0.5), 0.001);
    DOUBLES_EQUAL(9, report.latencyMs(1.0), 0.001);
    DOUBLES_EQUAL(0, ClassReport {}.latencyMs(0.5), 0.001);
}
