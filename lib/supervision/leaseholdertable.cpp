#include "daisyrelay/supervision/leaseholdertable.h"

namespace daisyrelay {

void LeaseHolderTable::apply(std::uint64_t index, const RegisterLeaseHolder &command)
{
    const auto [record, isNew] = records_.try_emplace(command.entry, LeaseHolderRecord { command.entry, {}, 0 });
    if (isNew) {
        record->second.zone = command.zone;
    } else if (record->second.zone != command.zone) {
        // A VM in another zone has taken over the address. The lease of the former VM may not have expired.
        record->second.zone = {};
    }
    record->second.registeredAt = index;
}

void LeaseHolderTable::apply(const RemoveLeaseHolder &command)
{
    if (const auto found = records_.find(command.entry);
        found != records_.end() && found->second.registeredAt <= command.registeredAt) {
        records_.erase(found);
    }
}

const LeaseHolderRecord *LeaseHolderTable::find(const VmId &entry) const
{
    const auto found = records_.find(entry);
    return found == records_.end() ? nullptr : &found->second;
}

const std::map<VmId, LeaseHolderRecord> &LeaseHolderTable::records() const
{
    return records_;
}

std::vector<LeaseHolderRecord> LeaseHolderTable::snapshot() const
{
    std::vector<LeaseHolderRecord> list;
    for (const auto &[entry, record] : records_) {
        list.push_back(record);
    }
    return list;
}

void LeaseHolderTable::restore(const std::vector<LeaseHolderRecord> &records)
{
    records_.clear();
    for (const LeaseHolderRecord &record : records) {
        records_.emplace(record.entry, record);
    }
}

} // namespace daisyrelay
