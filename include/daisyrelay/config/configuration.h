// The configuration that operators change at run time: classes of work with their targets, and services with their
// groups and key ranges. It contains neither weights nor addresses.
#pragma once

#include "daisyrelay/base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisyrelay {

/// The point at which a write of a class is acknowledged.
enum class Durability : std::uint8_t {
    Replicated, ///< After a second database has the position; an acknowledged write survives a failover.
    Local, ///< Immediately; a failover can lose the write.
};

/// The targets of one class of work.
struct ClassTarget {
    /// Maximum age of the data that a read may return; zero means read from the primary.
    std::chrono::milliseconds freshness { 0 };
    std::chrono::milliseconds latencyP99 { 100 };
    bool isRepeatable = true;
    Durability durability = Durability::Replicated;

    bool operator==(const ClassTarget &) const = default;
};

/// Maps keys from \c from (inclusive) up to the next range's \c from to a group.
struct KeyRange {
    std::string from;
    GroupId group;

    bool operator==(const KeyRange &) const = default;
};

/// One replicated database service.
struct ServiceConfig {
    std::vector<GroupId> groups;
    std::vector<KeyRange> ranges; ///< Ordered by \c from.

    bool operator==(const ServiceConfig &) const = default;

    /// Returns the group that holds \p key.
    [[nodiscard]] std::optional<GroupId> groupForKey(const std::string &key) const;
    [[nodiscard]] bool hasGroup(const GroupId &group) const;
};

/// A complete configuration. Its version is stored separately.
struct Configuration {
    std::map<ClassId, ClassTarget> classes;
    std::map<ServiceId, ServiceConfig> services;

    bool operator==(const Configuration &) const = default;
};

} // namespace daisyrelay
