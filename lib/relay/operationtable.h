// The open operations of an entry, found by identifier, by the time at which they want attention, and by the VM that
// works on them.
#pragma once

#include "operation.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace daisyrelay {

class OperationTable
{
public:
    /// Stores \p operation and wakes it at its deadline.
    Operation &add(Operation operation);

    [[nodiscard]] Operation *find(WorkId id);

    /// Removes and returns an operation that is in the table.
    Operation remove(WorkId id);

    /// Wakes \p operation at \p at or at its deadline, whichever is first.
    void setTimer(Operation &operation, Instant time);

    /// Notes that \p vm works on \p operation; an empty \p vm ends that.
    void setForwardedTo(Operation &operation, const VmId &vm);

    /// Returns the operations that wanted attention by \p now.
    [[nodiscard]] std::vector<WorkId> dueOperations(Instant now) const;

    [[nodiscard]] std::vector<WorkId> operationsForwardedTo(const VmId &vm) const;
    [[nodiscard]] std::vector<WorkId> allOperations() const;
    [[nodiscard]] bool empty() const;

private:
    std::unordered_map<WorkId, Operation> operations_;
    std::set<std::pair<Instant, WorkId>> timers_;
    std::map<VmId, std::set<WorkId>> operationsByEntry_;
};

} // namespace daisyrelay
