#include "client.h"

#include <iostream>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr Duration RequestTimeout = std::chrono::seconds(8);
static constexpr int FirstErrorStatus = 300;

static std::string stringField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

static CtlExit reportProblem(const json::value &problem)
{
    if (!problem.is_object()) {
        std::cerr << "daisyrelayctl: the request was refused without a reason\n";
        return CtlExit::Rejected;
    }
    const json::object &fields = problem.as_object();
    std::cerr << "daisyrelayctl: " << stringField(fields, "kind") << ": " << stringField(fields, "detail") << "\n";
    return stringField(fields, "ran") == "unknown" ? CtlExit::Unknown : CtlExit::Rejected;
}

CtlResponse sendRequest(const CtlOptions &options, const HttpRequest &request, CtlExit exitWithoutResponse)
{
    const std::optional<HttpResponse> response = sendRequestAndWait(options.server, request, RequestTimeout);
    if (!response) {
        std::cerr << "daisyrelayctl: no response from " << options.server.host << ":" << options.server.port << "\n";
        return { exitWithoutResponse, nullptr };
    }
    boost::system::error_code error;
    json::value body = json::parse(response->body, error);
    if (response->status >= FirstErrorStatus) {
        return { reportProblem(error ? json::value() : body), nullptr };
    }
    if (error) {
        std::cerr << "daisyrelayctl: the response is not valid JSON\n";
        return { exitWithoutResponse, nullptr };
    }
    return { CtlExit::Success, std::move(body) };
}

CtlResponse sendGet(const CtlOptions &options, const std::string &target)
{
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    return sendRequest(options, request);
}

} // namespace daisyrelay
