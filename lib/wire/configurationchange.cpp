#include "daisyrelay/wire/configurationchange.h"

#include "daisyrelay/wire/codec.h"

#include "archive.h"

#include <algorithm>
#include <map>

namespace daisyrelay {

static const std::string &keyOf(const DatabaseRoute &route)
{
    return route.database;
}

static const std::string &keyOf(const ServiceLimits &limits)
{
    return limits.service.value;
}

static const std::string &keyOf(const Workspace &workspace)
{
    return workspace.name.value;
}

/// Each item of \p target is kept where \p base has an equal one, so that duplicates and any order are restored.
template <typename Item>
static std::vector<ListSegment<Item>> computeSegments(const std::vector<Item> &base, const std::vector<Item> &target)
{
    std::multimap<std::string_view, std::uint32_t> positions;
    for (std::uint32_t position = 0; position < base.size(); ++position) {
        positions.emplace(keyOf(base[position]), position);
    }
    std::vector<ListSegment<Item>> segments;
    for (const Item &item : target) {
        if (!segments.empty() && segments.back().added.empty()) {
            ListSegment<Item> &last = segments.back();
            const std::uint32_t next = last.firstKept + last.keptCount;
            if (next < base.size() && base[next] == item) {
                ++last.keptCount;
                continue;
            }
        }
        const auto [begin, end] = positions.equal_range(keyOf(item));
        const auto equal = std::find_if(begin, end, [&](const auto &entry) { return base[entry.second] == item; });
        if (equal != end) {
            segments.push_back({ equal->second, 1, {} });
            continue;
        }
        if (segments.empty()) {
            segments.emplace_back();
        }
        segments.back().added.push_back(item);
    }
    return segments;
}

/// \returns false if \p segments refer to items that \p base does not have.
template <typename Item>
static bool applySegments(
    const std::vector<Item> &base, const std::vector<ListSegment<Item>> &segments, std::vector<Item> &result)
{
    for (const ListSegment<Item> &segment : segments) {
        if (segment.firstKept > base.size() || segment.keptCount > base.size() - segment.firstKept) {
            return false;
        }
        // A forged change could otherwise repeat the list as often as it has segments.
        constexpr std::size_t MaxItems = 100000;
        if (result.size() + segment.keptCount + segment.added.size() > MaxItems) {
            return false;
        }
        const auto first = base.begin() + segment.firstKept;
        result.insert(result.end(), first, first + segment.keptCount);
        result.insert(result.end(), segment.added.begin(), segment.added.end());
    }
    return true;
}

static std::uint64_t checksumOf(const RouteConfiguration &configuration)
{
    return stableHash(encodeValue(configuration));
}

ConfigurationChange computeChange(const RouteConfiguration &base, const RouteConfiguration &target)
{
    ConfigurationChange change;
    change.baseVersion = base.version;
    change.version = target.version;
    change.routes = computeSegments(base.routes, target.routes);
    change.services = computeSegments(base.services, target.services);
    change.workspaces = computeSegments(base.workspaces, target.workspaces);
    change.requiresKeys = target.requiresKeys;
    change.transactionIdleTimeout = target.transactionIdleTimeout;
    change.maxMessageBytes = target.maxMessageBytes;
    change.checksum = checksumOf(target);
    return change;
}

Expected<RouteConfiguration> applyChange(const RouteConfiguration &base, const ConfigurationChange &change)
{
    if (change.baseVersion != base.version) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "change of another version" });
    }
    RouteConfiguration result;
    result.version = change.version;
    if (!applySegments(base.routes, change.routes, result.routes)
        || !applySegments(base.services, change.services, result.services)
        || !applySegments(base.workspaces, change.workspaces, result.workspaces)) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "change refers to missing items" });
    }
    result.requiresKeys = change.requiresKeys;
    result.transactionIdleTimeout = change.transactionIdleTimeout;
    result.maxMessageBytes = change.maxMessageBytes;
    if (checksumOf(result) != change.checksum) {
        return tl::unexpected(Error { ErrorKind::BadRequest, "change of another configuration" });
    }
    return result;
}

std::string encodeConfigurationUpdate(const ConfigurationUpdate &update)
{
    return encodeValue(update);
}

Expected<ConfigurationUpdate> decodeConfigurationUpdate(std::string_view bytes)
{
    return decodeValue<ConfigurationUpdate>(bytes, MaxPeerMessageBytes);
}

} // namespace daisyrelay
