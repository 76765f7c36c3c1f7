// Changes of the configuration at an entry.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(ConfigurationUpdates)
{
    FakeService service;

    static RouteConfiguration makeConfiguration(std::uint64_t version)
    {
        RouteConfiguration configuration;
        configuration.version = version;
        configuration.services.push_back({ ServiceId { "s" }, 16, 0 });
        configuration.maxMessageBytes = version;
        return configuration;
    }

    void receive(const ConfigurationUpdate &update)
    {
        EntryUpdate message;
        message.configuration = encodeConfigurationUpdate(update);
        service.core.onControlUpdate(service.now, message);
    }

    EntryReport report()
    {
        EntryReport report;
        service.core.fillReport(service.now, report);
        return report;
    }
};

TEST(ConfigurationUpdates, ChangeOfTheVersionInForceIsApplied)
{
    receive(makeConfiguration(1));
    receive(computeChange(makeConfiguration(1), makeConfiguration(2)));
    CHECK_EQUAL(2U, report().configVersion);
    CHECK(!report().needsWholeConfiguration);
}

// An entry that applied the change anyway, or waited for its base, would serve by wrong or old rules.
TEST(ConfigurationUpdates, ChangeOfAnotherVersionIsRefusedAndTheWholeRequested)
{
    receive(makeConfiguration(1));
    receive(computeChange(makeConfiguration(2), makeConfiguration(3)));
    CHECK_EQUAL(1U, report().configVersion);
    CHECK(report().needsWholeConfiguration);
    CHECK_EQUAL(1U, service.metrics.value("configuration_changes_refused_total"));
    receive(makeConfiguration(3));
    CHECK_EQUAL(3U, report().configVersion);
    CHECK(!report().needsWholeConfiguration);
}

TEST(ConfigurationUpdates, OutdatedOrMalformedUpdateChangesNothing)
{
    receive(makeConfiguration(3));
    receive(computeChange(makeConfiguration(1), makeConfiguration(2)));
    CHECK(!report().needsWholeConfiguration);
    EntryUpdate malformed;
    malformed.configuration = "damaged";
    service.core.onControlUpdate(service.now, malformed);
    CHECK_EQUAL(3U, report().configVersion);
    CHECK_EQUAL(1U, service.metrics.value("configurations_unreadable_total"));
}
