#include "daisyrelay/config.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(Settings) {};

static const std::string GoodSettings = "id: vm1\n"
                                        "zone: coanda\n"
                                        "region: ro-muntenia\n"
                                        "roles: [entry]\n"
                                        "http: 127.0.0.1:7001\n"
                                        "peer: 127.0.0.1:7101\n"
                                        "secret: 0123456789abcdef\n"
                                        "seeds: []\n";

TEST(Settings, CompleteSettingsAreParsed)
{
    const Expected<Settings> settings = parseSettings(GoodSettings, "vm1.yaml");
    CHECK(settings.has_value());
    CHECK(settings->id == VmId { "vm1" });
    CHECK(settings->isEntry);
    CHECK_FALSE(settings->isControlVm);
}

TEST(Settings, ErrorNamesFileLineAndKey)
{
    const Expected<Settings> settings = parseSettings(GoodSettings + "drain_limit: soon\n", "vm1.yaml");
    CHECK_FALSE(settings.has_value());
    STRCMP_EQUAL("vm1.yaml:9: drain_limit: must be a duration such as 50ms or 5s", settings.error().detail.c_str());
}

TEST(Settings, UnknownKeyIsRejected)
{
    const Expected<Settings> settings = parseSettings(GoodSettings + "weights: 3\n", "vm1.yaml");
    CHECK_FALSE(settings.has_value());
    STRCMP_EQUAL("vm1.yaml:9: weights: unknown key", settings.error().detail.c_str());
}
