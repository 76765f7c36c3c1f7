// Configurations as they are sent to entries: whole, or as a change of an earlier version.
#pragma once

#include "daisyrelay/wire/routeconfiguration.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisyrelay {

/// Items of a changed list: items of the earlier list that stay, followed by items that are new or changed.
template <typename Item>
struct ListSegment {
    std::uint32_t firstKept = 0;
    std::uint32_t keptCount = 0;
    std::vector<Item> added;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(firstKept, keptCount, added);
    }
};

/// What turns the configuration of one version into that of a later one. Items of the earlier configuration that no
/// segment keeps are removed.
struct ConfigurationChange {
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    std::vector<ListSegment<DatabaseRoute>> routes;
    std::vector<ListSegment<ServiceLimits>> services;
    std::vector<ListSegment<Workspace>> workspaces;
    bool requiresKeys = false;
    std::chrono::milliseconds transactionIdleTimeout { 0 };
    std::uint64_t maxMessageBytes = 0;
    std::uint64_t checksum = 0; ///< Hash of the encoded result. Detects another configuration of the same base version.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(baseVersion, version, routes, services, workspaces, requiresKeys, transactionIdleTimeout,
            maxMessageBytes, checksum);
    }
};

/// Returns the change that turns \p base into exactly \p target.
ConfigurationChange computeChange(const RouteConfiguration &base, const RouteConfiguration &target);

/// \returns ErrorKind::BadRequest if \p change does not apply to \p base.
Expected<RouteConfiguration> applyChange(const RouteConfiguration &base, const ConfigurationChange &change);

using ConfigurationUpdate = std::variant<RouteConfiguration, ConfigurationChange>;

std::string encodeConfigurationUpdate(const ConfigurationUpdate &update);

/// \returns ErrorKind::BadRequest unless \p bytes are exactly one update.
Expected<ConfigurationUpdate> decodeConfigurationUpdate(std::string_view bytes);

} // namespace daisyrelay
