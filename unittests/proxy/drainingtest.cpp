// The end of an entry's drain.
#include "fakeservice.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(Draining)
{
    FakeService service;

    void start(std::chrono::milliseconds timeout = 800ms)
    {
        service.configure(ReadGuarantee::Primary, timeout);
        service.sendTopology();
    }

    [[nodiscard]] bool hasLogged(std::string_view text) const
    {
        return std::any_of(service.logLines.begin(), service.logLines.end(),
            [text](const std::string &line) { return line.find(text) != std::string::npos; });
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }
};

// Guards against a drain that ends without a trace of what it cut.
TEST(Draining, EndIsReportedByReason)
{
    start();
    const SessionId session = service.open("a");
    service.core.drain(service.now, 6s);
    service.servers["b0"].isSilent = true;
    const std::string statement = service.send(session, StatementType::Write, "x");
    service.run(20ms);
    service.core.reportDrainEnd(service.now, { 2, 100, 0, 7 });
    CHECK_EQUAL(1U, service.metrics.value("drain_cut_total{reason=\"pending\"}"));
    CHECK_EQUAL(0U, service.metrics.value("drain_cut_total{reason=\"pending-of-peer\"}"));
    CHECK_EQUAL(1U, service.metrics.value("drain_cut_total{reason=\"unsent\"}"));
    CHECK_EQUAL(0U, service.metrics.value("drain_cut_total{reason=\"unread\"}"));
    CHECK_EQUAL(1U, service.metrics.value("drain_cut_total{reason=\"unsent-to-peer\"}"));
    CHECK(hasLogged("event=request.cut request=" + statement));
    CHECK(hasLogged("event=drain.end"));
}
