// The settings of one process: addresses, availability zone, roles, data folder and the seeds of the other VMs.
#pragma once

#include "daisyrelay/base.h"

#include <string>
#include <vector>

namespace daisyrelay {

/// An IP address with a port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(host, port);
    }
};

/// Another VM that this VM contacts at its start.
struct Seed {
    VmId id;
    Endpoint peer; ///< Endpoint for TCP and UDP from other VMs.
    bool isControlVm = false; ///< Whether it belongs to the initial set of control VMs.
};

/// How requests are routed and limited. All policies but the default exist for comparative measurements.
enum class Policy : std::uint8_t {
    Default,
    PrimaryReads, ///< All reads go to the primary.
    RoundRobin, ///< Reads are distributed over all sufficiently fresh databases in turn.
    FixedShares, ///< Each entry uses its own share of the connections; there are no homes.
    NoAdmission, ///< Requests are not rejected before their deadline.
};

/// All values of a daemon's settings file.
struct Settings {
    VmId id;
    ZoneId zone;
    std::string region;
    bool isEntry = true;
    bool isControlVm = false;
    Endpoint http; ///< Endpoint for callers, backend servers, operators and the platform.
    Endpoint peer; ///< Endpoint for TCP and UDP from other VMs.
    std::string dataFolder; ///< Required if control is true.
    std::string secret; ///< Shared key of the system, for session tokens and messages between VMs.
    std::vector<Seed> seeds;
    std::chrono::milliseconds transactionIdleTimeout { 10000 };
    std::chrono::milliseconds drainTimeout { 30000 };
    Policy policy = Policy::Default;
    /// How long requests are still accepted, until the load balancer has noticed the draining.
    std::chrono::milliseconds drainNoticePeriod { 1000 };
    bool isFaultInjectionEnabled = false; ///< For tests only: PUT /v1/faults can then isolate zones.
};

/// Reads and validates the settings in \p fileName. \returns an error with the detail "file:line: key: message".
Expected<Settings> loadSettings(const std::string &fileName);

/// Parses settings from \p text; \p fileName is used in error details only.
Expected<Settings> parseSettings(const std::string &text, const std::string &fileName);

} // namespace daisyrelay
