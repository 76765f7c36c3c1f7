// The configuration of a proxy that is addressed by database name: which service serves a database, and how fresh its
// reads must be.
#pragma once

#include "daisyrelay/base.h"

#include <chrono>
#include <string>
#include <vector>

namespace daisyrelay {

/// What a read of a database must see.
enum class ReadGuarantee : std::uint8_t {
    Primary, ///< Every write that was acknowledged before.
    BoundedStaleness, ///< Every write that was acknowledged longer ago than the bound.
    ReadYourWrites, ///< As BoundedStaleness, and every write of the same session.
};

/// One database as callers address it.
struct DatabaseRoute {
    std::string database;
    ServiceId service;
    ReadGuarantee guarantee = ReadGuarantee::Primary;
    std::chrono::milliseconds maxStaleness { 0 };
    std::chrono::milliseconds timeout { 0 }; ///< Of one statement.
    std::chrono::milliseconds latencyTarget { 0 }; ///< Latency that callers expect of a whole operation.
    std::uint32_t priority = 0; ///< Zero is the most urgent.

    bool operator==(const DatabaseRoute &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(database, service, guarantee, maxStaleness, timeout, latencyTarget, priority);
    }
};

/// What the backend servers of a service bear.
struct ServiceLimits {
    ServiceId service;
    std::uint32_t maxConnections = 0; ///< To each backend server, from all VMs together.
    std::uint32_t syncReplicas = 0; ///< Replicas that must have received a write before it is acknowledged.

    bool operator==(const ServiceLimits &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, maxConnections, syncReplicas);
    }
};

/// A whole configuration; the highest version is in force.
struct RouteConfiguration {
    std::uint64_t version = 0; ///< Zero means that there is none.
    std::vector<DatabaseRoute> routes;
    std::vector<ServiceLimits> services;
    std::chrono::milliseconds transactionIdleTimeout {
        0
    }; ///< After so long an idle transaction is rolled back; zero: never.
    std::uint64_t maxMessageBytes = 0; ///< Bytes of one statement; zero: the limit of the protocol.

    bool operator==(const RouteConfiguration &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, routes, services, transactionIdleTimeout, maxMessageBytes);
    }
};

} // namespace daisyrelay
