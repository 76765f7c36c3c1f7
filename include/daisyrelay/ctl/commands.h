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
    Rejected = 1, ///< The system rejected the request; nothing was changed.
    Usage = 2,
    Unreachable = 3, ///< No VM responded.
    Unknown = 4, ///< The outcome of a change is unknown; run the command again with the same change id.
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
    std::string changeId; ///< For config set; generated if empty.
    std::optional<std::uint64_t> version; ///< Expected version for config set; read from the VM if not given.
};

/// Runs a subcommand such as { "config", "get" }.
CtlExit runCommand(const CtlOptions &options, const std::vector<std::string> &words);

/// Returns the help for the subcommand named by \p words, or for all subcommands if \p words names none.
std::string helpText(const std::vector<std::string> &words);

} // namespace daisyrelay
