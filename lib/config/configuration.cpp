#include "daisyrelay/config/configuration.h"

#include <algorithm>

namespace daisyrelay {

std::optional<GroupId> ServiceConfig::groupForKey(const std::string &key) const
{
    const auto after = std::upper_bound(ranges.begin(), ranges.end(), key,
        [](const std::string &value, const KeyRange &range) { return value < range.from; });
    if (after == ranges.begin()) {
        return std::nullopt;
    }
    return std::prev(after)->group;
}

bool ServiceConfig::hasGroup(const GroupId &group) const
{
    return std::find(groups.begin(), groups.end(), group) != groups.end();
}

} // namespace daisyrelay
