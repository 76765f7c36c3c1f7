// HTTP requests of daisyrelayctl to one VM.
#pragma once

#include "daisyrelay/ctl/commands.h"
#include "daisyrelay/net.h"

#include <optional>
#include <string>

#include <boost/json/value.hpp>

namespace daisyrelay {

/// The response to one request, or the exit code with which the tool ends.
struct CtlResponse {
    CtlExit exit = CtlExit::Success;
    boost::json::value body; ///< Valid if exit is Success.
};

/// Sends a request and prints an error, if any, to standard error. \param exitWithoutResponse Exit code if no valid
/// response arrives: Unreachable for reads, Unknown for changes.
CtlResponse sendRequest(
    const CtlOptions &options, const HttpRequest &request, CtlExit exitWithoutResponse = CtlExit::Unreachable);

/// Sends a GET request.
CtlResponse sendGet(const CtlOptions &options, const std::string &target);

} // namespace daisyrelay
