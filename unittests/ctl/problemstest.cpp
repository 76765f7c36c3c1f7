#include "problems.h"

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
namespace json = boost::json;

TEST_GROUP(Problems)
{
    json::object healthy = json::parse(R"({"lease_live":true,"config_version":4,
        "groups":[{"service":"s","group":"g1","primary":"d1"}],
        "vms":[{"id":"vm1","zone":"z","state":"alive","config_version":4}],
        "backends":[{"id":"d1","lag_ms":0,"leaving":false,"home":"vm1"}]})")
                               .as_object();
};

TEST(Problems, AHealthySystemHasNone)
{
    CHECK(findProblems(healthy).empty());
}

TEST(Problems, AGroupWithoutAPrimaryIsNamed)
{
    healthy["groups"].as_array()[0].as_object()["primary"] = "";
    const std::vector<std::string> problems = findProblems(healthy);
    CHECK_EQUAL(1, problems.size());
    STRCMP_EQUAL("group s/g1 has no primary: its writes are refused", problems[0].c_str());
}

TEST(Problems, TheLeaseOfTheVmComesFirst)
{
    healthy["lease_live"] = false;
    healthy["backends"].as_array()[0].as_object()["leaving"] = true;
    const std::vector<std::string> problems = findProblems(healthy);
    CHECK_EQUAL(2, problems.size());
    STRCMP_CONTAINS("lease", problems[0].c_str());
}

TEST(Problems, AVmWithAnOlderConfigurationIsNamed)
{
    healthy["vms"].as_array()[0].as_object()["config_version"] = 3;
    STRCMP_CONTAINS("vm1 still applies configuration 3", findProblems(healthy).at(0).c_str());
}
