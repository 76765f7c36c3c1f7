// The VMs of the system as this VM knows them.
#pragma once

#include "daisyrelay/membership/membershiptiming.h"
#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// A VM and what this VM alone knows of it.
struct KnownMember {
    MemberRecord record;
    Instant changedAt {}; ///< Since when the record has its state.
    std::uint64_t configVersion = 0; ///< As the VM said itself last.
};

/// Merges records by incarnation and state; suspicions that nobody refutes become deaths.
class MemberTable
{
public:
    MemberTable(const MemberRecord &self, const MembershipTiming &timing, Counters &counters);

    /// Takes in what another VM says. \returns whether it was news.
    bool merge(Instant now, const MemberRecord &record);

    /// Suspects a VM that did not answer.
    void suspect(Instant now, const VmId &id);

    void setConfigVersion(const VmId &id, std::uint64_t version);

    /// Changes this VM's own record and raises its incarnation.
    void setSelf(Instant now, MemberState state, bool draining);

    /// Ends suspicions and forgets the dead.
    void tick(Instant now);

    [[nodiscard]] const MemberRecord &self() const;
    [[nodiscard]] const KnownMember *find(const VmId &id) const;
    [[nodiscard]] const std::map<VmId, KnownMember> &all() const;

    /// Returns the region of a zone, or an empty text if no VM is known there.
    [[nodiscard]] const std::string &regionOf(const ZoneId &zone) const;

    /// Returns the number of VMs that are alive or suspected, with this one.
    [[nodiscard]] std::size_t liveCount() const;

    /// Returns a value that is equal on VMs with equal tables.
    [[nodiscard]] std::uint64_t hash() const;

    /// Returns the records that changed since the last call; forgotten VMs are not among them.
    [[nodiscard]] std::vector<MemberRecord> takeChanges();

    [[nodiscard]] std::vector<VmId> takeForgotten();

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
    std::vector<VmId> forgotten_;
};

} // namespace daisyrelay
