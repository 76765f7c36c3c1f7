// The announcement of a backend server. Every VM keeps it as soft state until it expires.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

enum class BackendRole : std::uint8_t {
    Primary,
    Replica,
};

/// The latest announcement of one backend server.
struct BackendAnnouncement {
    BackendId id;
    GroupKey group;
    ZoneId zone;
    std::string host;
    std::uint16_t port = 0;
    std::uint32_t connections = 0; ///< Maximum number of connections that the server accepts from the whole system.
    std::uint32_t slots = 0; ///< Maximum number of statements that the server runs concurrently.
    BackendRole role = BackendRole::Replica;
    LogPoint point;
    bool isLeaving = false;
    /// Orders the announcements of one generation; assigned by the VM that received it from the server.
    std::uint64_t version = 0;
    std::uint64_t generation = 0; ///< Increases when a server returns after leaving, or with another address.
    std::uint32_t ageMs = 0; ///< Age at the time of sending, counted from the receipt from the server itself.
    std::uint32_t lifetimeMs = 0; ///< Age at which the announcement expires; zero means the default.

    bool operator==(const BackendAnnouncement &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, group, zone, host, port, connections, slots, role, point, isLeaving, version, generation, ageMs,
            lifetimeMs);
    }
};

} // namespace daisyrelay
