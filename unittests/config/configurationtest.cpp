#include "daisyrelay/config.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(ConfigurationCodec) {};

static const std::string ExampleConfiguration
    = "classes:\n"
      "  reservations: {freshness: 0s, latency: {p99: 50ms}, repeatable: false}\n"
      "  lookups: {freshness: 5s, latency: {p99: 20ms}, durability: local}\n"
      "services:\n"
      "  rotable-db:\n"
      "    groups: [g1, g2]\n"
      "    ranges: [{from: \"\", group: g1}, {from: m, group: g2}]\n";

static std::string detailOf(const std::string &text)
{
    const Expected<Configuration> parsed = parseConfiguration(text, "c.yaml");
    return parsed ? "" : parsed.error().detail;
}

TEST(ConfigurationCodec, JsonAndYamlRoundTrip)
{
    const Expected<Configuration> parsed = parseConfiguration(ExampleConfiguration);
    CHECK(parsed.has_value());
    CHECK(parseConfiguration(toJson(*parsed)) == parsed);
    CHECK(parseConfiguration(toYaml(*parsed)) == parsed);
}

TEST(ConfigurationCodec, KeyMapsToGroupOfItsRange)
{
    const Configuration configuration = *parseConfiguration(ExampleConfiguration);
    const ServiceConfig &service = configuration.services.at(ServiceId { "rotable-db" });
    CHECK(service.groupForKey("apple") == GroupId { "g1" });
    CHECK(service.groupForKey("m") == GroupId { "g2" });
    CHECK(service.groupForKey("zinc") == GroupId { "g2" });
}

TEST(ConfigurationCodec, ErrorsNameFileLineAndKey)
{
    STRCMP_EQUAL(
        "c.yaml:2: classes.a.weight: unknown key", detailOf("classes:\n  a: {weight: 3}\nservices: {}\n").c_str());
    STRCMP_EQUAL("c.yaml:2: freshness: must be a duration such as 50ms or 5s",
        detailOf("classes:\n  a: {freshness: -1s}\nservices: {}\n").c_str());
    STRCMP_EQUAL("c.yaml:3: services.s.groups: must list at least one group",
        detailOf("classes: {}\nservices:\n  s: {groups: []}\n").c_str());
    STRCMP_CONTAINS("c.yaml:1:", detailOf("classes: {a: [}\n").c_str());
}

TEST(ConfigurationCodec, DamagedTextIsParsedOrRejectedWithDetail)
{
    CHECK(rc::check([]() {
        std::string text = ExampleConfiguration;
        const auto rounds = *rc::gen::inRange(1, 6);
        for (int round = 0; round < rounds; ++round) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        }
        const Expected<Configuration> parsed = parseConfiguration(text);
        RC_ASSERT((parsed.has_value() || !parsed.error().detail.empty()));
    }));
}
