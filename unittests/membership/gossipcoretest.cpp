#include "fakegossipnetwork.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static constexpr Duration ConvergenceTime = std::chrono::seconds(8);

namespace {

BackendAnnouncement makeAnnouncement(const std::string &id, unsigned zone)
{
    BackendAnnouncement announcement;
    announcement.id = BackendId { id };
    announcement.group = { ServiceId { "rotable-db" }, GroupId { "g1" } };
    announcement.zone = ZoneId { "zone" + std::to_string(zone) };
    announcement.host = "127.0.0.1";
    announcement.port = 5000;
    announcement.connections = 16;
    announcement.slots = 2;
    return announcement;
}

} // namespace

TEST_GROUP(GossipCore)
{
    FakeGossipNetwork network { 11 };

    void startAll(unsigned count)
    {
        for (unsigned number = 1; number <= count; ++number) {
            network.start(number);
        }
        network.run(ConvergenceTime);
    }
};

TEST(GossipCore, VmsDiscoverEachOtherThroughSeeds)
{
    startAll(7);
    CHECK(network.hasConverged());
}

TEST(GossipCore, CrashedVmIsDeadEverywhereWithinTwoSeconds)
{
    startAll(7);
    network.crash(5);
    network.run(std::chrono::seconds(2));
    CHECK(network.hasConverged());
}

TEST(GossipCore, ReplacementVmJoinsAndOldVmIsRemoved)
{
    startAll(7);
    network.crash(6);
    network.start(20);
    network.run(std::chrono::seconds(70));
    CHECK(network.hasConverged());
    CHECK(network.core(1).members().find(VmId { "vm6" }) == nullptr);
}

TEST(GossipCore, VmThatLeftIsNotSuspected)
{
    startAll(7);
    network.leave(4);
    network.run(std::chrono::seconds(1));
    CHECK(network.hasConverged());
    CHECK(network.core(1).members().find(VmId { "vm4" })->record.state == MemberState::Left);
    CHECK_EQUAL(0, network.deaths);
}

TEST(GossipCore, TenPercentLossCausesNoSuspicion)
{
    startAll(7);
    network.lossPercent = 10;
    network.run(std::chrono::minutes(10));
    CHECK(network.hasConverged());
    CHECK_EQUAL(0, network.deaths);
    CHECK_EQUAL(0, network.counters.value("membership.suspected"));
}

TEST(GossipCore, HealedPartitionRejoins)
{
    startAll(7);
    network.isPartitioned = [](unsigned from, unsigned to) { return (from % 3 == 0) != (to % 3 == 0); };
    network.run(std::chrono::minutes(2));
    CHECK(!network.hasConverged());
    network.isPartitioned = [](unsigned, unsigned) { return false; };
    network.run(ConvergenceTime);
    CHECK(network.hasConverged());
}

TEST(GossipCore, HealedOneWayPartitionRejoins)
{
    startAll(7);
    network.isPartitioned = [](unsigned from, unsigned to) { return from % 3 == 0 && to % 3 != 0; };
    network.run(std::chrono::seconds(30));
    network.isPartitioned = [](unsigned, unsigned) { return false; };
    network.run(ConvergenceTime);
    CHECK(network.hasConverged());
}

TEST(GossipCore, VmsConvergeAfterRandomFailures)
{
    CHECK(rc::check([](std::uint64_t seed, const std::vector<std::uint8_t> &steps) {
        FakeGossipNetwork system(seed);
        system.duplicatePercent = 5;
        system.delayedPercent = 5;
        for (unsigned number = 1; number <= 5; ++number) {
            system.start(number);
        }
        for (const std::uint8_t step : steps) {
            const unsigned number = 1 + step / 8 % 7;
            const bool isRunning = system.running().contains(number);
            switch (step % 8) {
            case 0:
                system.start(number);
                break;
            case 1:
                if (isRunning && system.running().size() > 1) {
                    system.crash(number);
                }
                break;
            case 2:
                if (isRunning && system.running().size() > 1) {
                    system.leave(number);
                }
                break;
            case 3:
                system.isPartitioned
                    = [number](unsigned from, unsigned to) { return (from == number) != (to == number); };
                break;
            case 4:
                system.isPartitioned = [number](unsigned from, unsigned) { return from == number; };
                break;
            case 5:
                system.isPartitioned = [](unsigned, unsigned) { return false; };
                break;
            case 6:
                system.lossPercent = step / 8;
                break;
            default:
                break;
            }
            system.run(std::chrono::milliseconds(500));
        }
        system.isPartitioned = [](unsigned, unsigned) { return false; };
        system.lossPercent = 0;
        for (unsigned seedVm = 1; seedVm <= 3; ++seedVm) {
            if (!system.running().contains(seedVm)) {
                system.start(seedVm);
            }
        }
        system.run(std::chrono::seconds(25));
        RC_ASSERT(system.hasConverged());
        RC_ASSERT(system.maxDatagramBytes + 16 <= MaxDatagramBytes);
    }));
}

TEST(GossipCore, AnnouncementReachesItsRegionWithinOneSecond)
{
    startAll(7);
    network.core(1).recordAnnouncement(network.now, makeAnnouncement("g1-1", 0));
    network.run(std::chrono::seconds(1));
    for (const unsigned number : network.running()) {
        const bool keepsFullDetail = FakeGossipNetwork::record(number).region == "region0";
        CHECK_EQUAL(keepsFullDetail || number == 1, network.core(number).announcements().size() == 1);
    }
}

TEST(GossipCore, OtherRegionsReceiveOnlyDigest)
{
    startAll(7);
    for (int round = 0; round < 20; ++round) {
        BackendAnnouncement announcement = makeAnnouncement("g1-1", 0);
        announcement.point.position = static_cast<Position>(round);
        network.core(3).recordAnnouncement(network.now, announcement);
        network.run(std::chrono::milliseconds(250));
    }
    // vm2 is in region1.
    CHECK_EQUAL(0, network.core(2).announcements().size());
    const std::vector<ServiceDigest> digests = network.core(2).digests().all(network.now);
    CHECK_EQUAL(1, digests.size());
    CHECK_EQUAL(1, digests.front().databases);
}

TEST(GossipCore, ReplayedDatagramIsDroppedAndCounted)
{
    startAll(3);
    GossipMessage message;
    message.to = VmId { "vm1" };
    message.sender = network.core(2).members().self();
    message.boot = 1000;
    message.sequence = 5;
    network.core(1).receive(network.now, message);
    CHECK_EQUAL(0, network.counters.value("gossip.dropped.replay"));
    network.core(1).receive(network.now, message);
    message.boot = 999;
    message.sequence = 6;
    network.core(1).receive(network.now, message);
    CHECK_EQUAL(2, network.counters.value("gossip.dropped.replay"));
}

TEST(GossipCore, UnknownSendersCannotExceedTableLimit)
{
    startAll(1);
    GossipMessage message;
    message.to = VmId { "vm1" };
    message.boot = 1;
    for (unsigned number = 0; number < 5000; ++number) {
        message.sender = FakeGossipNetwork::record(100 + number);
        message.sequence = number;
        network.core(1).receive(network.now, message);
    }
    CHECK_EQUAL(4096, network.core(1).members().all().size());
    CHECK(network.counters.value("membership.refused.too-many") + network.counters.value("gossip.dropped.replay") > 0);
}
