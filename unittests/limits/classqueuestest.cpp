#include "daisyrelay/limits.h"

#include <queue>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static constexpr Duration Ms = std::chrono::milliseconds(1);

namespace {

struct ClassLoad {
    const char *name;
    Duration target;
    Duration arrivalInterval; ///< Time between two arrivals.
    std::size_t submitted = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
};

/// Simulates a queue with fixed service times on a simulated clock, without threads or sleeps.
class QueueSimulation
{
public:
    QueueSimulation(std::size_t slots, Duration service, QueueOptions options = {})
        : queues_(options), slots_(slots), service_(service)
    {
    }

    void run(std::vector<ClassLoad> &classes, Duration length)
    {
        const Instant end = now_ + length;
        std::vector<Instant> next(classes.size(), now_);
        for (; now_ < end; now_ += Ms / 4) {
            finishDue(classes);
            for (std::size_t index = 0; index < classes.size(); ++index) {
                for (; next[index] <= now_; next[index] += classes[index].arrivalInterval) {
                    submit(classes[index], index);
                }
            }
            queues_.removeOverdue(now_, slots_);
            dispatch();
        }
    }

private:
    struct Running {
        Instant endsAt;
        std::size_t classIndex;
        Instant arrivedAt;
    };

    void submit(ClassLoad &load, std::size_t index)
    {
        ++load.submitted;
        const PoolWork work { ++lastWork_, ClassId { load.name }, now_ + 1000 * Ms, load.target };
        if (!queues_.checkAdmission(now_, work, slots_, running_.size())) {
            arrivals_[work.id] = { {}, index, now_ };
            queues_.push(now_, work);
        }
    }

    void dispatch()
    {
        while (running_.size() < slots_) {
            const std::optional<PoolWork> work = queues_.pop([](const PoolWork &) { return true; });
            if (!work) {
                return;
            }
            Running started = arrivals_.at(work->id);
            started.endsAt = now_ + service_;
            running_.push_back(started);
        }
    }

    void finishDue(std::vector<ClassLoad> &classes)
    {
        std::erase_if(running_, [this, &classes](const Running &running) {
            if (running.endsAt > now_) {
                return false;
            }
            ClassLoad &load = classes[running.classIndex];
            ++(now_ - running.arrivedAt <= load.target ? load.onTime : load.late);
            queues_.recordServiceTime(ClassId { load.name }, service_);
            return true;
        });
    }

    ClassQueues queues_;
    std::size_t slots_;
    Duration service_;
    Instant now_ { std::chrono::seconds(1) };
    WorkId lastWork_ = 0;
    std::map<WorkId, Running> arrivals_;
    std::vector<Running> running_;
};

} // namespace

TEST_GROUP(ClassQueues) {};

static double perSecond(std::size_t count, Duration length)
{
    return static_cast<double>(count) / std::chrono::duration<double>(length).count();
}

TEST(ClassQueues, AtTwiceTheCapacityNearlyAllSlotTimeMeetsTargets)
{
    // Two slots of 4 ms run 500 statements per second; 1,000 per second arrive.
    std::vector<ClassLoad> classes { { "lookups", 20 * Ms, Ms * 5 / 4 }, { "reservations", 50 * Ms, 5 * Ms } };
    QueueSimulation run(2, 4 * Ms);
    constexpr Duration Length = std::chrono::seconds(20);
    run.run(classes, Length);
    const std::size_t onTimeCount = classes[0].onTime + classes[1].onTime;
    CHECK(perSecond(onTimeCount, Length) >= 0.9 * 500);
    CHECK(classes[0].late + classes[1].late <= onTimeCount / 100);
}

TEST(ClassQueues, OverloadedClassDoesNotStarveAnotherClass)
{
    CHECK(rc::check([](bool isLookupClassFlooded, std::uint8_t rateFactor) {
        // Two to five times the capacity of 500 statements per second.
        const Duration flood = Ms * 4 / (2 + rateFactor % 4);
        const Duration moderate = 20 * Ms; // A tenth of the capacity.
        std::vector<ClassLoad> classes { { "lookups", 20 * Ms, isLookupClassFlooded ? flood : moderate },
            { "reservations", 50 * Ms, isLookupClassFlooded ? moderate : flood } };
        QueueSimulation run(2, 4 * Ms);
        run.run(classes, std::chrono::seconds(5));
        const ClassLoad &moderateClass = classes[isLookupClassFlooded ? 1 : 0];
        const ClassLoad &floodedClass = classes[isLookupClassFlooded ? 0 : 1];
        RC_ASSERT(static_cast<double>(moderateClass.onTime) >= 0.9 * static_cast<double>(moderateClass.submitted));
        RC_ASSERT(floodedClass.onTime >= 1500U);
    }));
}

TEST(ClassQueues, SharesFollowPeakThatMovesBetweenClasses)
{
    std::vector<ClassLoad> classes { { "lookups", 20 * Ms, Ms }, { "reservations", 50 * Ms, 20 * Ms } };
    QueueSimulation run(2, 4 * Ms);
    run.run(classes, std::chrono::seconds(5));
    std::swap(classes[0].arrivalInterval, classes[1].arrivalInterval);
    classes[0].submitted = classes[0].onTime = classes[1].onTime = 0;
    run.run(classes, std::chrono::seconds(5));
    CHECK(static_cast<double>(classes[0].onTime) >= 0.9 * static_cast<double>(classes[0].submitted));
    CHECK(perSecond(classes[1].onTime, std::chrono::seconds(5)) >= 0.8 * 450);
}

TEST(ClassQueues, OverloadWithoutAdmissionControlMakesResponsesLate)
{
    std::vector<ClassLoad> classes { { "lookups", 20 * Ms, Ms * 5 / 4 }, { "reservations", 50 * Ms, 5 * Ms } };
    QueueSimulation run(2, 4 * Ms, { 512, false });
    run.run(classes, std::chrono::seconds(5));
    CHECK(classes[0].late > classes[0].onTime * 10);
}

TEST(ClassQueues, PopReturnsWorkInDeadlineOrder)
{
    CHECK(rc::check([](const std::vector<std::uint8_t> &deadlines) {
        ClassQueues queues;
        const Instant now { std::chrono::seconds(1) };
        WorkId id = 0;
        for (const std::uint8_t deadline : deadlines) {
            queues.push(now, { ++id, ClassId { "lookups" }, now + deadline * Ms, 100 * Ms });
        }
        Instant previous {};
        while (const std::optional<PoolWork> work = queues.pop([](const PoolWork &) { return true; })) {
            const Instant due = std::min<Instant>(work->deadline, now + work->target);
            RC_ASSERT(due >= previous);
            previous = due;
        }
        RC_ASSERT(queues.size() == 0U);
    }));
}

TEST(ClassQueues, FullQueueRefusesWithRetryAfter)
{
    ClassQueues queues({ 1, true });
    const Instant now { std::chrono::seconds(1) };
    queues.push(now, { 1, ClassId { "lookups" }, now + 1000 * Ms, 20 * Ms });
    const auto error = queues.checkAdmission(now, { 2, ClassId { "lookups" }, now + 1000 * Ms, 20 * Ms }, 2, 2);
    CHECK(error && error->kind == ErrorKind::QueueFull && error->retryAfterMs > 0);
}
