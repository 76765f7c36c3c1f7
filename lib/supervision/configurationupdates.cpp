#include "daisyrelay/supervision/configurationupdates.h"

#include <algorithm>

namespace daisyrelay {

void ConfigurationUpdates::record(const RouteConfiguration &configuration)
{
    const std::uint64_t lastVersion = versions_.empty() ? 0 : versions_.back().version;
    if (configuration.version == lastVersion) {
        return;
    }
    encoded_.clear();
    versions_.push_back(configuration);
    if (versions_.size() > MaxConfigurationVersions) {
        versions_.pop_front();
    }
}

const std::string &ConfigurationUpdates::encodedFrom(std::uint64_t baseVersion)
{
    const auto base = std::find_if(versions_.begin(), versions_.end(),
        [baseVersion](const RouteConfiguration &known) { return known.version == baseVersion; });
    if (base == versions_.end()) {
        return encodedWhole();
    }
    const auto [found, isNew] = encoded_.try_emplace(baseVersion);
    if (isNew) {
        found->second = encodeConfigurationUpdate(computeChange(*base, versions_.back()));
        if (const std::string &whole = encodedWhole(); whole.size() <= found->second.size()) {
            found->second = whole;
        }
    }
    return found->second;
}

const std::string &ConfigurationUpdates::encodedWhole()
{
    const auto [found, isNew] = encoded_.try_emplace(0);
    if (isNew) {
        found->second = encodeConfigurationUpdate(versions_.empty() ? RouteConfiguration {} : versions_.back());
    }
    return found->second;
}

} // namespace daisyrelay
