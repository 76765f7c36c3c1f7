// The queues of one database, one for each class, with admission by predicted wait and earliest deadline first order.
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
    std::size_t maxQueued = 512; ///< Maximum number of queued statements of one database, over all classes.
    /// If false, the queue is first in, first out without predictions; a baseline for comparison.
    bool hasAdmissionControl = true;
};

/// Orders the work of one database and rejects early what would miss its latency target.
///
/// A class is admitted while its own queue, drained with the share of the slots that the class can claim, stays within
/// its target. The shares are max-min fair over the measured demand, so that no class starves another. Work that fits
/// within these shares has a schedule that meets all targets, and earliest deadline first finds that schedule.
class ClassQueues
{
public:
    explicit ClassQueues(QueueOptions options = {});

    /// Records the demand for \p work and checks whether it can be queued. Returns the reason for a rejection, or
    /// std::nullopt if the work may be queued.
    std::optional<Error> checkAdmission(Instant now, const PoolWork &work, std::size_t slots, std::size_t running);

    void push(Instant now, PoolWork work);

    /// Returns whether \p work was queued.
    bool erase(WorkId work);

    /// Removes and returns the most urgent work that \p canStart accepts.
    std::optional<PoolWork> pop(const std::function<bool(const PoolWork &)> &canStart);

    /// Removes the work that cannot complete in time and returns the rejections.
    std::vector<RejectWork> removeOverdue(Instant now, std::size_t slots);

    /// Removes the work that \p shouldRemove accepts and returns its identifiers.
    std::vector<WorkId> removeIf(const std::function<bool(const PoolWork &)> &shouldRemove);

    /// Changes the latency target of a class, also for work that is already queued.
    void setTarget(const ClassId &classId, Duration target);

    /// Records that a statement of \p classId completed after \p time.
    void recordServiceTime(const ClassId &classId, Duration time);

    [[nodiscard]] ServiceTime serviceTime(const ClassId &classId) const;
    [[nodiscard]] std::size_t size() const;

    /// Returns how many of the \p slots the class can claim while it has a backlog.
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
        std::deque<QueuedWork> queue; ///< Ordered by dueAt, earliest first.
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
