#include "operationtable.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

Operation &OperationTable::add(Operation operation)
{
    const WorkId id = operation.id;
    operation.wakeAt = operation.deadline;
    wakes_.emplace(operation.wakeAt, id);
    const auto [entry, added] = operations_.emplace(id, std::move(operation));
    assert(added && "an identifier is given out once");
    return entry->second;
}

Operation *OperationTable::find(WorkId id)
{
    const auto found = operations_.find(id);
    return found == operations_.end() ? nullptr : &found->second;
}

Operation OperationTable::take(WorkId id)
{
    const auto found = operations_.find(id);
    assert(found != operations_.end() && "an operation is finished once");
    setForwarded(found->second, {});
    wakes_.erase({ found->second.wakeAt, id });
    Operation operation = std::move(found->second);
    operations_.erase(found);
    return operation;
}

void OperationTable::wakeAt(Operation &operation, Instant at)
{
    wakes_.erase({ operation.wakeAt, operation.id });
    operation.wakeAt = std::min(at, operation.deadline);
    wakes_.emplace(operation.wakeAt, operation.id);
}

void OperationTable::setForwarded(Operation &operation, const VmId &vm)
{
    if (!operation.forwardedTo.empty()) {
        forwarded_[operation.forwardedTo].erase(operation.id);
    }
    operation.forwardedTo = vm;
    if (!vm.empty()) {
        forwarded_[vm].insert(operation.id);
    }
}

std::vector<WorkId> OperationTable::due(Instant now) const
{
    std::vector<WorkId> result;
    for (const auto &[at, id] : wakes_) {
        if (at > now) {
            break;
        }
        result.push_back(id);
    }
    return result;
}

std::vector<WorkId> OperationTable::forwardedTo(const VmId &vm) const
{
    const auto found = forwarded_.find(vm);
    return found == forwarded_.end() ? std::vector<WorkId> {}
                                     : std::vector<WorkId>(found->second.begin(), found->second.end());
}

std::vector<WorkId> OperationTable::all() const
{
    std::vector<WorkId> result;
    result.reserve(operations_.size());
    for (const auto &[id, operation] : operations_) {
        result.push_back(id);
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool OperationTable::empty() const
{
    return operations_.empty();
}

} // namespace daisyrelay
