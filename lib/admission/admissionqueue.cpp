#include "daisyrelay/admission/admissionqueue.h"

#include <algorithm>

namespace daisyrelay {

/// Virtual time that a statement of a workspace of the most urgent priority takes. Those of priority p take p + 1 times
/// as much, so that their share is 1 / (p + 1) of it.
static constexpr std::uint64_t VirtualTimePerStatement = 1000;
/// Less urgent workspaces share this weight, so that none is starved.
static constexpr std::uint32_t LeastWeightedPriority = 7;
/// Weight of one interval between two statements in their mean: the last few dozen count.
static constexpr double IntervalWeight = 0.05;
/// Fewer intervals do not give a usable mean, since a server answers in bursts.
static constexpr std::size_t MinIntervals = 8;
/// Index of the identifier in a key.
static constexpr std::size_t IdIndex = 3;

void AdmissionQueue::insert(const Entry &entry)
{
    if (queued_.contains(entry.id)) {
        return;
    }
    Level &level = levels_[entry.priority];
    std::uint64_t start = 0;
    if (!entry.workspace.empty()) {
        Flow &flow = level.flows[entry.workspace];
        start = std::max(level.virtualTime, flow.lastFinish);
        flow.lastFinish
            = start + VirtualTimePerStatement * (std::min(entry.workspacePriority, LeastWeightedPriority) + 1);
        ++flow.queued;
        ++workspaceCounts_[{ entry.workspace, entry.needsPrimary }];
    }
    ++level.counts.at(entry.needsPrimary ? 1 : 0);
    const Key key { entry.priority, start, entry.arrivedAt, entry.id };
    order_.insert(key);
    queued_.emplace(entry.id, Queued { entry, key });
}

bool AdmissionQueue::erase(Id id)
{
    const auto found = queued_.find(id);
    if (found == queued_.end()) {
        return false;
    }
    const Entry &entry = found->second.entry;
    Level &level = levels_[entry.priority];
    --level.counts.at(entry.needsPrimary ? 1 : 0);
    if (!entry.workspace.empty()) {
        const auto count = workspaceCounts_.find({ entry.workspace, entry.needsPrimary });
        if (--count->second == 0) {
            workspaceCounts_.erase(count);
        }
        Flow &flow = level.flows[entry.workspace];
        --flow.queued;
        if (flow.queued == 0 && flow.lastFinish <= level.virtualTime) {
            level.flows.erase(entry.workspace);
        }
    }
    order_.erase(found->second.key);
    if (level.counts[0] + level.counts[1] == 0) {
        levels_.erase(entry.priority);
    }
    queued_.erase(found);
    return true;
}

void AdmissionQueue::recordStart(Instant now, Id id)
{
    if (queued_.size() < 2) {
        lastStartAt_.reset();
        intervalCount_ = 0;
    } else {
        if (lastStartAt_) {
            const auto interval = static_cast<double>((now - *lastStartAt_).count());
            ++intervalCount_;
            const double weight = std::max(IntervalWeight, 1 / static_cast<double>(intervalCount_));
            startInterval_ += weight * (interval - startInterval_);
        }
        lastStartAt_ = now;
    }
    if (const auto found = queued_.find(id); found != queued_.end()) {
        // Also without a backlog, so that the shares are known when an overload begins.
        for (auto &[priority, share] : shares_) {
            share *= 1 - IntervalWeight;
        }
        shares_[found->second.entry.priority] += IntervalWeight;
        Level &level = levels_[found->second.entry.priority];
        level.virtualTime = std::max(level.virtualTime, std::get<1>(found->second.key));
    }
}

std::optional<Duration> AdmissionQueue::startInterval() const
{
    return intervalCount_ < MinIntervals ? std::nullopt
                                         : std::optional(Duration(static_cast<Duration::rep>(startInterval_)));
}

double AdmissionQueue::moreUrgentShare(std::uint32_t priority) const
{
    double share = 0;
    for (auto at = shares_.begin(); at != shares_.end() && at->first < priority; ++at) {
        share += at->second;
    }
    return std::min(share, 1.0);
}

bool AdmissionQueue::contains(Id id) const
{
    return queued_.contains(id);
}

bool AdmissionQueue::empty() const
{
    return queued_.empty();
}

std::size_t AdmissionQueue::size() const
{
    return queued_.size();
}

std::vector<AdmissionQueue::Id> AdmissionQueue::inOrder() const
{
    std::vector<Id> ids;
    ids.reserve(order_.size());
    for (const Key &key : order_) {
        ids.push_back(std::get<IdIndex>(key));
    }
    return ids;
}

std::size_t AdmissionQueue::countForPrimary() const
{
    std::size_t count = 0;
    for (const auto &[priority, level] : levels_) {
        count += level.counts[1];
    }
    return count;
}

std::size_t AdmissionQueue::countOf(const WorkspaceId &workspace, bool needsPrimary) const
{
    const auto found = workspaceCounts_.find({ workspace, needsPrimary });
    return found == workspaceCounts_.end() ? 0 : found->second;
}

std::size_t AdmissionQueue::countUpTo(std::uint32_t priority, bool needsPrimary, bool countsAll) const
{
    std::size_t count = 0;
    for (auto at = levels_.begin(); at != levels_.end() && at->first <= priority; ++at) {
        count += countsAll ? at->second.counts[0] + at->second.counts[1] : at->second.counts.at(needsPrimary ? 1 : 0);
    }
    return count;
}

std::size_t AdmissionQueue::countAhead(Id id, bool onlyForPrimary) const
{
    const auto found = queued_.find(id);
    const auto own = found == queued_.end() ? order_.end() : order_.find(found->second.key);
    return static_cast<std::size_t>(std::count_if(order_.begin(), own,
        [&](const Key &key) { return !onlyForPrimary || queued_.at(std::get<IdIndex>(key)).entry.needsPrimary; }));
}

} // namespace daisyrelay
