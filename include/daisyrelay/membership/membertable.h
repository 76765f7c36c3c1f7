// The VMs of the system as known to this VM.
#pragma once

#include "daisyrelay/membership/membershiptiming.h"
#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// The record of a VM and local information about it.
struct KnownMember {
    MemberRecord record;
    Instant changedAt {}; ///< Time of the last change of the record.
    std::uint64_t configVersion = 0; ///< Configuration version last reported by the VM itself.
};

/// Merges records by incarnation and state. A suspicion that is not refuted in time turns into a death.
class MemberTable
{
public:
    MemberTable(const MemberRecord &self, const MembershipTiming &timing, Counters &counters);

    /// Merges a record received from another VM. \returns whether it changed the table.
    bool merge(Instant now, const MemberRecord &record);

    /// Suspects a VM that did not respond to a probe.
    void suspect(Instant now, const VmId &id);

    void setConfigVersion(const VmId &id, std::uint64_t version);

    /// Changes this VM's own record and raises its incarnation.
    void setSelf(Instant now, MemberState state, bool draining);

    /// Declares VMs with expired suspicions dead and removes VMs that died or left longer ago than
    /// MembershipTiming::deadRetention.
    void tick(Instant now);

    [[nodiscard]] const MemberRecord &self() const;
    [[nodiscard]] const KnownMember *find(const VmId &id) const;
    [[nodiscard]] const std::map<VmId, KnownMember> &all() const;

    /// Returns the region of a zone, or an empty string if no VM is known there.
    [[nodiscard]] const std::string &regionOf(const ZoneId &zone) const;

    /// Returns the number of VMs that are alive or suspected, including this VM.
    [[nodiscard]] std::size_t liveCount() const;

    /// Returns a value that is equal on VMs with equal tables.
    [[nodiscard]] std::uint64_t hash() const;

    /// Returns the records that changed since the last call, without removed VMs.
    [[nodiscard]] std::vector<MemberRecord> takeChanges();

    /// Returns the VMs that were removed since the last call.
    [[nodiscard]] std::vector<VmId> takeRemoved();

private:
    void set(Instant now, const MemberRecord &record);
    bool refute(Instant now, const MemberRecord &record);
    [[nodiscard]] Duration suspicionTime() const;

    VmId selfId_;
    MembershipTiming timing_;
    Counters &counters_;
    std::map<VmId, KnownMember> members_;
    std::map<ZoneId, std::string> regions_;
    std::size_t liveCount_ = 0;
    std::uint64_t hash_ = 0;
    std::vector<MemberRecord> changes_;
    std::vector<VmId> removed_;
};

} // namespace daisyrelay
