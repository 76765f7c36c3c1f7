// Tests of the settings of daisyrelay-node.
#include "daisyrelay/config.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static const char *const EntrySettings
    = "address: \"10.1.0.8\"\nname: front-1\nzone: coanda\n"
      "listen:\n  callers: 10.1.0.8:8784\n  health: 10.1.0.8:8785\n"
      "peer_port: 7440\nseeds: [\"10.1.0.10:8782\", \"10.2.0.9:8782\"]\nfounding: true\n"
      "tolerated: 1\ngrace: 6s\nplatform: 10.200.0.160:8783\n";

TEST_GROUP(NodeSettings) { static std::string errorOf(const std::string &text) {
    const Expected<NodeSettings> settings = parseNodeSettings(text, "node.yaml");
return settings ? "" : settings.error().detail;
}
}
;

TEST(NodeSettings, EntrySettingsAreParsed)
{
    const Expected<NodeSettings> settings = parseNodeSettings(EntrySettings, "node.yaml");
    CHECK(settings.has_value());
    CHECK(settings->isEntry && !settings->isControlVm && settings->canBootstrap);
    CHECK_EQUAL(8784, settings->callers.port);
    CHECK_EQUAL(std::string("10.2.0.9"), settings->seeds.at(1).value);
    CHECK_EQUAL(8782, settings->controlPort);
    CHECK_EQUAL(6000, settings->shutdownGrace.count());
}

TEST(NodeSettings, ErrorsNameFileLineAndKey)
{
    const std::string text = EntrySettings;
    CHECK_EQUAL(std::string("node.yaml:13: colour: unknown key"), errorOf(text + "colour: red\n"));
    CHECK(errorOf(text + "metrics_port: 70000\n").find("metrics_port") != std::string::npos);
    std::string withoutPeerPort = text;
    withoutPeerPort.replace(withoutPeerPort.find("peer_port: 7440\n"), 16, "");
    CHECK(errorOf(withoutPeerPort).find("peer_port") != std::string::npos);
    std::string withoutRole = text;
    withoutRole.replace(withoutRole.find("  callers: 10.1.0.8:8784\n  health: 10.1.0.8:8785\n"), 52, "  {}\n");
    CHECK(!errorOf(withoutRole).empty());
}
