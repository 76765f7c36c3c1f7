// Parsing and formatting of the HTTP calls of the platform, with valid and invalid input.
#include "platform/controlapi.h"
#include "platform/promotion.h"

#include <boost/json.hpp>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::platform;

static const char *const ValidText
    = R"({"Version":7,"Routes":[{"Name":"r","Host":"db1","PathPrefix":"/","Type":"read_your_writes","TimeoutMs":800,)"
      R"("GoalMs":250,"Priority":2,"Service":"s1","MaxStalenessMs":2500}],"Services":[{"Name":"s1","MaxConns":41,)"
      R"("SyncReplicas":1}],"Limits":{"TxIdleMs":3000,"MaxBodyBytes":262144}})";

TEST_GROUP(ControlApi) { static std::variant<ControlRequest, HttpResponse> post(
    const std::string &target, const std::string &body) { HttpRequest request;
request.method = "POST";
request.target = target;
request.body = body;
return decodeControlRequest(request);
}

static int statusOf(const std::variant<ControlRequest, HttpResponse> &decoded)
{
    const auto *response = std::get_if<HttpResponse>(&decoded);
    return response == nullptr ? 0 : response->status;
}
}
;

TEST(ControlApi, ParsesAllFieldsOfConfiguration)
{
    const Expected<RouteConfiguration> configuration = parseRouteConfiguration(ValidText);
    CHECK(configuration.has_value());
    CHECK_EQUAL(7U, configuration->version);
    CHECK_EQUAL(std::string("db1"), configuration->routes.at(0).database);
    CHECK(configuration->routes.at(0).guarantee == ReadGuarantee::ReadYourWrites);
    CHECK_EQUAL(2500, configuration->routes.at(0).maxStaleness.count());
    CHECK_EQUAL(41U, configuration->services.at(0).maxConnections);
    CHECK_EQUAL(1U, configuration->services.at(0).syncReplicas);
    CHECK_EQUAL(3000, configuration->transactionIdleTimeout.count());
}

// Guards against a workspace without any limit, because its rate of less than one operation a second became zero.
TEST(ControlApi, RateBelowOneIsALimit)
{
    const auto rateOf = [](const std::string &rate) {
        std::string text = ValidText;
        text.replace(
            text.find("\"Limits\""), 0, R"("Tenants":[{"Name":"a","ApiKeys":["k"],"RatePerS":)" + rate + "}],");
        const Expected<RouteConfiguration> configuration = parseRouteConfiguration(text);
        return configuration ? std::optional(configuration->workspaces.at(0).operationsPerSecond) : std::nullopt;
    };
    CHECK(rateOf("0.4") == 1U);
    CHECK(rateOf("0") == 0U);
    CHECK(rateOf("1.9") == 1U);
}

TEST(ControlApi, ReadsWorkspacesAndRejectsInvalidOnes)
{
    const auto parseWith = [](const std::string &workspaces) {
        std::string text = ValidText;
        text.replace(text.find("\"Limits\""), 0, "\"Tenants\":" + workspaces + ",");
        return parseRouteConfiguration(text);
    };
    const Expected<RouteConfiguration> configuration
        = parseWith(R"([{"Name":"a","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":193,"Burst":20},)"
                    R"({"Name":"b","ApiKeys":[],"RatePerS":7.5}])");
    CHECK(configuration.has_value());
    CHECK(configuration->requiresKeys);
    CHECK_EQUAL(2U, configuration->workspaces.at(0).keys.size());
    CHECK_EQUAL(193U, configuration->workspaces.at(0).operationsPerSecond);
    CHECK_EQUAL(20U, configuration->workspaces.at(0).burst);
    CHECK_EQUAL(7U, configuration->workspaces.at(1).operationsPerSecond);
    CHECK(parseWith("[]")->requiresKeys);
    CHECK(!parseRouteConfiguration(ValidText)->requiresKeys);
    CHECK(!parseWith(R"([{"Name":"a","ApiKeys":["k"]},{"Name":"b","ApiKeys":["k"]}])").has_value());
    CHECK(!parseWith(R"([{"Name":"a","ApiKeys":["k"]},{"Name":"a","ApiKeys":["l"]}])").has_value());
    CHECK(!parseWith(R"([{"Name":"a","ApiKeys":"k"}])").has_value());
    CHECK(!parseWith(R"([{"Name":"a","ApiKeys":[7]}])").has_value());
    CHECK(!parseWith(R"([{"Name":"a","ApiKeys":["k"],"RatePerS":-1}])").has_value());
    CHECK(!parseWith(R"([{"Name":"a","ApiKeys":["k"],"RatePerS":1e300}])").has_value());
    CHECK(!parseWith(R"([{"ApiKeys":["k"]}])").has_value());
    CHECK(!parseWith("7").has_value());
}

