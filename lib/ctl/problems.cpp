#include "problems.h"

#include "output.h"

#include <cstdint>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::int64_t LongLagMs = 5000;

static const json::array &rowsOf(const json::object &status, std::string_view key)
{
    static const json::array None;
    const json::value *value = status.if_contains(key);
    return value != nullptr && value->is_array() ? value->as_array() : None;
}

static std::string fieldOf(const json::value &row, std::string_view key)
{
    const json::value *value = row.is_object() ? row.as_object().if_contains(key) : nullptr;
    return value == nullptr ? "" : cellText(*value);
}

static std::int64_t numberOf(const json::value &row, std::string_view key)
{
    const json::value *value = row.is_object() ? row.as_object().if_contains(key) : nullptr;
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

static void findLease(const json::object &status, std::vector<std::string> &problems)
{
    const json::value *live = status.if_contains("lease_live");
    if (live != nullptr && live->is_bool() && !live->as_bool()) {
        problems.emplace_back("this VM holds no live lease: it refuses writes and reads only within freshness");
    }
    if (numberOf(status, "config_version") == 0) {
        problems.emplace_back("no configuration is in force on this VM");
    }
}

static void findGroups(const json::object &status, std::vector<std::string> &problems)
{
    for (const json::value &group : rowsOf(status, "groups")) {
        if (fieldOf(group, "primary").empty()) {
            problems.push_back("group " + fieldOf(group, "service") + "/" + fieldOf(group, "group")
                + " has no primary: its writes are refused");
        }
    }
}

static void findVms(const json::object &status, std::vector<std::string> &problems)
{
    for (const json::value &vm : rowsOf(status, "vms")) {
        const std::string state = fieldOf(vm, "state");
        if (state == "dead" || state == "suspect") {
            problems.push_back("VM " + fieldOf(vm, "id") + " in " + fieldOf(vm, "zone") + " is " + state);
        }
        if (fieldOf(vm, "draining") == "true") {
            problems.push_back("VM " + fieldOf(vm, "id") + " is draining");
        }
        const std::int64_t version = numberOf(vm, "config_version");
        if (state != "dead" && version != 0 && version < numberOf(status, "config_version")) {
            problems.push_back("VM " + fieldOf(vm, "id") + " still applies configuration " + std::to_string(version));
        }
    }
}

static void findBackends(const json::object &status, std::vector<std::string> &problems)
{
    for (const json::value &backend : rowsOf(status, "backends")) {
        const std::string name = "backend server " + fieldOf(backend, "id");
        if (numberOf(backend, "lag_ms") > LongLagMs) {
            problems.push_back(name + " is " + fieldOf(backend, "lag_ms") + " ms behind its primary");
        }
        if (fieldOf(backend, "leaving") == "true") {
            problems.push_back(name + " is leaving");
        }
        if (fieldOf(backend, "duplicate") == "true") {
            problems.push_back(name + " is announced from two addresses");
        }
        if (fieldOf(backend, "home").empty()) {
            problems.push_back(name + " has no home: only fixed shares reach it");
        }
    }
}

std::vector<std::string> problemsIn(const json::object &status)
{
    std::vector<std::string> problems;
    findLease(status, problems);
    findGroups(status, problems);
    findVms(status, problems);
    findBackends(status, problems);
    return problems;
}

} // namespace daisyrelay
