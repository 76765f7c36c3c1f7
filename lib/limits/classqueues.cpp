#include "daisyrelay/limits/classqueues.h"

#include <algorithm>

namespace daisyrelay {

/// Share of the latency target that the predicted time may use; the rest is reserved for the network and for the spread
/// of service times.
static constexpr double MaxWaitShareOfTarget = 0.75;

ClassQueues::ClassQueues(QueueOptions options) : options_(options)
{
}

static Duration scaled(Duration value, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(value.count()) * factor));
}

static std::int64_t toRetryAfterMs(Duration wait)
{
    constexpr std::int64_t MinRetryAfterMs = 1;
    constexpr std::int64_t MaxRetryAfterMs = 5000;
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait).count(), MinRetryAfterMs, MaxRetryAfterMs);
}

Instant ClassQueues::dueAt(Instant arrivedAt, const PoolWork &work) const
{
    return options_.hasAdmissionControl ? std::min(arrivedAt + work.target, work.deadline) : arrivedAt;
}

std::size_t ClassQueues::countDueBefore(Instant due) const
{
    std::size_t ahead = 0;
    for (const auto &[classId, state] : classes_) {
        const auto end = std::upper_bound(state.queue.begin(), state.queue.end(), due,
            [](Instant at, const QueuedWork &queued) { return at < queued.dueAt; });
        ahead += static_cast<std::size_t>(end - state.queue.begin());
    }
    return ahead;
}

Duration ClassQueues::predictedWait(Instant due, std::size_t slots) const
{
    Duration work {};
    for (const auto &[classId, state] : classes_) {
        const auto end = std::upper_bound(state.queue.begin(), state.queue.end(), due,
            [](Instant at, const QueuedWork &queued) { return at < queued.dueAt; });
        work += state.service.mean() * (end - state.queue.begin());
    }
    return work / static_cast<Duration::rep>(std::max<std::size_t>(1, slots));
}

double ClassQueues::fairShare(Instant now, const ClassId &classId, std::size_t slots) const
{
    std::vector<double> otherDemands;
    for (const auto &[other, state] : classes_) {
        if (other != classId) {
            const double seconds = std::chrono::duration<double>(state.service.mean()).count();
            otherDemands.push_back(state.demand.perSecond(now) * seconds);
        }
    }
    std::ranges::sort(otherDemands);
    auto remaining = static_cast<double>(std::max<std::size_t>(1, slots));
    std::size_t claimants = otherDemands.size() + 1;
    for (const double demand : otherDemands) {
        if (demand * static_cast<double>(claimants) > remaining) {
            break;
        }
        remaining -= demand;
        --claimants;
    }
    return remaining / static_cast<double>(claimants);
}

std::optional<Error> ClassQueues::checkAdmission(
    Instant now, const PoolWork &work, std::size_t slots, std::size_t running)
{
    ClassState &state = classes_[work.classId];
    state.demand.recordEvent(now);
    state.target = work.target;
    if (work.transactionConnection != 0) {
        return std::nullopt;
    }
    const Instant due = dueAt(now, work);
    const Duration drainTime = predictedWait(Instant::max(), slots);
    if (size_ >= options_.maxQueued) {
        return Error { ErrorKind::QueueFull, "the queue of the database is full", toRetryAfterMs(drainTime) };
    }
    if (!options_.hasAdmissionControl || slots == 0) {
        return std::nullopt;
    }
    const Duration service = state.service.mean();
    const Duration allowedTime = scaled(work.target, MaxWaitShareOfTarget);
    const std::size_t ahead = countDueBefore(due);
    if (ahead + running < slots) {
        return std::nullopt;
    }
    const Duration wait = predictedWait(due, slots) + service / static_cast<Duration::rep>(slots);
    const Duration classWait
        = scaled(service, static_cast<double>(state.queue.size()) / fairShare(now, work.classId, slots));
    const Duration predictedTime = std::max(wait, classWait) + service;
    if (now + wait + service > work.deadline) {
        return Error { ErrorKind::Overloaded, "the predicted wait exceeds the deadline", toRetryAfterMs(wait) };
    }
    // The slots must stay busy even if the target is shorter than what the database can achieve, so a class with an
    // empty queue is not refused.
    if (predictedTime > allowedTime && ahead >= slots && !state.queue.empty()) {
        return Error { ErrorKind::Overloaded, "the predicted wait exceeds the latency target of the class",
            toRetryAfterMs(predictedTime - allowedTime) };
    }
    return std::nullopt;
}

void ClassQueues::push(Instant now, PoolWork work)
{
    ClassState &state = classes_[work.classId];
    QueuedWork queued { std::move(work), now, {} };
    queued.dueAt = dueAt(now, queued.work);
    const auto at = std::upper_bound(state.queue.begin(), state.queue.end(), queued.dueAt,
        [](Instant due, const QueuedWork &other) { return due < other.dueAt; });
    state.queue.insert(at, std::move(queued));
    ++size_;
}

