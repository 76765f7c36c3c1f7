#include "daisyrelay/admission.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(ClassAdmission)
{
    ClassAdmission admission;
    Instant now { 1h };
    std::map<std::uint32_t, int> admitted;

    /// Offers a statement of each of three classes every 5 ms; each of them waits for \p fraction of its time.
    void offer(Duration duration, double fraction)
    {
        admitted.clear();
        for (const Instant end = now + duration; now < end; now += 5ms) {
            for (std::uint32_t priority = 0; priority < 3; ++priority) {
                admitted[priority] += admission.admit(now, priority) ? 1 : 0;
                admission.recordWait(now, priority, fraction);
            }
        }
    }
};

TEST(ClassAdmission, RefusesLeastUrgentFirstAndReadmitsItLast)
{
    offer(500ms, 0);
    CHECK_EQUAL(100, admitted[2]);
    offer(300ms, 0.9);
    CHECK_EQUAL(60, admitted[1]);
    CHECK(admitted[2] < 50);
    CHECK(admission.admittedFraction(2) > 0); // In small steps.
    offer(500ms, 0.9);
    CHECK(admission.admittedFraction(2) == 0);
    CHECK(admission.admittedFraction(1) < 1);
    CHECK(admission.admittedFraction(0) == 1);
    CHECK(admission.readmittedAfter(2) == Duration(500ms));
    offer(400ms, 0.1);
    CHECK(admission.admittedFraction(1) == 1);
    CHECK(admission.admittedFraction(2) < 1);
    offer(500ms, 0.1);
    CHECK(admission.admittedFraction(2) == 1);
}

TEST(ClassAdmission, KeepsItsLevelBetweenShortAndLongWaits)
{
    offer(500ms, 0.9);
    offer(100ms, 0.4); // Ends the interval in which the waits were long.
    const double fraction = admission.admittedFraction(2);
    offer(1s, 0.4);
    CHECK_EQUAL(fraction, admission.admittedFraction(2));
}

TEST(ClassAdmission, MostUrgentClassIsNeverRefusedEntirely)
{
    offer(5s, 1);
    CHECK(admission.admittedFraction(0) >= 0.5);
    CHECK(admission.admittedFraction(1) == 0);
    // Guards against refusals that outlive an overload because nothing is measured any more.
    now += 5s;
    admission.admit(now, 1);
    CHECK(admission.admittedFraction(1) == 1);
}
