#include "daisyrelay/supervision/leaseregistrar.h"

namespace daisyrelay {

LeaseRegistrar::LeaseRegistrar(SupervisionTiming timing, Propose propose)
    : timing_(timing), propose_(std::move(propose))
{
}

void LeaseRegistrar::reset(Instant now, const LeaseHolderTable &table)
{
    lastReportAt_.clear();
    registrationProposedAt_.clear();
    removalProposedFor_.clear();
    removalProposedAt_.clear();
    for (const auto &[entry, record] : table.records()) {
        lastReportAt_[entry] = now;
    }
}

bool LeaseRegistrar::mayGrant(const VmId &entry, const ZoneId &zone, const LeaseHolderTable &table) const
{
    const LeaseHolderRecord *record = table.find(entry);
    if (record == nullptr || (record->zone != zone && !record->zone.empty())) {
        return false;
    }
    const auto removal = removalProposedFor_.find(entry);
    return removal == removalProposedFor_.end() || record->registeredAt > removal->second;
}

bool LeaseRegistrar::recordReport(Instant now, const VmId &entry, const ZoneId &zone, const LeaseHolderTable &table)
{
    lastReportAt_[entry] = now;
    if (mayGrant(entry, zone, table)) {
        registrationProposedAt_.erase(entry);
        return true;
    }
    const auto proposedAt = registrationProposedAt_.find(entry);
    if (proposedAt == registrationProposedAt_.end() || now - proposedAt->second > timing_.commitTimeout) {
        registrationProposedAt_[entry] = now;
        propose_(RegisterLeaseHolder { entry, zone });
    }
    return false;
}

void LeaseRegistrar::removeSilent(Instant now, const LeaseHolderTable &table)
{
    std::erase_if(lastReportAt_, [&](const auto &entry) {
        return table.find(entry.first) == nullptr && now - entry.second > timing_.leaseHolderExpiry;
    });
    for (const auto &[entry, record] : table.records()) {
        const Instant lastReportAt = lastReportAt_.try_emplace(entry, now).first->second;
        if (now - lastReportAt <= timing_.leaseHolderExpiry) {
            continue;
        }
        if (const auto proposedAt = removalProposedAt_.find(entry);
            proposedAt != removalProposedAt_.end() && now - proposedAt->second <= timing_.commitTimeout) {
            continue;
        }
        removalProposedAt_[entry] = now;
        removalProposedFor_[entry] = record.registeredAt;
        propose_(RemoveLeaseHolder { entry, record.registeredAt });
    }
}

} // namespace daisyrelay
