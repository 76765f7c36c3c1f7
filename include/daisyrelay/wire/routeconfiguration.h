// Configuration of a proxy whose callers address databases by name: the service that serves a database, and how fresh
// its reads must be.
#pragma once

#include "daisyrelay/base.h"

#include <chrono>
#include <string>
#include <vector>

namespace daisyrelay {

/// Which writes a read of a database must see.
enum class ReadGuarantee : std::uint8_t {
    Primary, ///< Every write acknowledged before the read.
    BoundedStaleness, ///< Every write acknowledged longer ago than the staleness bound.
    ReadYourWrites, ///< As BoundedStaleness, and every write of the same session.
};

/// Routing of one database name.
struct DatabaseRoute {
    std::string database;
    ServiceId service;
    ReadGuarantee guarantee = ReadGuarantee::Primary;
    std::chrono::milliseconds maxStaleness { 0 };
    std::chrono::milliseconds timeout { 0 }; ///< Timeout of one statement.
    std::chrono::milliseconds latencyTarget { 0 }; ///< Latency that callers expect of a whole operation.
    std::uint32_t priority = 0; ///< Zero is the most urgent.
    bool isPublic = false; ///< Callers need no key.

    bool operator==(const DatabaseRoute &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(database, service, guarantee, maxStaleness, timeout, latencyTarget, priority, isPublic);
    }
};

/// Limits and replication settings of the backend servers of a service.
struct ServiceLimits {
    ServiceId service;
    std::uint32_t maxConnections = 0; ///< Connections to each backend server from all VMs together.
    std::uint32_t syncReplicas = 0; ///< Replicas that must have received a write before it is acknowledged.

    bool operator==(const ServiceLimits &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, maxConnections, syncReplicas);
    }
};

/// A group of callers that share keys and a rate limit.
struct Workspace {
    WorkspaceId name; ///< Told to the backend servers that run statements of the workspace.
    std::vector<std::string> keys; ///< Secrets that identify callers. Never logged and never sent to backend servers.
    std::uint32_t priority = 0; ///< Zero is the most urgent.
    std::uint32_t operationsPerSecond = 0; ///< Rate limit over all entries; zero disables the limit.
    std::uint32_t burst = 0; ///< Operations beyond the rate that may run at once.

    bool operator==(const Workspace &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, keys, priority, operationsPerSecond, burst);
    }
};

/// A complete configuration; the highest version is in force.
struct RouteConfiguration {
    std::uint64_t version = 0; ///< Zero means that there is no configuration.
    std::vector<DatabaseRoute> routes;
    std::vector<ServiceLimits> services;
    std::vector<Workspace> workspaces;
    bool requiresKeys = false; ///< Whether callers must identify their workspace, except on public routes.
    std::chrono::milliseconds transactionIdleTimeout { 0 }; ///< Idle transactions are rolled back after this time; zero
                                                            ///< disables the timeout.
    std::uint64_t maxMessageBytes = 0; ///< Maximum size of one statement; zero applies the limit of the protocol.

    bool operator==(const RouteConfiguration &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, routes, services, workspaces, requiresKeys, transactionIdleTimeout, maxMessageBytes);
    }
};

} // namespace daisyrelay
