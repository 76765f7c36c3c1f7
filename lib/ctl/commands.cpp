#include "daisyrelay/ctl/commands.h"

#include "daisyrelay/net.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration RequestTimeout = std::chrono::seconds(8);
static constexpr int Ok = 200;

static std::optional<HttpResponse> call(
    const CtlOptions &options, const std::string &method, const std::string &target, const std::string &body = "")
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    return requestOnce(options.server, request, RequestTimeout);
}

static CtlExit report(const std::optional<HttpResponse> &response)
{
    if (!response) {
        std::cerr << "daisyrelayctl: no answer\n";
        return CtlExit::Unreachable;
    }
    if (response->status == Ok) {
        return CtlExit::Success;
    }
    boost::system::error_code error;
    const json::value problem = json::parse(response->body, error);
    std::string kind = "error";
    if (!error && problem.is_object() && problem.as_object().contains("kind")) {
        kind = std::string(problem.at("kind").as_string());
        std::cerr << "daisyrelayctl: " << kind << ": " << std::string(problem.at("detail").as_string()) << "\n";
        if (problem.at("ran").as_string() == "unknown") {
            return CtlExit::Unknown;
        }
    }
    return CtlExit::Refused;
}

static std::string cellText(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

static void printTable(const json::array &rows)
{
    if (rows.empty()) {
        std::cout << "(none)\n";
        return;
    }
    std::vector<std::string> columns;
    std::vector<std::size_t> widths;
    for (const auto &field : rows.front().as_object()) {
        columns.emplace_back(field.key());
        widths.push_back(columns.back().size());
    }
    for (const json::value &row : rows) {
        for (std::size_t index = 0; index < columns.size(); ++index) {
            widths[index] = std::max(widths[index], cellText(row.at(columns[index])).size());
        }
    }
    const auto printCell = [&widths](std::size_t index, const std::string &text) {
        std::cout << std::left << std::setw(static_cast<int>(widths[index]) + 2) << text;
    };
    for (std::size_t index = 0; index < columns.size(); ++index) {
        printCell(index, columns[index]);
    }
    std::cout << "\n";
    for (const json::value &row : rows) {
        for (std::size_t index = 0; index < columns.size(); ++index) {
            printCell(index, cellText(row.at(columns[index])));
        }
        std::cout << "\n";
    }
}

static CtlExit showStatus(const CtlOptions &options)
{
    const std::optional<HttpResponse> response = call(options, "GET", "/v1/status");
    if (const CtlExit code = report(response); code != CtlExit::Success) {
        return code;
    }
    if (options.output != OutputFormat::Table) {
        std::cout << response->body << "\n";
        return CtlExit::Success;
    }
    const json::value status = json::parse(response->body);
    std::cout << "VM " << cellText(status.at("vm")) << " in " << cellText(status.at("zone")) << ", lease "
              << (status.at("lease_live").as_bool() ? "live" : "NOT LIVE") << ", configuration "
              << cellText(status.at("config_version")) << "\n\ngroups\n";
    printTable(status.at("groups").as_array());
    std::cout << "\nbackend servers\n";
    printTable(status.at("backends").as_array());
    return CtlExit::Success;
}

static CtlExit configGet(const CtlOptions &options)
{
    const std::optional<HttpResponse> response = call(options, "GET", "/v1/config");
    if (const CtlExit code = report(response); code != CtlExit::Success) {
        return code;
    }
    if (options.output == OutputFormat::Json) {
        std::cout << response->body << "\n";
        return CtlExit::Success;
    }
    const json::value body = json::parse(response->body);
    std::cout << "# version " << cellText(body.at("version")) << "\n";
    if (const Expected<Configuration> parsed = parseConfiguration(json::serialize(body.at("config"))); parsed) {
        std::cout << toYaml(*parsed);
    }
    return CtlExit::Success;
}

static std::string newChangeId()
{
    std::random_device source;
    std::ostringstream out;
    for (int part = 0; part < 4; ++part) {
        out << std::hex << std::setw(8) << std::setfill('0') << source();
    }
    return out.str();
}

static Expected<Configuration> readConfiguration(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error { ErrorKind::InvalidConfig, fileName + ": can not be read" });
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseConfiguration(text.str(), fileName);
}

