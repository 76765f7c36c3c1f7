// What VMs tell each other about a VM of the system.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// Ordered: of two records with one incarnation, the later state wins.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Does not answer; becomes dead unless it raises its incarnation in time.
    Dead,
    Left, ///< Said itself that it stops.
};

/// A VM with its addresses and what is known of its state.
struct MemberRecord {
    VmId id;
    ZoneId zone;
    std::string region;
    bool entry = false;
    bool control = false;
    std::string httpHost;
    std::uint16_t httpPort = 0;
    std::string peerHost; ///< TCP and UDP.
    std::uint16_t peerPort = 0;
    std::uint64_t incarnation = 0; ///< Raised only by the VM itself: at its start and to refute a suspicion.
    MemberState state = MemberState::Alive;
    bool draining = false;

    bool operator==(const MemberRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, zone, region, entry, control, httpHost, httpPort, peerHost, peerPort, incarnation, state, draining);
    }
};

} // namespace daisyrelay
