// Requests of the operators' tool to one VM.
#pragma once

#include "daisyrelay/ctl/commands.h"
#include "daisyrelay/net.h"

#include <optional>
#include <string>

#include <boost/json/value.hpp>

namespace daisyrelay {

/// The answer to one request, or the exit code that the tool ends with.
struct CtlResponse {
    CtlExit exit = CtlExit::Success;
    boost::json::value body; ///< Valid if exit is Success.
};

/// Sends a request and prints the problem, if any, to standard error.
/// \param exitWithoutResponse The exit code if no answer came: Unreachable for reads, Unknown for changes.
CtlResponse sendRequest(
    const CtlOptions &options, const HttpRequest &request, CtlExit exitWithoutResponse = CtlExit::Unreachable);

/// Sends a GET request.
CtlResponse sendGet(const CtlOptions &options, const std::string &target);

} // namespace daisyrelay
