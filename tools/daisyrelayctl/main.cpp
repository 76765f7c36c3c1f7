// daisyrelayctl, the command-line tool for operators.
#include "daisyrelay/ctl.h"

#include <iostream>

#include <gflags/gflags.h>

DEFINE_string(server, "127.0.0.1:7001", "Any entry or control VM, as host:port");
DEFINE_string(output, "table", "Output format: table, json or yaml");
DEFINE_string(change_id, "", "config set: identifier of the change, for a retry after a lost response");
DEFINE_int64(expect_version, -1, "config set: the version that the change replaces; -1 reads the current version");

int main(int argc, char **argv)
{
    std::vector<std::string> words;
    for (int index = 1; index < argc; ++index) {
        // gflags would print the flags of all libraries for --help.
        if (const std::string_view word = argv[index]; word == "--help" || word == "-h") {
            std::cout << daisyrelay::helpText(words);
            return 0;
        }
        words.emplace_back(argv[index]);
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    daisyrelay::CtlOptions options;
    const std::size_t colon = FLAGS_server.rfind(':');
    if (colon == std::string::npos || (FLAGS_output != "table" && FLAGS_output != "json" && FLAGS_output != "yaml")) {
        std::cerr << daisyrelay::helpText({});
        return static_cast<int>(daisyrelay::CtlExit::Usage);
    }
    options.server
        = { FLAGS_server.substr(0, colon), static_cast<std::uint16_t>(std::atoi(FLAGS_server.c_str() + colon + 1)) };
    options.output = FLAGS_output == "json" ? daisyrelay::OutputFormat::Json
        : FLAGS_output == "yaml"            ? daisyrelay::OutputFormat::Yaml
                                            : daisyrelay::OutputFormat::Table;
    options.changeId = FLAGS_change_id;
    if (FLAGS_expect_version >= 0) {
        options.version = static_cast<std::uint64_t>(FLAGS_expect_version);
    }
    words.assign(argv + 1, argv + argc);
    return static_cast<int>(daisyrelay::runCommand(options, words));
}
