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

static std::string newChangeId()
{
    constexpr int Parts = 4;
    constexpr int HexDigits = 8;
    std::random_device source;
    std::ostringstream out;
    for (int part = 0; part < Parts; ++part) {
        out << std::hex << std::setw(HexDigits) << std::setfill('0') << source();
    }
    return out.str();
}

static Expected<Configuration> readFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, fileName + ": can not be read" });
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseConfiguration(text.str(), fileName);
}

static CtlExit invalid(const Error &error)
{
    std::cerr << "daisyrelayctl: " << error.detail << "\n";
    return CtlExit::Invalid;
}

static Expected<Configuration> configurationIn(const json::value &answer)
{
    return parseConfiguration(json::serialize(answer.at("config")), "the answer");
}

CtlExit configGet(const CtlOptions &options)
{
    const CtlAnswer answer = getFrom(options, std::string(ConfigPath));
    if (answer.exit != CtlExit::Success) {
        return answer.exit;
    }
    if (options.output == OutputFormat::Json) {
        printValue(std::cout, options.output, answer.body);
        return CtlExit::Success;
    }
    std::cout << "# version " << cellText(answer.body.at("version")) << "\n";
    if (const Expected<Configuration> parsed = configurationIn(answer.body); parsed) {
        std::cout << toYaml(*parsed);
    }
    return CtlExit::Success;
}

CtlExit configValidate(const std::string &fileName)
{
    if (const Expected<Configuration> parsed = readFile(fileName); !parsed) {
        return invalid(parsed.error());
    }
    std::cout << fileName << ": valid\n";
    return CtlExit::Success;
}

CtlExit configSet(const CtlOptions &options, const std::string &fileName)
{
    const Expected<Configuration> parsed = readFile(fileName);
    if (!parsed) {
        return invalid(parsed.error());
    }
    std::optional<std::uint64_t> version = options.version;
    if (!version) {
        const CtlAnswer current = getFrom(options, std::string(ConfigPath));
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
    request.changeId = options.changeId.empty() ? newChangeId() : options.changeId;
    const CtlAnswer answer = callServer(options, request, CtlExit::Unknown);
    if (answer.exit == CtlExit::Success) {
        std::cout << "accepted as version " << cellText(answer.body.at("version")) << "\n";
    } else if (answer.exit == CtlExit::Unknown) {
        std::cerr << "daisyrelayctl: send it again with --change_id " << request.changeId << " --expect_version "
                  << *version << "\n";
    }
    return answer.exit;
}

CtlExit configDiff(const CtlOptions &options, const std::string &fileName)
{
    const Expected<Configuration> parsed = readFile(fileName);
    if (!parsed) {
        return invalid(parsed.error());
    }
    const CtlAnswer answer = getFrom(options, std::string(ConfigPath));
    if (answer.exit != CtlExit::Success) {
        return answer.exit;
    }
    const Expected<Configuration> current = configurationIn(answer.body);
    for (const std::string &line : diffLines(current ? toYaml(*current) : "", toYaml(*parsed))) {
        std::cout << line << "\n";
    }
    return CtlExit::Success;
}

CtlExit configHistory(const CtlOptions &options)
{
    const CtlAnswer answer = getFrom(options, "/v1/config/history");
    if (answer.exit == CtlExit::Success) {
        printValue(std::cout, options.output, answer.body.at("history"));
    }
    return answer.exit;
}

CtlExit showClasses(const CtlOptions &options)
{
    const CtlAnswer answer = getFrom(options, std::string(ConfigPath));
    if (answer.exit != CtlExit::Success) {
        return answer.exit;
    }
    const Expected<Configuration> configuration = configurationIn(answer.body);
    json::array rows;
    if (configuration) {
        for (const auto &[id, target] : configuration->classes) {
            rows.emplace_back(json::object { { "class", id.value }, { "freshness_ms", target.freshness.count() },
                { "latency_p99_ms", target.latencyP99.count() }, { "repeatable", target.repeatable },
                { "durability", target.durability == Durability::Local ? "local" : "replicated" } });
        }
    }
    printValue(std::cout, options.output, rows);
    return CtlExit::Success;
}

} // namespace daisyrelay