bool ClassQueues::erase(WorkId work)
{
    for (auto &[classId, state] : classes_) {
        if (std::erase_if(state.queue, [work](const QueuedWork &queued) { return queued.work.id == work; }) > 0) {
            --size_;
            return true;
        }
    }
    return false;
}

std::optional<PoolWork> ClassQueues::pop(const std::function<bool(const PoolWork &)> &canStart)
{
    ClassState *mostUrgentClass = nullptr;
    std::deque<QueuedWork>::iterator mostUrgent;
    for (auto &[classId, state] : classes_) {
        const auto found = std::find_if(state.queue.begin(), state.queue.end(),
            [&canStart](const QueuedWork &queued) { return canStart(queued.work); });
        if (found != state.queue.end() && (mostUrgentClass == nullptr || found->dueAt < mostUrgent->dueAt)) {
            mostUrgentClass = &state;
            mostUrgent = found;
        }
    }
    if (mostUrgentClass == nullptr) {
        return std::nullopt;
    }
    PoolWork work = std::move(mostUrgent->work);
    mostUrgentClass->queue.erase(mostUrgent);
    --size_;
    return work;
}

bool ClassQueues::hasOnTimeWork(Instant now) const
{
    return std::ranges::any_of(classes_, [now](const auto &entry) {
        const std::deque<QueuedWork> &queue = entry.second.queue;
        return !queue.empty() && queue.back().dueAt >= now;
    });
}

std::optional<Error> ClassQueues::overdueError(
    Instant now, const QueuedWork &queued, const ClassState &state, std::size_t slots, bool otherWorkIsOnTime) const
{
    const PoolWork &work = queued.work;
    if (work.deadline <= now) {
        return Error { ErrorKind::DeadlinePassed, "no connection became free before the deadline" };
    }
    if (!options_.hasAdmissionControl) {
        return std::nullopt;
    }
    const std::int64_t retryAfter = toRetryAfterMs(predictedWait(Instant::max(), slots));
    if (now + state.service.mean() > work.deadline) {
        return Error { ErrorKind::DeadlinePassed, "the remaining time until the deadline is too short", retryAfter };
    }
    if (work.transactionConnection == 0 && otherWorkIsOnTime && queued.dueAt + work.target < now) {
        return Error { ErrorKind::Overloaded, "refused in favor of work that can still meet its latency target",
            retryAfter };
    }
    return std::nullopt;
}

std::vector<RejectWork> ClassQueues::removeOverdue(Instant now, std::size_t slots)
{
    std::vector<RejectWork> rejected;
    if (size_ == 0) {
        return rejected;
    }
    const bool otherWorkIsOnTime = hasOnTimeWork(now);
    for (auto &[classId, state] : classes_) {
        bool wasRefusedByEstimate = false;
        for (auto at = state.queue.begin(); at != state.queue.end();) {
            // With admission control no later element is due earlier; without it every deadline must be checked.
            if (options_.hasAdmissionControl && at->dueAt > now + state.service.mean()) {
                break;
            }
            std::optional<Error> error = overdueError(now, *at, state, slots, otherWorkIsOnTime);
            if (!error) {
                ++at;
                continue;
            }
            wasRefusedByEstimate = wasRefusedByEstimate || at->work.deadline > now;
            rejected.push_back({ at->work.id, std::move(*error) });
            at = state.queue.erase(at);
            --size_;
        }
        if (wasRefusedByEstimate) {
            state.service.reduceEstimate();
        }
    }
    return rejected;
}

std::vector<WorkId> ClassQueues::removeIf(const std::function<bool(const PoolWork &)> &shouldRemove)
{
    std::vector<WorkId> removed;
    for (auto &[classId, state] : classes_) {
        std::erase_if(state.queue, [&removed, &shouldRemove](const QueuedWork &queued) {
            if (!shouldRemove(queued.work)) {
                return false;
            }
            removed.push_back(queued.work.id);
            return true;
        });
    }
    size_ -= removed.size();
    return removed;
}

void ClassQueues::setTarget(const ClassId &classId, Duration target)
{
    const auto found = classes_.find(classId);
    if (found == classes_.end() || found->second.target == target) {
        return;
    }
    found->second.target = target;
    for (QueuedWork &queued : found->second.queue) {
        queued.work.target = target;
        queued.dueAt = dueAt(queued.arrivedAt, queued.work);
    }
    std::ranges::stable_sort(found->second.queue, {}, &QueuedWork::dueAt);
}

void ClassQueues::recordServiceTime(const ClassId &classId, Duration time)
{
    classes_[classId].service.addSample(time);
}

ServiceTime ClassQueues::serviceTime(const ClassId &classId) const
{
    const auto found = classes_.find(classId);
    return found == classes_.end() ? ServiceTime {} : found->second.service;
}

std::size_t ClassQueues::size() const
{
    return size_;
}

} // namespace daisyrelay
