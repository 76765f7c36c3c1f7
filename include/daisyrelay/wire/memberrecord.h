// The membership record that VMs exchange about each VM of the system.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// Ordered: of two records with the same incarnation, the one with the later state wins.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Does not respond; becomes dead unless it raises its incarnation in time.
    Dead,
    Left, ///< Announced its own shutdown.
};

/// A VM with its addresses and its membership state.
struct MemberRecord {
    VmId id;
    ZoneId zone;
    std::string region;
    bool isEntry = false;
    bool isControlVm = false;
    std::string httpHost;
    std::uint16_t httpPort = 0;
    std::string peerHost; ///< Host for TCP and UDP from other VMs.
    std::uint16_t peerPort = 0;
    std::uint64_t incarnation = 0; ///< Raised only by the VM itself, at its start and to refute a suspicion.
    MemberState state = MemberState::Alive;
    bool isDraining = false;

    bool operator==(const MemberRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, zone, region, isEntry, isControlVm, httpHost, httpPort, peerHost, peerPort, incarnation, state,
            isDraining);
    }
};

} // namespace daisyrelay
