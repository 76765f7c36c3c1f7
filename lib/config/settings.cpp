#include "daisyrelay/config/settings.h"

#include "yamlreader.h"

#include <array>
#include <fstream>
#include <sstream>

namespace daisyrelay {

static constexpr std::size_t MinSecretLength = 16;

static Policy readPolicy(YamlReader &reader, const YAML::Node &root)
{
    static constexpr std::array Names { std::pair("default", Policy::Default),
        std::pair("primary-reads", Policy::PrimaryReads), std::pair("round-robin", Policy::RoundRobin),
        std::pair("fixed-shares", Policy::FixedShares), std::pair("no-admission", Policy::NoAdmission) };
    const std::string name = reader.readString(root, "policy", "default");
    for (const auto &[known, policy] : Names) {
        if (name == known) {
            return policy;
        }
    }
    reader.fail(root["policy"], "policy", "must be default, primary-reads, round-robin, fixed-shares or no-admission");
    return Policy::Default;
}

static void readRoles(YamlReader &reader, const YAML::Node &node, Settings &settings)
{
    settings.isEntry = false;
    if (!node || !node.IsSequence() || node.size() == 0) {
        reader.fail(node, "roles", "must list entry, control or both");
        return;
    }
    for (const auto &role : node) {
        const std::string name = role.IsScalar() ? role.Scalar() : "";
        if (name == "entry") {
            settings.isEntry = true;
        } else if (name == "control") {
            settings.isControlVm = true;
        } else {
            reader.fail(role, "roles", "unknown role '" + name + "'");
        }
    }
}

static void readSeeds(YamlReader &reader, const YAML::Node &node, Settings &settings)
{
    if (!node || !node.IsSequence()) {
        reader.fail(node, "seeds", "must be a list");
        return;
    }
    for (const auto &entry : node) {
        if (!reader.checkMap(entry, "seeds", { "id", "peer", "control" })) {
            return;
        }
        Seed seed;
        seed.id = VmId { reader.requireString(entry, "id") };
        seed.peer = reader.readEndpoint(entry, "peer");
        seed.isControlVm = reader.readBool(entry, "control", false);
        settings.seeds.push_back(std::move(seed));
    }
}

static Settings readSettings(YamlReader &reader, const YAML::Node &root)
{
    Settings settings;
    if (!reader.checkMap(root, "",
            { "id", "zone", "region", "roles", "http", "peer", "data_folder", "secret", "seeds", "transaction_idle",
                "drain_limit", "policy", "drain_notice", "fault_injection" })) {
        return settings;
    }
    settings.id = VmId { reader.requireString(root, "id") };
    settings.zone = ZoneId { reader.requireString(root, "zone") };
    settings.region = reader.requireString(root, "region");
    readRoles(reader, root["roles"], settings);
    settings.http = reader.readEndpoint(root, "http");
    settings.peer = reader.readEndpoint(root, "peer");
    settings.dataFolder = reader.readString(root, "data_folder", "");
    if (settings.isControlVm && settings.dataFolder.empty()) {
        reader.fail(root, "data_folder", "is required for the role control");
    }
    settings.secret = reader.requireString(root, "secret");
    if (settings.secret.size() < MinSecretLength) {
        reader.fail(root["secret"], "secret", "must have at least 16 characters");
    }
    readSeeds(reader, root["seeds"], settings);
    settings.transactionIdleTimeout = reader.readDuration(root, "transaction_idle", settings.transactionIdleTimeout);
    settings.policy = readPolicy(reader, root);
    settings.drainTimeout = reader.readDuration(root, "drain_limit", settings.drainTimeout);
    settings.drainNoticePeriod = reader.readDuration(root, "drain_notice", settings.drainNoticePeriod);
    settings.isFaultInjectionEnabled = reader.readBool(root, "fault_injection", settings.isFaultInjectionEnabled);
    return settings;
}

Expected<Settings> parseSettings(const std::string &text, const std::string &fileName)
{
    YamlReader reader(fileName);
    const YAML::Node root = reader.parse(text);
    Settings settings;
    if (reader.ok()) {
        settings = readSettings(reader, root);
    }
    if (!reader.ok()) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, reader.error() });
    }
    return settings;
}

Expected<Settings> loadSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, fileName + ": cannot be read" });
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), fileName);
}

} // namespace daisyrelay
