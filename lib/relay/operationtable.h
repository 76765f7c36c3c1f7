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
    Operation take(WorkId id);

    /// Wakes \p operation at \p at or at its deadline, whichever is first.
    void wakeAt(Operation &operation, Instant at);

    /// Notes that \p vm works on \p operation; an empty \p vm ends that.
    void setForwarded(Operation &operation, const VmId &vm);

    /// Returns the operations that wanted attention by \p now.
    [[nodiscard]] std::vector<WorkId> due(Instant now) const;

    [[nodiscard]] std::vector<WorkId> forwardedTo(const VmId &vm) const;
    [[nodiscard]] std::vector<WorkId> all() const;
    [[nodiscard]] bool empty() const;

private:
    std::unordered_map<WorkId, Operation> operations_;
    std::set<std::pair<Instant, WorkId>> wakes_;
    std::map<VmId, std::set<WorkId>> forwarded_;
};

} // namespace daisyrelay
