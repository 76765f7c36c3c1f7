// Encoded configurations for entries, computed once for all entries with the same version.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <map>

namespace daisyrelay {

/// Keeps the last versions of the configuration. All control VMs record each version, so that a new leader can send
/// changes of the versions that entries have.
class ConfigurationUpdates
{
public:
    /// Records \p configuration unless it is already the last one or there is none.
    void record(const RouteConfiguration &configuration);

    /// Returns the encoded ConfigurationUpdate from \p baseVersion to the last version: a change if the base is known
    /// and the change is smaller, otherwise the whole configuration. The reference is valid until the next call.
    [[nodiscard]] const std::string &encodedFrom(std::uint64_t baseVersion);

    /// Returns the encoded whole configuration of the last version.
    [[nodiscard]] const std::string &encodedWhole();

private:
    std::deque<RouteConfiguration> versions_; ///< Oldest first.
    std::map<std::uint64_t, std::string> encoded_; ///< By base version; zero for the whole configuration.
};

/// Number of versions of which changes are sent. An entry that is further behind gets the whole configuration.
constexpr std::size_t MaxConfigurationVersions = 16;

} // namespace daisyrelay
