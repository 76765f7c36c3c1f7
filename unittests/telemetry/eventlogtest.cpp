// Log lines stay within their rate limit and keep their format for any value.
#include "daisyrelay/telemetry.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(EventLog)
{
    Instant now { 100s };
    std::vector<std::string> lines;
    EventLog log { [this](std::string_view line) { lines.emplace_back(line); }, 3 };
};

TEST(EventLog, BurstIsLimitedAndSuppressedLinesAreCounted)
{
    for (int index = 0; index < 10; ++index) {
        log.log(now, "request.failed", { { "n", std::int64_t { index } } });
    }
    CHECK_EQUAL(3U, lines.size());
    now += 1s;
    log.log(now, "request.failed", { { "n", std::int64_t { 10 } } });
    CHECK_EQUAL(std::string("t_ms=101000 event=request.failed n=10 left_out=7"), lines.back());
    CHECK_EQUAL(7U, log.suppressedLines());
}

TEST(EventLog, BurstOfOneEventDoesNotLimitOtherEvents)
{
    for (int index = 0; index < 10; ++index) {
        log.log(now, "a", {});
    }
    log.log(now, "b", {});
    CHECK_EQUAL(std::string("t_ms=100000 event=b"), lines.back());
}

TEST(EventLog, LineBreakInValueIsReplaced)
{
    log.log(now, "a", { { "text", std::string_view("x\nevent=forged \"y\"") }, { "took_ms", Duration(1500us) } });
    CHECK_EQUAL(std::string("t_ms=100000 event=a text=\"x?event=forged \\\"y\\\"\" took_ms=1"), lines.back());
}

TEST_GROUP(Metrics) {};

TEST(Metrics, HistogramsAreCumulative)
{
    Metrics metrics;
    metrics.observe("wait_seconds", "outcome=\"ok\"", 1ms);
    metrics.observe("wait_seconds", "outcome=\"ok\"", 3ms);
    metrics.observe("wait_seconds", "outcome=\"ok\"", 1h);
    const std::string text = metrics.render();
    CHECK(text.find("daisyrelay_wait_seconds_bucket{outcome=\"ok\",le=\"0.001000\"} 1\n") != std::string::npos);
    CHECK(text.find("daisyrelay_wait_seconds_bucket{outcome=\"ok\",le=\"0.004000\"} 2\n") != std::string::npos);
    CHECK(text.find("daisyrelay_wait_seconds_bucket{outcome=\"ok\",le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("daisyrelay_wait_seconds_count{outcome=\"ok\"} 3\n") != std::string::npos);
}

TEST(Metrics, CountersAndGaugesAreRendered)
{
    Metrics metrics;
    metrics.add("refused_total{reason=\"deadline\"}");
    metrics.add("refused_total{reason=\"deadline\"}", 2);
    metrics.set("config_version", 7);
    const std::string text = metrics.render();
    CHECK(text.find("daisyrelay_refused_total{reason=\"deadline\"} 3\n") != std::string::npos);
    CHECK(text.find("daisyrelay_config_version 7\n") != std::string::npos);
}
