// Odd entries of another writer, from the HTTP request to the entry that uses the servers.
#include "oddentriessystem.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(OddEntries) {};

// Entries ended, or no longer used servers that went on sending heartbeats, after odd entries of another writer.
// ODD_ENTRIES_SEEDS sets the number of seeds for long runs by hand.
TEST(OddEntries, ServersThatSendHeartbeatsAreUsed)
{
    const char *count = std::getenv("ODD_ENTRIES_SEEDS");
    const std::uint64_t seeds = count == nullptr ? 40 : std::strtoull(count, nullptr, 10);
    std::size_t requests = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        OddEntriesSystem system(seed);
        system.run(40s, true);
        system.run(10s, false);
        CHECK_EQUAL(0U, system.missingServers().size());
        const std::size_t answered = system.answeredReads;
        const std::size_t refused = system.refusedReads;
        system.run(2s, false);
        CHECK(system.answeredReads > answered + 100);
        CHECK_EQUAL(refused, system.refusedReads);
        requests += system.requestCount;
    }
    UT_PRINT(("odd and other requests: " + std::to_string(requests)).c_str());
}