TEST(ControlApi, RejectsInvalidConfiguration)
{
    const auto isValidWith = [](const std::string &from, const std::string &to) {
        std::string text = ValidText;
        text.replace(text.find(from), from.size(), to);
        return parseRouteConfiguration(text).has_value();
    };
    CHECK(!isValidWith("\"Service\":\"s1\"", "\"Service\":\"other\""));
    CHECK(!isValidWith("\"TimeoutMs\":800", "\"TimeoutMs\":0"));
    CHECK(!isValidWith("\"Version\":7", "\"Version\":\"7\""));
    CHECK(!isValidWith("\"Version\":7,", ""));
    CHECK(!isValidWith("read_your_writes", "unheard_of"));
    CHECK(!parseRouteConfiguration(std::string(ValidText).substr(0, 200)).has_value());
    std::string textWithDuplicateRoute = ValidText;
    const std::size_t begin = textWithDuplicateRoute.find("{\"Name\":\"r\"");
    const std::string route = textWithDuplicateRoute.substr(begin, textWithDuplicateRoute.find(']') - begin);
    textWithDuplicateRoute.insert(begin, route + ",");
    CHECK(!parseRouteConfiguration(textWithDuplicateRoute).has_value());
}

TEST(ControlApi, ParsesHeartbeatAndRejectsInvalidHeartbeats)
{
    const std::string body = R"({"Service":"s","Addr":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":3,)"
                             R"("State":"draining","ColdLeftMs":0,"DbRole":"primary","Seq":4,"born":1781115975248})";
    const auto decoded = post("/-/Instances.Heartbeat/i-7", body);
    const auto &heartbeat = std::get<BackendHeartbeat>(std::get<ControlRequest>(decoded));
    CHECK_EQUAL(std::string("i-7"), heartbeat.record.id.value);
    CHECK_EQUAL(1781115975248, heartbeat.record.startedAtMs);
    CHECK(heartbeat.record.isDraining && heartbeat.record.claimsPrimary);
    CHECK_EQUAL(8080, heartbeat.record.port);
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> { { "draining", "resting" },
             { "\"Seq\":4", "\"Seq\":\"4\"" }, { "10.0.0.9:8080", "nowhere" }, { "\"Service\":\"s\",", "" },
             { "1781115975248", "1.5" }, { "\"primary\"", "\"boss\"" } }) {
        std::string damaged = body;
        damaged.replace(damaged.find(from), from.size(), to);
        CHECK_EQUAL(400, statusOf(post("/-/Instances.Heartbeat/i-7", damaged)));
    }
    CHECK_EQUAL(400, statusOf(post("/-/Instances.Heartbeat/i-7", "\xff{")));
    CHECK_EQUAL(404, statusOf(post("/-/Unknown", "{}")));
}

static std::string nest(const std::string &opening, const std::string &closing, int depth)
{
    std::string text;
    for (int at = 0; at < depth; ++at) {
        text += opening;
    }
    text += "1";
    for (int at = 0; at < depth; ++at) {
        text += closing;
    }
    return text;
}

// An entry that another writer leaves: nested deeply, numbers too large, a port out of range, or an address that is
// none. It must name no server, and must not end the process or make a server leave.
TEST(ControlApi, RejectsOddEntries)
{
    const std::string body = R"({"Service":"s","Addr":"10.0.0.9:8080","Zone":"z","Slots":3,)"
                             R"("State":"ready","DbRole":"replica","Seq":4,"born":1781115975248})";
    CHECK_EQUAL(0, statusOf(post("/-/Instances.Heartbeat/i-7", body)));
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> { { "\"Seq\":4", "\"Seq\":1e18" },
             { "\"Seq\":4", "\"Seq\":1e400" }, { "\"Seq\":4", "\"Seq\":-1" }, { "1781115975248", "1e18" },
             { "1781115975248", "9223372036854775807" }, { "1781115975248", "18446744073709551616" },
             { "\"Slots\":3", "\"Slots\":4294967299" }, { "\"Slots\":3", "\"Slots\":[3]" }, { ":8080", ":65536" },
             { ":8080", ":0" }, { ":8080", ":-1" }, { ":8080", "" }, { "10.0.0.9", "10.0.0.999" },
             { "10.0.0.9", "database" }, { "\"s\"", "\"" + std::string(256, 's') + "\"" }, { "\"s\"", "{\"s\":1}" },
             { "\"Seq\":4", "\"x\":" + nest("[", "]", 100000) },
             { "\"Seq\":4", "\"x\":" + nest("{\"a\":", "}", 5000) } }) {
        std::string odd = body;
        odd.replace(odd.find(from), from.size(), to);
        CHECK_EQUAL(400, statusOf(post("/-/Instances.Heartbeat/i-7", odd)));
        CHECK_EQUAL(400, statusOf(post("/-/Instances.Heartbeat/" + std::string(256, 'i'), body)));
    }
    CHECK_EQUAL(0, statusOf(post("/-/Instances.Leave/i-7", "")));
    for (const std::string &odd : { std::string("{"), std::string("[]"), std::string("{\"born\":\"1\"}"),
             std::string("{\"born\":1e400}"), nest("[", "]", 100000) }) {
        CHECK_EQUAL(400, statusOf(post("/-/Instances.Leave/i-7", odd)));
    }
}

