// Updates of the topology that no control VM should send, but that must not end an entry.
#include "twoserviceentry.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(TopologyUpdates)
{
    TwoServiceEntry entry;

    static BackendRecord makeRecord(const std::string &name, const std::string &service)
    {
        return { BackendId { name }, 2, ServiceId { service }, name, 80, ZoneId { "z0" }, 2, false, false };
    }

    void apply(std::vector<BackendRecord> changed, std::vector<BackendId> removed)
    {
        Topology topology;
        topology.baseIndex = entry.topologyIndex;
        topology.index = ++entry.topologyIndex;
        topology.backends = std::move(changed);
        topology.removed = std::move(removed);
        EntryUpdate update;
        update.topology = topology;
        entry.core.onControlUpdate(entry.now, update);
        entry.run(std::chrono::milliseconds(100));
    }
};

// An entry ended when a server that had moved to another service was removed, because the former service still listed
// it.
TEST(TopologyUpdates, ServerThatMovedToAnotherServiceIsRemovedFromBoth)
{
    apply({ makeRecord("l1", "short") }, {});
    apply({}, { BackendId { "l1" } });
    entry.execute(StatementType::Read);
    CHECK(entry.response && entry.response->code == ResponseCode::Ok);
}

// A server of another service got reads of the service that it had left.
TEST(TopologyUpdates, ServerThatMovedToAnotherServiceRunsNoReadsOfTheFormerOne)
{
    apply({ makeRecord("l1", "short") }, {});
    for (int at = 0; at < 20; ++at) {
        const auto [server, read] = entry.execute(StatementType::Read);
        CHECK_EQUAL(std::string("l0"), server);
    }
    entry.moveRoute("short");
    for (int at = 0; at < 20; ++at) {
        entry.execute(StatementType::Read);
        CHECK(entry.response && entry.response->code == ResponseCode::Ok);
    }
}

// A read without a known position, which only a server that confirms the role may run, was sent to a former primary
// again with each of its rejections.
TEST(TopologyUpdates, ReadRejectedByAFormerPrimaryIsNotSentAgainAtOnce)
{
    entry.run(std::chrono::seconds(8)); // Positions expire.
    entry.formerPrimary = "l0";
    entry.beginCount = 0;
    entry.execute(StatementType::Read);
    CHECK(entry.beginCount > 0);
    CHECK(entry.beginCount < 60);
}
