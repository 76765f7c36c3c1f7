// The subcommands of daisyrelayctl.
#pragma once

#include "daisyrelay/config.h"

#include <optional>
#include <string>
#include <vector>

namespace daisyrelay {

/// Exit codes of daisyrelayctl.
enum class CtlExit : int {
    Success = 0,
    Refused = 1, ///< The system refused the request; nothing was changed.
    Usage = 2,
    Unreachable = 3, ///< No VM answered.
    Unknown = 4, ///< It is not known whether a change took effect; run it again with the same change id.
    Invalid = 5, ///< The file is not a valid configuration.
};

enum class OutputFormat : std::uint8_t {
    Table,
    Json,
    Yaml,
};

struct CtlOptions {
    Endpoint server;
    OutputFormat output = OutputFormat::Table;
    std::string changeId; ///< For config set; a new one is made if it is empty.
    std::optional<std::uint64_t> version; ///< For config set; read from the VM if it is not given.
};

/// Runs a subcommand such as { "config", "get" }.
CtlExit runCommand(const CtlOptions &options, const std::vector<std::string> &words);

/// Returns the help of all subcommands, or of the one named by \p words.
std::string helpText(const std::vector<std::string> &words);

} // namespace daisyrelay