static CtlExit configValidate(const std::string &fileName)
{
    if (const Expected<Configuration> parsed = readConfiguration(fileName); !parsed) {
        std::cerr << "daisyrelayctl: " << parsed.error().detail << "\n";
        return CtlExit::Invalid;
    }
    std::cout << fileName << ": valid\n";
    return CtlExit::Success;
}

static CtlExit configSet(const CtlOptions &options, const std::string &fileName)
{
    const Expected<Configuration> parsed = readConfiguration(fileName);
    if (!parsed) {
        std::cerr << "daisyrelayctl: " << parsed.error().detail << "\n";
        return CtlExit::Invalid;
    }
    std::uint64_t version = options.version;
    if (version == 0) {
        const std::optional<HttpResponse> current = call(options, "GET", "/v1/config");
        if (const CtlExit code = report(current); code != CtlExit::Success) {
            return code;
        }
        version = json::parse(current->body).at("version").to_number<std::uint64_t>();
    }
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/config";
    request.body = toJson(*parsed);
    request.ifMatch = std::to_string(version);
    request.changeId = options.changeId.empty() ? newChangeId() : options.changeId;
    const std::optional<HttpResponse> response = requestOnce(options.server, request, RequestTimeout);
    if (const CtlExit code = report(response); code != CtlExit::Success) {
        std::cerr << "daisyrelayctl: change id " << request.changeId << "\n";
        return response ? code : CtlExit::Unknown;
    }
    std::cout << "accepted as version " << cellText(json::parse(response->body).at("version")) << "\n";
    return CtlExit::Success;
}

static CtlExit showPart(const CtlOptions &options, const std::string &part)
{
    const std::optional<HttpResponse> response = call(options, "GET", "/v1/status");
    if (const CtlExit code = report(response); code != CtlExit::Success) {
        return code;
    }
    const json::value value = json::parse(response->body).at(part);
    if (options.output != OutputFormat::Table) {
        std::cout << json::serialize(value) << "\n";
    } else if (value.is_array()) {
        printTable(value.as_array());
    } else {
        for (const auto &field : value.as_object()) {
            std::cout << std::left << std::setw(32) << std::string(field.key()) << cellText(field.value()) << "\n";
        }
    }
    return CtlExit::Success;
}

std::string helpText(const std::vector<std::string> & /*words*/)
{
    return "daisyrelayctl [--server HOST:PORT] [--output table|json|yaml] COMMAND\n"
           "  status                 the system as this VM sees it\n"
           "  config get             the configuration in force\n"
           "  config set FILE        change the configuration\n"
           "  config validate FILE   check a configuration file\n"
           "  backends               the backend servers\n"
           "  counters               what was refused and retried, by reason\n"
           "  drain                  shut this VM down gracefully\n";
}

CtlExit runCommand(const CtlOptions &options, const std::vector<std::string> &words)
{
    const std::string command = words.empty() ? "" : words[0];
    const std::string action = words.size() > 1 ? words[1] : "";
    if (command == "status") {
        return showStatus(options);
    }
    if (command == "backends" || command == "counters") {
        return showPart(options, command);
    }
    if (command == "drain") {
        return report(call(options, "POST", "/v1/drain"));
    }
    if (command == "config" && action == "get") {
        return configGet(options);
    }
    if (command == "config" && action == "set" && words.size() == 3) {
        return configSet(options, words[2]);
    }
    if (command == "config" && action == "validate" && words.size() == 3) {
        return configValidate(words[2]);
    }
    std::cerr << helpText(words);
    return CtlExit::Usage;
}

} // namespace daisyrelay
