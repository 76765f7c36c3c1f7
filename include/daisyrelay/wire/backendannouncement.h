// What a backend server announces of itself. It is soft state that every VM keeps until it expires.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

enum class BackendRole : std::uint8_t {
    Primary,
    Replica,
};

/// The announcement of one backend server, as it was heard last.
struct BackendAnnouncement {
    BackendId id;
    GroupKey group;
    ZoneId zone;
    std::string host;
    std::uint16_t port = 0;
    std::uint32_t connections = 0; ///< Most connections that the server accepts from the whole system.
    std::uint32_t slots = 0; ///< Statements that the server runs at once.
    BackendRole role = BackendRole::Replica;
    LogPoint point;
    bool leaving = false;
    std::uint64_t version = 0; ///< Order of announcements of one generation, given by the VM that heard it.
    std::uint64_t generation = 0; ///< Raised when a server comes back after it has left, or at another address.
    std::uint32_t ageMs = 0; ///< Time since a VM heard it from the server itself, when it was sent.
    std::uint32_t lifetimeMs = 0; ///< How long it is valid after that; zero stands for the default.

    bool operator==(const BackendAnnouncement &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, group, zone, host, port, connections, slots, role, point, leaving, version, generation, ageMs,
            lifetimeMs);
    }
};

} // namespace daisyrelay
