// Tests of what a control VM logs about the entries that it restores after a restart.
#include "daisyrelay/supervision.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(RestoredLog) {};

// Guards against a restart that looks like a series of new changes in the log of a control VM.
TEST(RestoredLog, RestoredEntriesAreLoggedInOneLine)
{
    const Instant now { 100s };
    Metrics metrics;
    std::vector<std::string> lines;
    EventLog restartLog { [&lines](std::string_view line) { lines.emplace_back(line); } };
    Supervisor restarted { restartLog, metrics, 1 };
    restarted.setRestoredIndex(2);
    PutConfiguration change;
    for (std::uint64_t version = 1; version <= 3; ++version) {
        change.configuration.version = version;
        restarted.onCommitted(now, { 1, version, encodeSupervisionCommand(change), LogEntryKind::Command });
    }
    CHECK_EQUAL(2U, lines.size());
    CHECK(lines[0].find("log.restored") != std::string::npos);
    CHECK(lines[1].find("config.accepted") != std::string::npos);
}
