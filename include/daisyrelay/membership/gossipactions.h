// What the membership core asks its driver to do.
#pragma once

#include "daisyrelay/wire.h"

#include <variant>

namespace daisyrelay {

/// Sends a datagram; losing it is allowed.
struct SendGossip {
    std::string host;
    std::uint16_t port = 0;
    GossipMessage message;
};

/// Sends whole tables over TCP.
struct SendSync {
    VmId to;
    MembershipSync sync;
};

/// A VM is new, or its record changed.
struct MemberChanged {
    MemberRecord record;
};

/// A VM was dead for long and is not known any more.
struct MemberForgotten {
    VmId id;
};

/// A backend server announced itself, here or on another VM.
struct BackendAnnounced {
    BackendAnnouncement announcement;
    bool changed = false; ///< Whether more than position and age is new.
};

/// A backend server has been silent for too long.
struct BackendExpired {
    BackendId id;
};

using GossipAction
    = std::variant<SendGossip, SendSync, MemberChanged, MemberForgotten, BackendAnnounced, BackendExpired>;

} // namespace daisyrelay
