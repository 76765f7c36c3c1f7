#include "configcommands.h"

#include "client.h"
#include "output.h"
#include "textdiff.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::string_view ConfigPath = "/v1/config";

static std::string generateChangeId()
{
    constexpr int WordCount = 4;
    constexpr int HexDigitsPerWord = 8;
    std::random_device source;
    std::ostringstream out;
    for (int word = 0; word < WordCount; ++word) {
        out << std::hex << std::setw(HexDigitsPerWord) << std::setfill('0') << source();
    }
    return out.str();
}

static Expected<Configuration> readConfigurationFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, fileName + ": cannot be read" });
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseConfiguration(text.str(), fileName);
}

static CtlExit reportInvalidFile(const Error &error)
{
    std::cerr << "daisyrelayctl: " << error.detail << "\n";
    return CtlExit::Invalid;
}

static Expected<Configuration> parseConfigResponse(const json::value &response)
{
    return parseConfiguration(json::serialize(response.at("config")), "the response");
}

CtlExit configGet(const CtlOptions &options)
{
    const CtlResponse response = sendGet(options, std::string(ConfigPath));
    if (response.exit != CtlExit::Success) {
        return response.exit;
    }
    if (options.output == OutputFormat::Json) {
        printValue(std::cout, options.output, response.body);
        return CtlExit::Success;
    }
    std::cout << "# version " << cellText(response.body.at("version")) << "\n";
    if (const Expected<Configuration> parsed = parseConfigResponse(response.body); parsed) {
        std::cout << toYaml(*parsed);
    }
    return CtlExit::Success;
}

CtlExit configValidate(const std::string &fileName)
{
    if (const Expected<Configuration> parsed = readConfigurationFile(fileName); !parsed) {
        return reportInvalidFile(parsed.error());
    }
    std::cout << fileName << ": valid\n";
    return CtlExit::Success;
}

CtlExit configSet(const CtlOptions &options, const std::string &fileName)
{
    const Expected<Configuration> parsed = readConfigurationFile(fileName);
    if (!parsed) {
        return reportInvalidFile(parsed.error());
    }
    std::optional<std::uint64_t> version = options.version;
    if (!version) {
        const CtlResponse current = sendGet(options, std::string(ConfigPath));
        if (current.exit != CtlExit::Success) {
            return current.exit;
        }
        version = current.body.at("version").to_number<std::uint64_t>();
    }
    HttpRequest request;
    request.method = "PUT";
    request.target = std::string(ConfigPath);
    request.body = toJson(*parsed);
    request.ifMatch = std::to_string(*version);
    request.changeId = options.changeId.empty() ? generateChangeId() : options.changeId;
    const CtlResponse response = sendRequest(options, request, CtlExit::Unknown);
    if (response.exit == CtlExit::Success) {
        std::cout << "accepted as version " << cellText(response.body.at("version")) << "\n";
    } else if (response.exit == CtlExit::Unknown) {
        std::cerr << "daisyrelayctl: the outcome is unknown; send the change again with --change_id "
                  << request.changeId << " --expect_version " << *version << "\n";
    }
    return response.exit;
}

CtlExit configDiff(const CtlOptions &options, const std::string &fileName)
{
    const Expected<Configuration> parsed = readConfigurationFile(fileName);
    if (!parsed) {
        return reportInvalidFile(parsed.error());
    }
    const CtlResponse response = sendGet(options, std::string(ConfigPath));
    if (response.exit != CtlExit::Success) {
        return response.exit;
    }
    const Expected<Configuration> current = parseConfigResponse(response.body);
    for (const std::string &line : diffLines(current ? toYaml(*current) : "", toYaml(*parsed))) {
        std::cout << line << "\n";
    }
    return CtlExit::Success;
}

CtlExit configHistory(const CtlOptions &options)
{
    const CtlResponse response = sendGet(options, "/v1/config/history");
    if (response.exit == CtlExit::Success) {
        printValue(std::cout, options.output, response.body.at("history"));
    }
    return response.exit;
}

CtlExit showClasses(const CtlOptions &options)
{
    const CtlResponse response = sendGet(options, std::string(ConfigPath));
    if (response.exit != CtlExit::Success) {
        return response.exit;
    }
    const Expected<Configuration> configuration = parseConfigResponse(response.body);
    json::array rows;
    if (configuration) {
        for (const auto &[id, target] : configuration->classes) {
            rows.emplace_back(json::object { { "class", id.value }, { "freshness_ms", target.freshness.count() },
                { "latency_p99_ms", target.latencyP99.count() }, { "repeatable", target.isRepeatable },
                { "durability", target.durability == Durability::Local ? "local" : "replicated" } });
        }
    }
    printValue(std::cout, options.output, rows);
    return CtlExit::Success;
}

} // namespace daisyrelay
