// Tests of the client of rate limits: when operations run, wait or are denied, and what it requests.
#include "daisyrelay/ratelimits.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

using Admission = RateLimitClient::Admission;

TEST_GROUP(RateLimitClient)
{
    const WorkspaceId name { "w" };
    const VmId holder { "holder" };
    Instant now { 100s };
    RateLimitClient client { 1 };
    std::uint64_t sentCount = 0;

    void setup() override
    {
        client.setLimits(now, { Workspace { name, {}, 0, 100, 50 } });
        client.setHolders({ 1, std::vector<VmId>(CoordinatorSlotCount, holder) });
    }

    Admission acquire()
    {
        return client.acquire(now, name, now).admission;
    }

    std::vector<RateLimitRequest> sent()
    {
        std::vector<RateLimitRequest> requests;
        for (auto &[to, request] : client.takeRequests()) {
            CHECK(to == holder);
            requests.push_back(request);
        }
        sentCount += requests.size();
        return requests;
    }

    bool respond(const RateLimitRequest &request, std::uint32_t tokens, std::chrono::milliseconds retryAfter = 0ms)
    {
        return client.onGrant(now, holder, { name, request.runId, request.sequence, true, tokens, retryAfter });
    }

    // Runs operations every 10 ms for a while; requests are granted at once if the coordinator responds. Returns the
    // number of admitted operations.
    int runOperations(Duration duration, bool isResponding, Duration interval = 10ms)
    {
        int admitted = 0;
        for (const Instant end = now + duration; now < end; now += interval) {
            client.tick(now);
            bool isAdmitted = acquire() == Admission::Admitted;
            for (const RateLimitRequest &request : sent()) {
                CHECK(!isResponding || respond(request, request.wantedTokens));
            }
            isAdmitted = isAdmitted || (isResponding && acquire() == Admission::Admitted);
            admitted += isAdmitted ? 1 : 0;
        }
        return admitted;
    }
};

TEST(RateLimitClient, WorkspaceWithoutLimitIsAdmitted)
{
    client.setLimits(now, { Workspace { name, {}, 0, 0, 0 } });
    CHECK(acquire() == Admission::Admitted);
    CHECK(sent().empty());
}

// Guards against operations that wait longer than 60 ms, and against waiting although the coordinator denied.
TEST(RateLimitClient, OperationWaitsShortlyAndIsDeniedWithTheTimeOfRetry)
{
    const Instant since = now;
    CHECK(acquire() == Admission::Waiting);
    CHECK(respond(sent().front(), 0, 30ms));
    CHECK(client.acquire(now, name, since).admission == Admission::Waiting); // A token is free in time.
    now += 30ms;
    CHECK(client.acquire(now, name, since).admission == Admission::Waiting);
    CHECK(respond(sent().front(), 0, 200ms));
    const auto denied = client.acquire(now, name, since);
    CHECK(denied.admission == Admission::Denied);
    CHECK(denied.retryAfter == 200ms);
    CHECK(sent().empty());
    now += 200ms;
    CHECK(acquire() == Admission::Waiting);
    now += 60ms;
    CHECK(client.acquire(now, name, now - 60ms).admission == Admission::Denied);
}

// Guards against tokens that many entries with few operations hold in stock and never use.
TEST(RateLimitClient, FewOperationsRequestNothingAheadOfNeed)
{
    for (int i = 0; i < 20; ++i) {
        const Instant since = now;
        CHECK(acquire() == Admission::Waiting);
        const auto requests = sent();
        CHECK_EQUAL(1U, requests.size());
        CHECK_EQUAL(1U, requests.front().wantedTokens);
        CHECK(respond(requests.front(), 1));
        CHECK(client.acquire(now, name, since).admission == Admission::Admitted);
        CHECK(sent().empty());
        now += 700ms;
    }
}

// Guards against a stock that grows beyond recent use, or that is used long after it was granted.
TEST(RateLimitClient, StockIsBoundedByRecentUseAndExpires)
{
    CHECK(runOperations(3s, true) >= 299);
    now += 5ms;
    int stock = 0;
    while (acquire() == Admission::Admitted) {
        ++stock;
    }
    CHECK(stock > 0);
    CHECK(stock <= 25);
    for (const RateLimitRequest &request : sent()) {
        CHECK(respond(request, request.wantedTokens));
    }
    now += 250ms;
    CHECK(acquire() == Admission::Waiting);
    const RateLimitRequest late = sent().front();
    now += 250ms;
    respond(late, 1); // Was underway for so long that its tokens have expired.
    CHECK(acquire() == Admission::Waiting);
}