// A duration near the largest number overflows when it is added to a point in time.
TEST(ControlApi, LimitsLongDurationsAndLargeCounts)
{
    std::string text = ValidText;
    text.replace(text.find("800"), 3, "9223372036854775807");
    text.replace(text.find("2500"), 4, "9e18");
    text.replace(text.find("41"), 2, "4294967297");
    const Expected<RouteConfiguration> configuration = parseRouteConfiguration(text);
    CHECK(configuration.has_value());
    CHECK(configuration->routes.at(0).timeout <= std::chrono::hours(24 * 7));
    CHECK(configuration->routes.at(0).maxStaleness <= std::chrono::hours(24 * 7));
    CHECK(configuration->services.at(0).maxConnections > 41);
    for (const std::string &odd : { std::string("1e400"), nest("[", "]", 100000), nest("{\"a\":", "}", 5000) }) {
        text = ValidText;
        text.replace(text.find("41"), 2, odd);
        CHECK(!parseRouteConfiguration(text).has_value());
    }
}

TEST(ControlApi, ParsesOrRejectsArbitraryBytes)
{
    CHECK(rc::check([]() {
        std::string text = ValidText;
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto size = *rc::gen::inRange<std::size_t>(0, 30);
        text.replace(at, size, *rc::gen::string<std::string>());
        post("/-/Config.Put", text);
        post("/-/Instances.Heartbeat/i-1", text);
        post("/-/Instances.Leave/i-1", text);
    }));
}

TEST(ControlApi, ReturnsConfigurationUnchangedAndLeaderAddressToHeartbeats)
{
    const HttpResponse configuration = encodeControlResponse(
        ReadConfiguration {}, { ControlStatus::Done, "{\"Version\":7}", VmId { "10.0.0.1" } }, 8782);
    CHECK_EQUAL(200, configuration.status);
    CHECK_EQUAL(std::string("{\"Version\":7}"), configuration.body);
    const HttpResponse heartbeat
        = encodeControlResponse(BackendHeartbeat {}, { ControlStatus::Done, "", VmId { "10.0.0.1" } }, 8782);
    CHECK_EQUAL(std::string("{\"HeartbeatAddr\":\"10.0.0.1:8782\"}"), heartbeat.body);
    CHECK_EQUAL(503, encodeControlResponse(ReadConfiguration {}, {}, 8782).status);
}

TEST(ControlApi, PromotionCarriesRequesterAndTokenAndUnclearResponsesAreUnknown)
{
    const HttpRequest request
        = encodePromotionRequest({ ServiceId { "s" }, BackendId { "i-1" }, 42, Duration::zero() }, "core-1");
    CHECK_EQUAL(std::string("/promote"), request.target);
    CHECK_EQUAL(std::string("core-1"), request.headers.at(0).second);
    CHECK_EQUAL(std::string("42"), request.headers.at(1).second);
    HttpResponse response;
    CHECK(decodePromotionResponse(response) == PromotionOutcome::Accepted);
    response.status = 409;
    CHECK(decodePromotionResponse(response) == PromotionOutcome::Rejected);
    response.status = 429;
    CHECK(decodePromotionResponse(response) == PromotionOutcome::RateLimited);
    response.status = 500;
    CHECK(decodePromotionResponse(response) == PromotionOutcome::Unknown);
    CHECK(decodePromotionResponse(std::nullopt) == PromotionOutcome::Unknown);
}
