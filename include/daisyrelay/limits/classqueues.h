// The queues of one database, one for each class: admission by predicted wait, and earliest deadline first.
#pragma once

#include "daisyrelay/limits/poolwork.h"
#include "daisyrelay/limits/servicetime.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

struct QueueOptions {
    std::size_t maxQueued = 512; ///< For one database, over all classes.
    bool hasAdmissionControl = true; ///< False: first in, first out without predictions; a baseline for comparison.
};

/// Orders the work of one database and refuses early what would miss its target.
///
/// A class is admitted as long as its own queue, drained at the share of the slots that the class can claim, stays
/// within its target. The shares are max-min fair over the measured demand, so that no class starves another one. Work
/// that fits these shares has a schedule that meets every target, and earliest deadline first finds it.
class ClassQueues
{
public:
    explicit ClassQueues(QueueOptions options = {});

    /// Counts the demand for \p work and judges it. \returns why it is refused, or nothing if it may be queued.
    std::optional<Error> checkAdmission(Instant now, const PoolWork &work, std::size_t slots, std::size_t running);

    void push(Instant now, PoolWork work);

    /// \returns whether \p work was queued.
    bool erase(WorkId work);

    /// Takes out the most urgent work of those that \p startable accepts.
    std::optional<PoolWork> pop(const std::function<bool(const PoolWork &)> &canStart);

    /// Takes out the work that can not end in time any more.
    std::vector<RefuseWork> removeOverdue(Instant now, std::size_t slots);

    /// Takes out the work that \p chosen accepts.
    std::vector<WorkId> removeIf(const std::function<bool(const PoolWork &)> &shouldRemove);

    /// Changes the target of a class, for the work that is queued too.
    void setTarget(const ClassId &classId, Duration target);

    /// A statement of \p classId was answered after \p time.
    void recordServiceTime(const ClassId &classId, Duration time);

    [[nodiscard]] ServiceTime serviceTime(const ClassId &classId) const;
    [[nodiscard]] std::size_t size() const;

    /// Returns how much of \p slots the class can claim while it has a backlog.
    [[nodiscard]] double fairShare(Instant now, const ClassId &classId, std::size_t slots) const;

private:
    struct QueuedWork {
        PoolWork work;
        Instant arrivedAt;
        Instant dueAt;
    };

    struct ClassState {
        Duration target {};
        ServiceTime service;
        EventRate demand;
        std::deque<QueuedWork> queue; ///< Ordered by dueAt.
    };

    [[nodiscard]] Instant dueAt(Instant arrivedAt, const PoolWork &work) const;
    [[nodiscard]] Duration predictedWait(Instant due, std::size_t slots) const;
    [[nodiscard]] std::size_t countDueBefore(Instant due) const;
    [[nodiscard]] bool hasOnTimeWork(Instant now) const;
    [[nodiscard]] std::optional<Error> overdueError(Instant now, const QueuedWork &queued, const ClassState &state,
        std::size_t slots, bool otherWorkIsOnTime) const;

    QueueOptions options_;
    std::map<ClassId, ClassState> classes_;
    std::size_t size_ = 0;
};

} // namespace daisyrelay
