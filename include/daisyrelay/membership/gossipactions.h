// Actions that the membership core requests from its driver.
#pragma once

#include "daisyrelay/wire.h"

#include <variant>

namespace daisyrelay {

/// Sends a datagram, which may be lost.
struct SendGossip {
    std::string host;
    std::uint16_t port = 0;
    GossipMessage message;
};

/// Sends complete tables over TCP.
struct SendSync {
    VmId to;
    MembershipSync sync;
};

/// A VM is new, or its record changed.
struct MemberChanged {
    MemberRecord record;
};

/// A VM was removed from the table some time after it died or left.
struct MemberRemoved {
    VmId id;
};

/// A backend server announced itself to this VM or to another one.
struct BackendAnnounced {
    BackendAnnouncement announcement;
    bool hasChanged = false; ///< Whether more than the position and the age has changed.
};

/// A backend server has not announced itself for too long.
struct BackendExpired {
    BackendId id;
};

using GossipAction = std::variant<SendGossip, SendSync, MemberChanged, MemberRemoved, BackendAnnounced, BackendExpired>;

} // namespace daisyrelay
