// Changes of configurations: an entry that applied a wrong one would route, admit or limit callers by rules that nobody
// wrote.
#include "daisyrelay/wire.h"

#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(ConfigurationChange) {
    // Few names and values, so that versions share items, repeat them and order them differently.
    static RouteConfiguration arbitraryConfiguration(std::uint64_t version) { RouteConfiguration configuration;
configuration.version = version;
const auto small = []() { return *rc::gen::inRange<std::uint32_t>(0, 3); };
const auto name = []() { return std::string(1, *rc::gen::inRange('a', 'k')); };
for (std::uint32_t count = *rc::gen::inRange(0, 12); count > 0; --count) {
    DatabaseRoute route;
    route.database = name();
    route.service = ServiceId { name() };
    route.timeout = std::chrono::milliseconds(small());
    route.isPublic = small() == 0;
    configuration.routes.push_back(route);
    configuration.services.push_back({ ServiceId { name() }, small(), small() });
    configuration.workspaces.push_back({ WorkspaceId { name() }, { name() }, small(), small(), 0 });
}
configuration.requiresKeys = small() == 0;
configuration.transactionIdleTimeout = std::chrono::milliseconds(small());
configuration.maxMessageBytes = small();
return configuration;
}

static Expected<RouteConfiguration> applyEncoded(const RouteConfiguration &base, const std::string &bytes)
{
    const Expected<ConfigurationUpdate> update = decodeConfigurationUpdate(bytes);
    return update ? applyChange(base, std::get<ConfigurationChange>(*update)) : tl::unexpected(update.error());
}
}
;

TEST(ConfigurationChange, ResultEqualsTheWholeConfiguration)
{
    CHECK(rc::check([]() {
        const RouteConfiguration base = arbitraryConfiguration(1);
        RouteConfiguration target = arbitraryConfiguration(2);
        if (*rc::gen::arbitrary<bool>()) {
            target.routes = base.routes;
            std::mt19937_64 order(*rc::gen::arbitrary<std::uint64_t>());
            std::shuffle(target.routes.begin(), target.routes.end(), order);
        }
        const auto result = applyEncoded(base, encodeConfigurationUpdate(computeChange(base, target)));
        RC_ASSERT(result.has_value());
        RC_ASSERT(*result == target);
    }));
}

TEST(ConfigurationChange, OtherBaseIsRefused)
{
    CHECK(rc::check([]() {
        const RouteConfiguration base = arbitraryConfiguration(1);
        const RouteConfiguration target = arbitraryConfiguration(2);
        const ConfigurationChange change = computeChange(base, target);
        RC_ASSERT(!applyChange(arbitraryConfiguration(3), change).has_value());
        // The same version with other content, as after a restore from a backup.
        const Expected<RouteConfiguration> result = applyChange(arbitraryConfiguration(1), change);
        RC_ASSERT((!result.has_value() || *result == target));
    }));
}

TEST(ConfigurationChange, ForgedChangeIsAppliedOrRefused)
{
    RouteConfiguration base;
    base.routes.resize(3);
    RouteConfiguration target = base;
    target.version = 1;
    target.routes[1].database = "other";
    const std::string valid = encodeConfigurationUpdate(computeChange(base, target));
    CHECK(rc::check([&](unsigned char byte) {
        std::string forged = valid;
        forged[*rc::gen::inRange<std::size_t>(0, valid.size())] = static_cast<char>(byte);
        if (const Expected<ConfigurationUpdate> update = decodeConfigurationUpdate(forged); update) {
            if (const auto *change = std::get_if<ConfigurationChange>(&*update); change != nullptr) {
                (void)applyChange(base, *change);
            }
        }
    }));
}

// A change that carries what stayed the same would fill the links as whole configurations did.
TEST(ConfigurationChange, ChangeOfOneRouteIsSmall)
{
    RouteConfiguration base;
    for (int index = 0; index < 330; ++index) {
        DatabaseRoute route;
        route.database = "db" + std::to_string(index);
        base.routes.push_back(route);
    }
    RouteConfiguration target = base;
    target.version = 1;
    target.routes[100].priority = 3;
    CHECK(encodeConfigurationUpdate(computeChange(base, target)).size() < 100);
}
