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

/// Another VM that this one contacts at start.
struct Seed {
    VmId id;
    Endpoint peer; ///< Where it listens for TCP and UDP from other VMs.
    bool control = false; ///< Whether it belongs to the first set of control VMs.
};

/// How requests are routed and limited. All but the first exist to be compared with it in measurements.
enum class Policy : std::uint8_t {
    Default,
    PrimaryReads, ///< All reads go to the primary.
    RoundRobin, ///< Reads go to each fresh database in turn.
    FixedShares, ///< Each entry uses its own share of the connections; there are no homes.
    NoAdmission, ///< Nothing is refused before its deadline.
};

/// Everything that a daemon reads from its settings file.
struct Settings {
    VmId id;
    ZoneId zone;
    std::string region;
    bool entry = true;
    bool control = false;
    Endpoint http; ///< Callers, backend servers, operators and the platform.
    Endpoint peer; ///< Other VMs, TCP and UDP.
    std::string dataFolder; ///< Required where control is true.
    std::string secret; ///< Shared key of the system: session tokens and messages between VMs.
    std::vector<Seed> seeds;
    std::chrono::milliseconds transactionIdleTimeout { 10000 };
    std::chrono::milliseconds drainTimeout { 30000 };
    Policy policy = Policy::Default;
    std::chrono::milliseconds drainNoticePeriod {
        1000
    }; ///< Still accepts for so long, until the balancer has noticed.
    bool faultInjection = false; ///< For trials only: lets PUT /v1/faults cut zones off.
};

/// Reads and checks the settings in \p fileName.
/// \returns an error whose detail is "file:line: key: message".
Expected<Settings> loadSettings(const std::string &fileName);

/// Parses settings from \p text; \p fileName is for error details only.
Expected<Settings> parseSettings(const std::string &text, const std::string &fileName);

} // namespace daisyrelay
