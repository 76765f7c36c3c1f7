// The open operations of an entry, indexed by identifier, by timer, and by the VM to which they were forwarded.
#pragma once

#include "operation.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace daisyrelay {

class OperationTable
{
public:
    /// Stores \p operation and sets its timer to its deadline.
    Operation &add(Operation operation);

    [[nodiscard]] Operation *find(WorkId id);

    /// Removes and returns an operation that is in the table.
    Operation remove(WorkId id);

    /// Sets the timer of \p operation to \p time or to its deadline, whichever is earlier.
    void setTimer(Operation &operation, Instant time);

    /// Records that \p operation was forwarded to \p vm; an empty \p vm clears the record.
    void setForwardedTo(Operation &operation, const VmId &vm);

    /// Returns the operations whose timer has expired by \p now.
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
