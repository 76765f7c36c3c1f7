// The entries that may hold a lease on primaries, as recorded in the replicated log.
#pragma once

#include "daisyrelay/base.h"

#include <chrono>
#include <cstdint>

namespace daisyrelay {

/// How long an entry may use primaries after its report. If an availability zone is cut off, its entries can still use
/// the primaries there, and each of those can be replaced only once the leases on it have expired. A primary of another
/// zone is then out of reach for them, so its lease may last longer and bridge a long absence of the leader.
struct LeaseDurations {
    std::chrono::milliseconds general { 0 };
    std::chrono::milliseconds ownZone { 0 }; ///< For primaries in the availability zone of the entry.

    bool operator==(const LeaseDurations &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(general, ownZone);
    }
};

/// An entry to which a leader may have granted a lease.
struct LeaseHolderRecord {
    VmId entry;
    ZoneId zone; ///< Empty if the entry has been seen in more than one availability zone.
    std::uint64_t registeredAt = 0; ///< Log index of the last registration.

    bool operator==(const LeaseHolderRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(entry, zone, registeredAt);
    }
};

/// Command of the replicated log: registers an entry, or registers it again. No entry gets a lease before.
struct RegisterLeaseHolder {
    VmId entry;
    ZoneId zone;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(entry, zone);
    }
};

/// Command of the replicated log: removes an entry whose leases have all expired, unless it has been registered again
/// after \c registeredAt.
struct RemoveLeaseHolder {
    VmId entry;
    std::uint64_t registeredAt = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(entry, registeredAt);
    }
};

} // namespace daisyrelay
