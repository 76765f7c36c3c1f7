#include "operationtable.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

Operation &OperationTable::add(Operation operation)
{
    const WorkId id = operation.id;
    operation.timerAt = operation.deadline;
    timers_.emplace(operation.timerAt, id);
    const auto [entry, added] = operations_.emplace(id, std::move(operation));
    assert(added && "an identifier is given out once");
    return entry->second;
}

Operation *OperationTable::find(WorkId id)
{
    const auto found = operations_.find(id);
    return found == operations_.end() ? nullptr : &found->second;
}

Operation OperationTable::remove(WorkId id)
{
    const auto found = operations_.find(id);
    assert(found != operations_.end() && "an operation is finished once");
    setForwardedTo(found->second, {});
    timers_.erase({ found->second.timerAt, id });
    Operation operation = std::move(found->second);
    operations_.erase(found);
    return operation;
}

void OperationTable::setTimer(Operation &operation, Instant time)
{
    timers_.erase({ operation.timerAt, operation.id });
    operation.timerAt = std::min(time, operation.deadline);
    timers_.emplace(operation.timerAt, operation.id);
}

void OperationTable::setForwardedTo(Operation &operation, const VmId &vm)
{
    if (!operation.forwardedTo.empty()) {
        operationsByEntry_[operation.forwardedTo].erase(operation.id);
    }
    operation.forwardedTo = vm;
    if (!vm.empty()) {
        operationsByEntry_[vm].insert(operation.id);
    }
}

std::vector<WorkId> OperationTable::dueOperations(Instant now) const
{
    std::vector<WorkId> result;
    for (const auto &[time, id] : timers_) {
        if (time > now) {
            break;
        }
        result.push_back(id);
    }
    return result;
}

std::vector<WorkId> OperationTable::operationsForwardedTo(const VmId &vm) const
{
    const auto found = operationsByEntry_.find(vm);
    return found == operationsByEntry_.end() ? std::vector<WorkId> {}
                                             : std::vector<WorkId>(found->second.begin(), found->second.end());
}

std::vector<WorkId> OperationTable::allOperations() const
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
