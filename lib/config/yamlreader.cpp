#include "yamlreader.h"

#include "daisyrelay/config/configurationcodec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace daisyrelay {

YamlReader::YamlReader(std::string fileName) : fileName_(std::move(fileName))
{
}

YAML::Node YamlReader::parse(const std::string &text)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &exception) {
        error_ = fileName_ + ":" + std::to_string(exception.mark.line + 1) + ": " + exception.msg;
        return YAML::Node(YAML::NodeType::Undefined);
    }
}

bool YamlReader::checkMap(
    const YAML::Node &node, const std::string &key, std::initializer_list<std::string_view> allowed)
{
    if (!node || !node.IsMap()) {
        fail(node, key, "must be a map");
        return false;
    }
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            fail(entry.first, key, "keys must be plain text");
            return false;
        }
        const std::string name = entry.first.Scalar();
        if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
            fail(entry.first, key.empty() ? name : key + "." + name, "unknown key");
            return false;
        }
    }
    return true;
}

std::string YamlReader::readString(const YAML::Node &parent, const std::string &key, const std::string &fallback)
{
    const YAML::Node node = parent[key];
    if (!node) {
        return fallback;
    }
    if (!node.IsScalar()) {
        fail(node, key, "must be text");
        return fallback;
    }
    return node.Scalar();
}

std::string YamlReader::requireString(const YAML::Node &parent, const std::string &key)
{
    const std::string value = readString(parent, key, "");
    if (value.empty()) {
        fail(parent, key, "is required");
    }
    return value;
}

bool YamlReader::readBool(const YAML::Node &parent, const std::string &key, bool fallback)
{
    const YAML::Node node = parent[key];
    if (!node) {
        return fallback;
    }
    bool value = fallback;
    if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value)) {
        fail(node, key, "must be true or false");
    }
    return value;
}

std::chrono::milliseconds YamlReader::readDuration(
    const YAML::Node &parent, const std::string &key, std::chrono::milliseconds fallback)
{
    const YAML::Node node = parent[key];
    if (!node) {
        return fallback;
    }
    if (!node.IsScalar()) {
        fail(node, key, "must be a duration");
        return fallback;
    }
    const Expected<std::chrono::milliseconds> value = parseDuration(node.Scalar());
    if (!value) {
        fail(node, key, value.error().detail);
        return fallback;
    }
    return *value;
}

Endpoint YamlReader::readEndpoint(const YAML::Node &parent, const std::string &key)
{
    Endpoint endpoint;
    const std::string text = requireString(parent, key);
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        fail(parent[key], key, "must be address:port");
        return endpoint;
    }
    endpoint.host = text.substr(0, colon);
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(begin, end, endpoint.port);
    if (status != std::errc() || rest != end || endpoint.port == 0 || endpoint.host.empty()) {
        fail(parent[key], key, "must be address:port");
    }
    return endpoint;
}

std::uint32_t YamlReader::readNumber(const YAML::Node &parent, const std::string &key, std::uint32_t fallback)
{
    const YAML::Node node = parent[key];
    if (!node) {
        return fallback;
    }
    std::uint32_t value = fallback;
    if (!node.IsScalar() || !YAML::convert<std::uint32_t>::decode(node, value)) {
        fail(node, key, "must be a whole number");
    }
    return value;
}

double YamlReader::readDecimal(const YAML::Node &parent, const std::string &key, double fallback)
{
    const YAML::Node node = parent[key];
    if (!node) {
        return fallback;
    }
    double value = fallback;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !std::isfinite(value) || value < 0) {
        fail(node, key, "must be a number of at least 0");
        return fallback;
    }
    return value;
}

std::uint16_t YamlReader::readPort(const YAML::Node &parent, const std::string &key, std::uint16_t fallback)
{
    const std::uint32_t value = readNumber(parent, key, fallback);
    if (value > std::numeric_limits<std::uint16_t>::max()) {
        fail(parent[key], key, "must be a port");
        return fallback;
    }
    return static_cast<std::uint16_t>(value);
}

void YamlReader::fail(const YAML::Node &node, const std::string &key, const std::string &message)
{
    if (!error_.empty()) {
        return;
    }
    const int line = node.IsDefined() ? node.Mark().line + 1 : 1;
    error_ = fileName_ + ":" + std::to_string(line) + ": " + key + ": " + message;
}

const std::string &YamlReader::error() const
{
    return error_;
}

bool YamlReader::ok() const
{
    return error_.empty();
}

} // namespace daisyrelay