// Guards against an entry that keeps running without a coordinator, with the burst or for longer than 5 s, and against
// requests that flood a coordinator that does not respond.
TEST(RateLimitClient, AllowanceWithoutCoordinatorIsBounded)
{
    runOperations(12s, true);
    const std::uint64_t sentBefore = sentCount;
    const int admitted = runOperations(6s, false);
    CHECK(admitted > 20);
    CHECK(admitted < 70); // The stock, and what remains of (5 R + B) * 1.1 + 20 beside a new coordinator.
    CHECK(sentCount - sentBefore < 25);
    CHECK_EQUAL(0, runOperations(10s, false));
    CHECK(runOperations(2s, true) > 140); // Requests are repeated, so that service resumes.
}

// Guards against an allowance of a process that was granted nothing.
TEST(RateLimitClient, RestartedEntryHasNoAllowance)
{
    CHECK_EQUAL(0, runOperations(6s, false));
}

// Guards against tokens of a higher limit that run after the lower one is applied.
TEST(RateLimitClient, LoweredLimitDropsStockAndAllowance)
{
    runOperations(3s, true);
    client.setLimits(now, { Workspace { name, {}, 0, 10, 0 } });
    CHECK_EQUAL(0, runOperations(6s, false));
}

// Guards against a coordinator that takes an idle entry for an unreachable one.
TEST(RateLimitClient, IdleEntryWithAllowanceSendsProbes)
{
    runOperations(2s, true);
    for (int i = 0; i < 50; ++i) {
        now += 100ms;
        client.tick(now);
        const auto requests = sent();
        sentCount += requests.size();
        CHECK(requests.empty() || requests.front().wantedTokens == 0);
        CHECK(requests.empty() || respond(requests.front(), 0));
    }
    now += 10s;
    client.tick(now);
    CHECK(sent().empty()); // Nothing was granted lately.
}

// Guards against grants that are applied twice, or that belong to another request, process or coordinator.
TEST(RateLimitClient, ForeignGrantsChangeNothing)
{
    acquire();
    const RateLimitRequest request = sent().front();
    const auto isIgnored = [&](const VmId &from, const RateLimitGrant &grant, const std::string &reason) {
        return !client.onGrant(now, from, grant) && client.counters().value("ratelimit.ignored." + reason) == 1;
    };
    const std::uint64_t sequence = request.sequence;
    CHECK(isIgnored(holder, { WorkspaceId { "x" }, 1, sequence, true, 1, 0ms }, "unknown-workspace"));
    CHECK(isIgnored(holder, { name, 2, sequence, true, 1, 0ms }, "other-run"));
    CHECK(isIgnored(holder, { name, 1, sequence + 1, true, 1, 0ms }, "unknown-sequence"));
    CHECK(isIgnored(VmId { "x" }, { name, 1, sequence, true, 1, 0ms }, "foreign"));
    CHECK(isIgnored(holder, { name, 1, sequence, true, 2, 0ms }, "invalid"));
    CHECK(acquire() == Admission::Waiting);
    CHECK(respond(request, 1));
    CHECK(isIgnored(holder, { name, 1, sequence, true, 1, 0ms }, "outdated"));
    CHECK(acquire() == Admission::Admitted);
    CHECK(acquire() == Admission::Waiting);
}

// Guards against an outdated table that leads requests to a former coordinator.
TEST(RateLimitClient, OutdatedAndInvalidTablesAreIgnored)
{
    client.setHolders({ 0, std::vector<VmId>(CoordinatorSlotCount, VmId { "old" }) });
    client.setHolders({ 9, { VmId { "short" } } });
    acquire();
    CHECK_EQUAL(1U, sent().size());
    client.setHolders({ 2, std::vector<VmId>(CoordinatorSlotCount) });
    now += 60ms; // The former coordinator does not respond.
    CHECK(acquire() == Admission::Denied); // The slot has no coordinator.
}

// Guards against refusing everything after a start of all entries, until the leader may appoint coordinators.
TEST(RateLimitClient, EntriesRunTheirPartOfTheRateWhileThereIsNoCoordinator)
{
    client.setHolders({ 2, std::vector<VmId>(CoordinatorSlotCount) });
    CHECK(acquire() == Admission::Denied); // The number of entries is not known.
    client.setEntryCount(now, 10);
    const auto runFor = [this](Duration duration) {
        int admitted = 0;
        for (const Instant end = now + duration; now < end; now += 10ms) {
            admitted += acquire() == Admission::Admitted ? 1 : 0;
        }
        return admitted;
    };
    const int atStart = runFor(1s);
    CHECK(atStart >= 18 && atStart <= 23); // Twice 100 a second over 10 entries, and a fraction to start with.
    runFor(1s);
    const int later = runFor(5s);
    CHECK(later >= 45 && later <= 51);
}
