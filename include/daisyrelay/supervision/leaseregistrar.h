// Registers entries in the replicated log before they get a lease, and removes entries that no longer report.
#pragma once

#include "daisyrelay/supervision/leaseholdertable.h"
#include "daisyrelay/supervision/supervisiontiming.h"

#include <functional>
#include <map>

namespace daisyrelay {

/// Decides for the leader which entries may get a lease. A lease is granted only to an entry whose registration is
/// committed, so that the next leader knows every entry that may hold one.
class LeaseRegistrar
{
public:
    using Propose = std::function<void(SupervisionCommand command)>;

    LeaseRegistrar(SupervisionTiming timing, Propose propose);

    /// Called when this control VM becomes the leader in a new term. Discards the proposals of earlier terms, and
    /// counts the time since the last report of each entry of \p table from \p now.
    void reset(Instant now, const LeaseHolderTable &table);

    /// Records a report of \p entry and proposes its registration if necessary.
    /// \returns whether the entry may get a lease.
    bool recordReport(Instant now, const VmId &entry, const ZoneId &zone, const LeaseHolderTable &table);

    /// Proposes the removal of entries whose last report is older than SupervisionTiming::leaseHolderExpiry.
    void removeSilent(Instant now, const LeaseHolderTable &table);

private:
    [[nodiscard]] bool mayGrant(const VmId &entry, const ZoneId &zone, const LeaseHolderTable &table) const;

    SupervisionTiming timing_;
    Propose propose_;
    std::map<VmId, Instant> lastReportAt_;
    std::map<VmId, Instant> registrationProposedAt_;
    /// Registrations that a proposed removal may end. Such an entry gets no lease until it is registered again.
    std::map<VmId, std::uint64_t> removalProposedFor_;
    std::map<VmId, Instant> removalProposedAt_;
};

} // namespace daisyrelay
