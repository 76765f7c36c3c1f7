// The replicated table of the entries that may hold a lease.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// Each control VM has the same table, because it is changed only by commands of the replicated log. A new leader knows
/// from it which entries may hold leases of former leaders.
class LeaseHolderTable
{
public:
    void apply(std::uint64_t index, const RegisterLeaseHolder &command);
    void apply(const RemoveLeaseHolder &command);

    /// Returns the record of \p entry, or null if it is not registered.
    [[nodiscard]] const LeaseHolderRecord *find(const VmId &entry) const;

    [[nodiscard]] const std::map<VmId, LeaseHolderRecord> &records() const;

    [[nodiscard]] std::vector<LeaseHolderRecord> snapshot() const;
    void restore(const std::vector<LeaseHolderRecord> &records);

private:
    std::map<VmId, LeaseHolderRecord> records_;
};

} // namespace daisyrelay
