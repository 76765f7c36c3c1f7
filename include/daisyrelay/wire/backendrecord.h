// What a backend server reports about itself and what control records about it.
#pragma once

#include "daisyrelay/base.h"

#include <string>

namespace daisyrelay {

/// One incarnation of a backend server; a restart under the same id is another incarnation.
struct BackendRecord {
    BackendId id;
    std::int64_t startedAtMs = 0; ///< Unix time of the process start; orders the incarnations.
    ServiceId service;
    std::string host;
    std::uint16_t port = 0;
    ZoneId zone;
    std::uint32_t slots = 0; ///< Maximum number of statements that run concurrently.
    bool isDraining = false; ///< Accepts no new work and shuts down soon.
    bool claimsPrimary = false; ///< The server reports the primary role, which may be outdated.

    bool operator==(const BackendRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, startedAtMs, service, host, port, zone, slots, isDraining, claimsPrimary);
    }
};

/// The periodic heartbeat of a backend server.
struct BackendHeartbeat {
    BackendRecord record;
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of one incarnation.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(record, sequence);
    }
};

/// The backend server that executes the writes of a service.
struct PrimaryRecord {
    ServiceId service;
    BackendId backend;
    std::uint64_t generation = 0; ///< Increases with each change; the fencing token if the server was promoted.

    bool operator==(const PrimaryRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend, generation);
    }
};

} // namespace daisyrelay
