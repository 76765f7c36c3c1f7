// Reads typed values from YAML nodes and reports the first error with file, line and key.
#pragma once

#include "daisyrelay/config/settings.h"

#include <initializer_list>
#include <string>

#include <yaml-cpp/yaml.h>

namespace daisyrelay {

/// Keeps the first error found while reading a file. Values that cannot be read are replaced by their fallback.
class YamlReader
{
public:
    explicit YamlReader(std::string fileName);

    /// Parses \p text; records an error and returns an undefined node if it is not YAML.
    YAML::Node parse(const std::string &text);

    /// Records an error unless \p node is a map whose keys are all in \p allowed.
    bool checkMap(const YAML::Node &node, const std::string &key, std::initializer_list<std::string_view> allowed);

    std::string readString(const YAML::Node &parent, const std::string &key, const std::string &fallback);
    std::string requireString(const YAML::Node &parent, const std::string &key);
    bool readBool(const YAML::Node &parent, const std::string &key, bool fallback);

    /// Reads "address:port".
    Endpoint readEndpoint(const YAML::Node &parent, const std::string &key);
    std::uint16_t readPort(const YAML::Node &parent, const std::string &key, std::uint16_t fallback);
    std::uint32_t readNumber(const YAML::Node &parent, const std::string &key, std::uint32_t fallback);
    /// Reads a number of at least zero that may have a fraction.
    double readDecimal(const YAML::Node &parent, const std::string &key, double fallback);
    std::chrono::milliseconds readDuration(
        const YAML::Node &parent, const std::string &key, std::chrono::milliseconds fallback);

    /// Records "file:line: key: message" unless an error is recorded already.
    void fail(const YAML::Node &node, const std::string &key, const std::string &message);

    [[nodiscard]] const std::string &error() const;
    [[nodiscard]] bool ok() const;

private:
    std::string fileName_;
    std::string error_;
};

} // namespace daisyrelay
