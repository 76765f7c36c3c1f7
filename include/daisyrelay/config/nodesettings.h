// The settings of a process whose platform finds it by address: what it serves, where, and which control VMs it knows.
#pragma once

#include "daisyrelay/config/settings.h"

#include <map>

namespace daisyrelay {

struct NodeSettings {
    VmId id; ///< Its address; other VMs reach it at the peer port.
    std::string name; ///< For logs and for the platform.
    ZoneId zone;
    bool entry = false; ///< Serves callers.
    bool control = false; ///< Takes part in consensus.
    Endpoint callers; ///< Entry.
    Endpoint health; ///< Entry.
    Endpoint controlApi; ///< Control: operators and backend servers.
    Endpoint platform; ///< Control: where promotions are asked for.
    std::uint16_t peerPort = 0; ///< The same on every VM.
    std::uint16_t controlPort = 0; ///< Of the control API; the same on every control VM.
    std::vector<VmId> seeds; ///< Control VMs.
    std::map<VmId, Endpoint>
        endpointOverrides; ///< Where VMs are reached if not at their own address and the peer port.
    bool bootstrap = false; ///< Whether the whole system starts for the first time.
    std::string dataFolder; ///< Control.
    std::uint32_t toleratedFailures = 1; ///< Control VMs that may be lost at once.
    std::chrono::milliseconds shutdownGrace { 6000 }; ///< Between the signal to end and the end.
    std::uint16_t metricsPort = 0; ///< Zero: none.
    std::uint32_t maxLogLinesPerSecond = 20; ///< Lines a second of one event.
};

/// Reads and checks the settings in \p fileName.
/// \returns an error whose detail is "file:line: key: message".
Expected<NodeSettings> loadNodeSettings(const std::string &fileName);

/// Parses settings from \p text; \p fileName is for error details only.
Expected<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName);

} // namespace daisyrelay
