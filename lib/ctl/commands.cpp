#include "daisyrelay/ctl/commands.h"

#include "client.h"
#include "configcommands.h"
#include "output.h"
#include "problems.h"

#include <array>
#include <functional>
#include <iostream>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

namespace {

/// A subcommand with its help.
struct Command {
    std::string_view name; ///< One or two words, such as "config set".
    std::string_view argument; ///< Argument, such as "FILE"; empty if the command takes none.
    std::string_view summary;
    std::string_view details;
    std::function<CtlExit(const CtlOptions &, const std::string &argument)> run;
};

} // namespace

static void printSection(const json::object &status, std::string_view key, std::string_view title)
{
    const json::value *rows = status.if_contains(key);
    if (rows == nullptr) {
        return;
    }
    std::cout << "\n" << title << "\n";
    printValue(std::cout, OutputFormat::Table, *rows);
}

static CtlExit showStatus(const CtlOptions &options)
{
    const CtlResponse response = sendGet(options, "/v1/status");
    if (response.exit != CtlExit::Success) {
        return response.exit;
    }
    if (options.output != OutputFormat::Table) {
        printValue(std::cout, options.output, response.body);
        return CtlExit::Success;
    }
    const json::object &status = response.body.as_object();
    const std::vector<std::string> problems = findProblems(status);
    std::cout << (problems.empty() ? "no problems found\n" : "PROBLEMS\n");
    for (const std::string &problem : problems) {
        std::cout << "  " << problem << "\n";
    }
    std::cout << "\nseen by VM " << cellText(status.at("vm")) << " in " << cellText(status.at("zone"))
              << ", configuration " << cellText(status.at("config_version")) << "\n";
    printSection(status, "vms", "VMs");
    printSection(status, "entries", "leases");
    printSection(status, "groups", "groups");
    printSection(status, "backends", "backend servers");
    return CtlExit::Success;
}

static CtlExit showStatusSection(const CtlOptions &options, std::string_view section)
{
    const CtlResponse response = sendGet(options, "/v1/status");
    if (response.exit == CtlExit::Success) {
        printValue(std::cout, options.output, response.body.at(section));
    }
    return response.exit;
}

static CtlExit drainVm(const CtlOptions &options)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/drain";
    return sendRequest(options, request, CtlExit::Unknown).exit;
}

static const std::vector<Command> &commands()
{
    static const std::vector<Command> AllCommands {
        { "status", "", "problems, VMs, leases, groups and backend servers as seen by one VM", "",
            [](const CtlOptions &options, const std::string &) { return showStatus(options); } },
        { "config get", "", "the configuration in force on the VM, with its version", "",
            [](const CtlOptions &options, const std::string &) { return configGet(options); } },
        { "config set", "FILE", "replaces the configuration",
            "The change is accepted only if the configuration still has the expected version, which is read first\n"
            "unless --expect_version names it. After a lost response, send the change again with the same "
            "--change_id.\n",
            [](const CtlOptions &options, const std::string &file) { return configSet(options, file); } },
        { "config diff", "FILE", "the lines that config set would change", "",
            [](const CtlOptions &options, const std::string &file) { return configDiff(options, file); } },
        { "config validate", "FILE", "checks a configuration file without contacting a VM", "",
            [](const CtlOptions &, const std::string &file) { return configValidate(file); } },
        { "config history", "", "the last accepted changes", "",
            [](const CtlOptions &options, const std::string &) { return configHistory(options); } },
        { "classes", "", "the classes and their targets", "",
            [](const CtlOptions &options, const std::string &) { return showClasses(options); } },
        { "backends", "", "the backend servers with their lag and home", "",
            [](const CtlOptions &options, const std::string &) { return showStatusSection(options, "backends"); } },
        { "counters", "", "responses, refusals and retries, by reason", "",
            [](const CtlOptions &options, const std::string &) { return showStatusSection(options, "counters"); } },
        { "drain", "", "shuts the VM down after its open requests and transactions have ended", "",
            [](const CtlOptions &options, const std::string &) { return drainVm(options); } },
    };
    return AllCommands;
}

static std::string usageLine(const Command &command)
{
    std::string line = "daisyrelayctl " + std::string(command.name);
    if (!command.argument.empty()) {
        line += " " + std::string(command.argument);
    }
    return line;
}

static const Command *findCommand(const std::vector<std::string> &words, std::size_t &commandWords)
{
    constexpr std::size_t MaxCommandWords = 2;
    for (commandWords = std::min(MaxCommandWords, words.size()); commandWords > 0; --commandWords) {
        const std::string name = commandWords == 1 ? words[0] : words[0] + " " + words[1];
        for (const Command &command : commands()) {
            if (command.name == name) {
                return &command;
            }
        }
    }
    return nullptr;
}

std::string helpText(const std::vector<std::string> &words)
{
    std::size_t commandWords = 0;
    if (const Command *command = findCommand(words, commandWords); command != nullptr) {
        return usageLine(*command) + "\n  " + std::string(command->summary) + "\n" + std::string(command->details);
    }
    std::string text = "daisyrelayctl [--server HOST:PORT] [--output table|json|yaml] COMMAND [--help]\n";
    for (const Command &command : commands()) {
        text += "  " + usageLine(command).substr(std::string_view("daisyrelayctl ").size()) + "\n      "
            + std::string(command.summary) + "\n";
    }
    text += "exit codes: 0 done, 1 refused and nothing changed, 2 usage, 3 no VM responded, 4 outcome unknown,\n"
            "            5 invalid file\n";
    return text;
}

CtlExit runCommand(const CtlOptions &options, const std::vector<std::string> &words)
{
    std::size_t commandWords = 0;
    const Command *command = findCommand(words, commandWords);
    const std::size_t expectedWords
        = command != nullptr && !command->argument.empty() ? commandWords + 1 : commandWords;
    if (command == nullptr || words.size() != expectedWords) {
        std::cerr << helpText(words);
        return CtlExit::Usage;
    }
    return command->run(options, command->argument.empty() ? "" : words.back());
}

} // namespace daisyrelay
