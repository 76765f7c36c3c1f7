#include "daisyrelay/admission.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(AdmissionQueue)
{
    AdmissionQueue queue;
    std::uint64_t nextId = 1;
    Instant now { 2h };

    std::uint64_t add(std::uint32_t priority, const std::string &workspace = "", std::uint32_t workspacePriority = 0,
        bool needsPrimary = false)
    {
        const std::uint64_t id = nextId++;
        queue.insert({ id, priority, Instant(1h) + std::chrono::milliseconds(id), WorkspaceId { workspace },
            workspacePriority, needsPrimary });
        return id;
    }

    /// Starts the first \p count statements and counts those with an identifier of \p firstId or higher.
    int startAndCountFrom(std::uint64_t firstId, int count)
    {
        int found = 0;
        for (; count > 0; --count) {
            const std::uint64_t id = queue.inOrder().front();
            found += id >= firstId ? 1 : 0;
            queue.recordStart(now += 5ms, id);
            queue.erase(id);
        }
        return found;
    }
};

TEST(AdmissionQueue, OrdersByPriorityThenArrivalWithoutWorkspaces)
{
    const std::uint64_t last = add(1);
    const std::uint64_t first = add(0);
    const std::uint64_t second = add(0);
    CHECK(queue.inOrder() == std::vector<std::uint64_t>({ first, second, last }));
    CHECK_EQUAL(2, queue.countAhead(last, false));
    CHECK_EQUAL(2, queue.countUpTo(0, false, false));
    CHECK(queue.erase(first));
    CHECK(!queue.erase(first));
    CHECK_EQUAL(1, queue.countUpTo(0, false, true));
}

TEST(AdmissionQueue, HotWorkspaceDoesNotDelayOthers)
{
    // A workspace that sends eight times as much as another has filled the queue before the other sends anything.
    for (int at = 0; at < 80; ++at) {
        add(0, "hot");
    }
    startAndCountFrom(0, 20);
    CHECK(queue.startInterval() == Duration(5ms));
    const std::uint64_t firstOther = add(0, "other");
    for (int at = 1; at < 10; ++at) {
        add(0, "other");
    }
    CHECK(startAndCountFrom(firstOther, 20) >= 9);
}

TEST(AdmissionQueue, SharesFollowThePriorityOfTheWorkspace)
{
    for (int at = 0; at < 60; ++at) {
        add(0, "less-urgent", 2);
    }
    const std::uint64_t firstUrgent = nextId;
    for (int at = 0; at < 60; ++at) {
        add(0, "urgent", 0);
    }
    const int urgent = startAndCountFrom(firstUrgent, 40);
    CHECK(urgent >= 28 && urgent <= 32); // Three quarters.
}

TEST(AdmissionQueue, MeasuresTheShareOfMoreUrgentStatements)
{
    for (int at = 0; at < 80; ++at) {
        add(0);
        add(1);
        startAndCountFrom(0, 1); // The less urgent statements never get their turn.
    }
    CHECK(queue.moreUrgentShare(1) > 0.9);
    CHECK(queue.moreUrgentShare(0) == 0);
}

TEST(AdmissionQueue, CountsStatementsOfWorkspaceAndForPrimary)
{
    add(0, "a", 0, true);
    const std::uint64_t second = add(0, "a", 0, true);
    add(1, "a", 0, false);
    CHECK_EQUAL(2, queue.countOf(WorkspaceId { "a" }, true));
    CHECK_EQUAL(1, queue.countOf(WorkspaceId { "a" }, false));
    CHECK_EQUAL(2, queue.countForPrimary());
    CHECK_EQUAL(3, queue.countUpTo(1, true, true));
    CHECK_EQUAL(2, queue.countUpTo(1, true, false));
    queue.erase(second);
    CHECK_EQUAL(1, queue.countOf(WorkspaceId { "a" }, true));
    CHECK(!queue.contains(second));
}
