#include "daisyrelay/config/configurationcodec.h"

#include "yamlreader.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::chrono::milliseconds MaxDuration = std::chrono::hours(24);

Expected<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, number);
    const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
    if (status != std::errc() || number < 0 || number > MaxDuration.count()) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, "must be a duration such as 50ms or 5s" });
    }
    std::chrono::milliseconds value(number);
    if (unit == "s") {
        value = std::chrono::seconds(number);
    } else if (unit == "m") {
        value = std::chrono::minutes(number);
    } else if (unit != "ms") {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, "must be a duration such as 50ms or 5s" });
    }
    if (value > MaxDuration) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, "must be at most 24 hours" });
    }
    return value;
}

static ClassTarget readClass(YamlReader &reader, const YAML::Node &node, const std::string &key)
{
    ClassTarget target;
    if (!reader.checkMap(node, key, { "freshness", "latency", "repeatable", "durability" })) {
        return target;
    }
    target.freshness = reader.readDuration(node, "freshness", target.freshness);
    target.isRepeatable = reader.readBool(node, "repeatable", target.isRepeatable);
    if (const YAML::Node latency = node["latency"]; latency) {
        if (reader.checkMap(latency, key + ".latency", { "p99" })) {
            target.latencyP99 = reader.readDuration(latency, "p99", target.latencyP99);
        }
    }
    if (target.latencyP99.count() == 0) {
        reader.fail(node, key + ".latency.p99", "must be greater than zero");
    }
    const std::string durability = reader.readString(node, "durability", "replicated");
    if (durability != "replicated" && durability != "local") {
        reader.fail(node["durability"], key + ".durability", "must be replicated or local");
    }
    target.durability = durability == "local" ? Durability::Local : Durability::Replicated;
    return target;
}

static void readRanges(YamlReader &reader, const YAML::Node &node, const std::string &key, ServiceConfig &service)
{
    if (!node.IsSequence()) {
        reader.fail(node, key, "must be a list");
        return;
    }
    for (const auto &entry : node) {
        if (!reader.checkMap(entry, key, { "from", "group" })) {
            return;
        }
        KeyRange range { reader.readString(entry, "from", ""), GroupId { reader.requireString(entry, "group") } };
        if (!service.hasGroup(range.group)) {
            reader.fail(entry, key + ".group", "must be a group of the service");
        }
        if (!service.ranges.empty() && service.ranges.back().from >= range.from) {
            reader.fail(entry, key + ".from", "must be greater than in the preceding range");
        }
        service.ranges.push_back(std::move(range));
    }
}

static ServiceConfig readService(YamlReader &reader, const YAML::Node &node, const std::string &key)
{
    ServiceConfig service;
    if (!reader.checkMap(node, key, { "groups", "ranges" })) {
        return service;
    }
    const YAML::Node groups = node["groups"];
    if (!groups || !groups.IsSequence() || groups.size() == 0) {
        reader.fail(node, key + ".groups", "must list at least one group");
        return service;
    }
    for (const auto &group : groups) {
        if (!group.IsScalar() || group.Scalar().empty() || service.hasGroup(GroupId { group.Scalar() })) {
            reader.fail(group, key + ".groups", "must hold distinct names");
            return service;
        }
        service.groups.push_back(GroupId { group.Scalar() });
    }
    if (const YAML::Node ranges = node["ranges"]; ranges) {
        readRanges(reader, ranges, key + ".ranges", service);
    }
    return service;
}

static Configuration readConfiguration(YamlReader &reader, const YAML::Node &root)
{
    Configuration configuration;
    if (!reader.checkMap(root, "", { "classes", "services" })) {
        return configuration;
    }
    for (const char *key : { "classes", "services" }) {
        if (!root[key] || !root[key].IsMap()) {
            reader.fail(root, key, "must be a map");
            return configuration;
        }
    }
    for (const auto &entry : root["classes"]) {
        const std::string name = entry.first.Scalar();
        configuration.classes[ClassId { name }] = readClass(reader, entry.second, "classes." + name);
    }
    for (const auto &entry : root["services"]) {
        const std::string name = entry.first.Scalar();
        configuration.services[ServiceId { name }] = readService(reader, entry.second, "services." + name);
    }
    return configuration;
}

Expected<Configuration> parseConfiguration(const std::string &text, const std::string &fileName)
{
    YamlReader reader(fileName);
    const YAML::Node root = reader.parse(text);
    Configuration configuration;
    if (reader.ok()) {
        configuration = readConfiguration(reader, root);
    }
    if (!reader.ok()) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, reader.error() });
    }
    return configuration;
}

static std::string formatDuration(std::chrono::milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

static std::string durabilityName(Durability durability)
{
    return durability == Durability::Local ? "local" : "replicated";
}

std::string toJson(const Configuration &configuration)
{
    json::object classes;
    for (const auto &[id, target] : configuration.classes) {
        classes[id.value] = json::object { { "freshness", formatDuration(target.freshness) },
            { "latency", { { "p99", formatDuration(target.latencyP99) } } }, { "repeatable", target.isRepeatable },
            { "durability", durabilityName(target.durability) } };
    }
    json::object services;
    for (const auto &[id, service] : configuration.services) {
        json::array groups;
        for (const GroupId &group : service.groups) {
            groups.emplace_back(group.value);
        }
        json::array ranges;
        for (const KeyRange &range : service.ranges) {
            ranges.emplace_back(json::object { { "from", range.from }, { "group", range.group.value } });
        }
        services[id.value] = json::object { { "groups", std::move(groups) }, { "ranges", std::move(ranges) } };
    }
    return json::serialize(json::object { { "classes", std::move(classes) }, { "services", std::move(services) } });
}

std::string toYaml(const Configuration &configuration)
{
    YAML::Node root;
    for (const auto &[id, target] : configuration.classes) {
        YAML::Node node;
        node["freshness"] = formatDuration(target.freshness);
        node["latency"]["p99"] = formatDuration(target.latencyP99);
        node["repeatable"] = target.isRepeatable;
        node["durability"] = durabilityName(target.durability);
        root["classes"][id.value] = node;
    }
    for (const auto &[id, service] : configuration.services) {
        YAML::Node node;
        for (const GroupId &group : service.groups) {
            node["groups"].push_back(group.value);
        }
        for (const KeyRange &range : service.ranges) {
            YAML::Node entry;
            entry["from"] = range.from;
            entry["group"] = range.group.value;
            node["ranges"].push_back(entry);
        }
        root["services"][id.value] = node;
    }
    return YAML::Dump(root) + "\n";
}

} // namespace daisyrelay
