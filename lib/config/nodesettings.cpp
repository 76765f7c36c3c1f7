#include "daisyrelay/config/nodesettings.h"

#include "yamlreader.h"

#include <fstream>
#include <sstream>

namespace daisyrelay {

static void readRole(YamlReader &reader, const YAML::Node &root, NodeSettings &settings)
{
    const YAML::Node listen = root["listen"];
    if (!reader.checkMap(listen, "listen", { "callers", "health", "control" })) {
        return;
    }
    settings.isEntry = listen["callers"].IsDefined();
    settings.isControlVm = listen["control"].IsDefined();
    if (settings.isEntry) {
        settings.callers = reader.readEndpoint(listen, "callers");
        settings.health = reader.readEndpoint(listen, "health");
    }
    if (settings.isControlVm) {
        settings.controlApi = reader.readEndpoint(listen, "control");
        settings.dataFolder = reader.requireString(root, "data_folder");
        settings.platform = reader.readEndpoint(root, "platform");
    }
    if (!settings.isEntry && !settings.isControlVm) {
        reader.fail(listen, "listen", "must name callers or control");
    }
}

static void readSeeds(YamlReader &reader, const YAML::Node &root, NodeSettings &settings)
{
    const YAML::Node seeds = root["seeds"];
    if (!seeds || !seeds.IsSequence() || seeds.size() == 0) {
        reader.fail(seeds, "seeds", "must be a list of address:port");
        return;
    }
    for (std::size_t index = 0; index < seeds.size(); ++index) {
        YAML::Node parent;
        parent["seed"] = seeds[index];
        const Endpoint endpoint = reader.readEndpoint(parent, "seed");
        settings.seeds.push_back(VmId { endpoint.host });
        settings.controlPort = endpoint.port;
    }
}

static void readEndpointOverrides(YamlReader &reader, const YAML::Node &root, NodeSettings &settings)
{
    const YAML::Node overrides = root["reached_at"];
    if (!overrides) {
        return;
    }
    if (!overrides.IsMap()) {
        reader.fail(overrides, "reached_at", "must map addresses of VMs to address:port");
        return;
    }
    for (const auto &entry : overrides) {
        const auto vm = entry.first.as<std::string>();
        settings.endpointOverrides[VmId { vm }] = reader.readEndpoint(overrides, vm);
    }
}

static NodeSettings readNodeSettings(YamlReader &reader, const YAML::Node &root)
{
    NodeSettings settings;
    if (!reader.checkMap(root, "",
            { "address", "name", "zone", "listen", "peer_port", "seeds", "founding", "data_folder", "tolerated",
                "grace", "platform", "platform_fences", "metrics_port", "log_budget", "reached_at", "fail_closed",
                "revoked_within", "limit_window", "limit_excess", "limit_slack", "trace_reads" })) {
        return settings;
    }
    settings.id = VmId { reader.requireString(root, "address") };
    settings.name = reader.requireString(root, "name");
    settings.zone = ZoneId { reader.requireString(root, "zone") };
    readRole(reader, root, settings);
    readSeeds(reader, root, settings);
    readEndpointOverrides(reader, root, settings);
    settings.peerPort = reader.readPort(root, "peer_port", 0);
    if (settings.peerPort == 0) {
        reader.fail(root["peer_port"], "peer_port", "is required");
    }
    settings.canBootstrap = reader.readBool(root, "founding", false);
    settings.fencing
        = reader.readBool(root, "platform_fences", false) ? FencingPolicy::Platform : FencingPolicy::Leases;
    if (reader.readBool(root, "fail_closed", false)) {
        constexpr std::chrono::milliseconds DefaultRevocationBound { 5000 };
        settings.revocationBound = reader.readDuration(root, "revoked_within", DefaultRevocationBound);
        if (settings.revocationBound.count() <= 0) {
            reader.fail(root["revoked_within"], "revoked_within", "must be above 0");
        }
    }
    settings.rateLimits.window = reader.readDuration(root, "limit_window", settings.rateLimits.window);
    settings.rateLimits.excess = reader.readDecimal(root, "limit_excess", settings.rateLimits.excess);
    settings.rateLimits.slack = reader.readDecimal(root, "limit_slack", settings.rateLimits.slack);
    settings.toleratedFailures = reader.readNumber(root, "tolerated", settings.toleratedFailures);
    settings.shutdownGrace = reader.readDuration(root, "grace", settings.shutdownGrace);
    settings.metricsPort = reader.readPort(root, "metrics_port", 0);
    settings.tracesReads = reader.readBool(root, "trace_reads", false);
    settings.maxLogLinesPerSecond = reader.readNumber(root, "log_budget", settings.maxLogLinesPerSecond);
    return settings;
}

Expected<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName)
{
    YamlReader reader(fileName);
    const YAML::Node root = reader.parse(text);
    NodeSettings settings;
    if (reader.ok()) {
        settings = readNodeSettings(reader, root);
    }
    if (!reader.ok()) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, reader.error() });
    }
    return settings;
}

Expected<NodeSettings> loadNodeSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, fileName + ": cannot be read" });
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseNodeSettings(text.str(), fileName);
}

} // namespace daisyrelay
