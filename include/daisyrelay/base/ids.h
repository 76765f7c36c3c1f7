// Identifiers and log positions.
#pragma once

#include "daisyrelay/base/strongid.h"

#include <cstdint>

namespace daisyrelay {

using VmId = StrongId<struct VmIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using GroupId = StrongId<struct GroupIdTag>;
using ClassId = StrongId<struct ClassIdTag>;
using BackendId = StrongId<struct BackendIdTag>;
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using TransactionId = StrongId<struct TransactionIdTag>;

/// Number of primary changes of one group. A higher term supersedes a lower one.
using Term = std::uint64_t;

/// Index of an entry in the replicated log of one group.
using Position = std::uint64_t;

/// Identifies a group of databases within a service.
struct GroupKey {
    ServiceId service;
    GroupId group;

    auto operator<=>(const GroupKey &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, group);
    }
};

/// A log position together with the term in which its entry was written. Ordered by term, then by position.
struct LogPoint {
    Term term = 0;
    Position position = 0;

    auto operator<=>(const LogPoint &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, position);
    }
};

} // namespace daisyrelay

template <>
struct std::hash<daisyrelay::GroupKey> {
    std::size_t operator()(const daisyrelay::GroupKey &key) const noexcept
    {
        constexpr std::size_t HashMultiplier = 31;
        return std::hash<daisyrelay::ServiceId>()(key.service) * HashMultiplier
            + std::hash<daisyrelay::GroupId>()(key.group);
    }
};
