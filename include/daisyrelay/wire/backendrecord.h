// What a backend server says of itself, and what control remembers of it.
#pragma once

#include "daisyrelay/base.h"

#include <string>

namespace daisyrelay {

/// One life of a backend server; a restart under the same id is another life.
struct BackendRecord {
    BackendId id;
    std::int64_t startedAtMs = 0; ///< Unix time of its start; orders its lives.
    ServiceId service;
    std::string host;
    std::uint16_t port = 0;
    ZoneId zone;
    std::uint32_t slots = 0; ///< Statements that it runs at once.
    bool draining = false; ///< Takes no new work and ends soon.
    bool claimsPrimary = false; ///< The role it sees itself in, not necessarily true.

    bool operator==(const BackendRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, startedAtMs, service, host, port, zone, slots, draining, claimsPrimary);
    }
};

/// A sign of life of a backend server.
struct BackendHeartbeat {
    BackendRecord record;
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of one life.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(record, sequence);
    }
};

/// The backend server that takes the writes of a service.
struct PrimaryRecord {
    ServiceId service;
    BackendId backend;
    std::uint64_t generation = 0; ///< Rises with each change; the fencing token of the promotion where there was one.

    bool operator==(const PrimaryRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend, generation);
    }
};

} // namespace daisyrelay
