// The settings of a process that the platform finds by its address: its roles, endpoints and control VMs.
#pragma once

#include "daisyrelay/config/settings.h"

#include <map>

namespace daisyrelay {

/// How far the operations of a workspace may exceed its rate limit in a sliding window:
/// (rate * window + burst) * (1 + excess) + slack.
struct RateLimitTolerance {
    std::chrono::milliseconds window { 5000 };
    double excess = 0;
    double slack = 0; ///< Operations.
};

struct NodeSettings {
    VmId id; ///< The address at which other VMs reach its peer port.
    std::string name; ///< Identifies the process in logs and to the platform.
    ZoneId zone;
    bool isEntry = false; ///< Serves callers.
    bool isControlVm = false; ///< Takes part in consensus.
    Endpoint callers; ///< Entry only: endpoint for callers.
    Endpoint health; ///< Entry only: endpoint for health checks.
    Endpoint controlApi; ///< Control only: endpoint for operators and backend servers.
    Endpoint platform; ///< Control only: endpoint of the platform, which carries out promotions.
    std::uint16_t peerPort = 0; ///< Port for messages between VMs; the same on every VM.
    std::uint16_t controlPort = 0; ///< Port of the control API; the same on every control VM.
    std::vector<VmId> seeds; ///< Addresses of the control VMs.
    /// Endpoints of VMs that are not reached at their own address and the peer port.
    std::map<VmId, Endpoint> endpointOverrides;
    bool canBootstrap = false; ///< Whether the whole system starts for the first time.
    std::string dataFolder; ///< Required if control is true.
    /// Leases are safe on every platform, so they are used unless the platform is known to fence.
    FencingPolicy fencing = FencingPolicy::Leases;
    /// A key that was withdrawn longer ago than this opens nothing, even on a VM that cannot reach control. Zero if the
    /// VM may go on with the configuration that it has.
    std::chrono::milliseconds revocationBound { 0 };
    RateLimitTolerance rateLimits;
    std::uint32_t toleratedFailures = 1; ///< Number of control VMs that may fail at the same time.
    /// Time between the termination signal and the end of the process.
    std::chrono::milliseconds shutdownGrace { 6000 };
    std::uint16_t metricsPort = 0; ///< Zero disables metrics.
    std::uint32_t maxLogLinesPerSecond = 20; ///< Limit for each event.
    bool tracesReads = false; ///< Whether an entry logs each position of a primary and each read that relies on one.
};

/// Reads and validates the settings in \p fileName. \returns an error with the detail "file:line: key: message".
Expected<NodeSettings> loadNodeSettings(const std::string &fileName);

/// Parses settings from \p text; \p fileName is used in error details only.
Expected<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName);

} // namespace daisyrelay
