#include "problems.h"

#include "output.h"

#include <cstdint>

#include <boost/json.hpp>

namespace daisyrelay {

namespace json = boost::json;

static constexpr std::int64_t MaxHealthyLagMs = 5000;

static const json::array &rowsIn(const json::object &status, std::string_view key)
{
    static const json::array EmptyArray;
    const json::value *value = status.if_contains(key);
    return value != nullptr && value->is_array() ? value->as_array() : EmptyArray;
}

static std::string fieldText(const json::value &row, std::string_view key)
{
    const json::value *value = row.is_object() ? row.as_object().if_contains(key) : nullptr;
    return value == nullptr ? "" : cellText(*value);
}

static std::int64_t fieldNumber(const json::value &row, std::string_view key)
{
    const json::value *value = row.is_object() ? row.as_object().if_contains(key) : nullptr;
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

static void addLeaseProblems(const json::object &status, std::vector<std::string> &problems)
{
    const json::value *leaseLive = status.if_contains("lease_live");
    if (leaseLive != nullptr && leaseLive->is_bool() && !leaseLive->as_bool()) {
        problems.emplace_back("this VM holds no live lease: it refuses writes and reads only within freshness");
    }
    if (fieldNumber(status, "config_version") == 0) {
        problems.emplace_back("no configuration is in force on this VM");
    }
}

static void addGroupProblems(const json::object &status, std::vector<std::string> &problems)
{
    for (const json::value &group : rowsIn(status, "groups")) {
        if (fieldText(group, "primary").empty()) {
            problems.push_back("group " + fieldText(group, "service") + "/" + fieldText(group, "group")
                + " has no primary: its writes are refused");
        }
    }
}

static void addVmProblems(const json::object &status, std::vector<std::string> &problems)
{
    for (const json::value &vm : rowsIn(status, "vms")) {
        const std::string state = fieldText(vm, "state");
        if (state == "dead" || state == "suspect") {
            problems.push_back("VM " + fieldText(vm, "id") + " in " + fieldText(vm, "zone") + " is " + state);
        }
        if (fieldText(vm, "draining") == "true") {
            problems.push_back("VM " + fieldText(vm, "id") + " is draining");
        }
        const std::int64_t version = fieldNumber(vm, "config_version");
        if (state != "dead" && version != 0 && version < fieldNumber(status, "config_version")) {
            problems.push_back("VM " + fieldText(vm, "id") + " still applies configuration " + std::to_string(version));
        }
    }
}

static void addBackendProblems(const json::object &status, std::vector<std::string> &problems)
{
    for (const json::value &backend : rowsIn(status, "backends")) {
        const std::string name = "backend server " + fieldText(backend, "id");
        if (fieldNumber(backend, "lag_ms") > MaxHealthyLagMs) {
            problems.push_back(name + " is " + fieldText(backend, "lag_ms") + " ms behind its primary");
        }
        if (fieldText(backend, "leaving") == "true") {
            problems.push_back(name + " is leaving");
        }
        if (fieldText(backend, "duplicate") == "true") {
            problems.push_back(name + " is announced from two addresses");
        }
        if (fieldText(backend, "home").empty()) {
            problems.push_back(name + " has no home: only fixed shares reach it");
        }
    }
}

std::vector<std::string> findProblems(const json::object &status)
{
    std::vector<std::string> problems;
    addLeaseProblems(status, problems);
    addGroupProblems(status, problems);
    addVmProblems(status, problems);
    addBackendProblems(status, problems);
    return problems;
}

} // namespace daisyrelay
