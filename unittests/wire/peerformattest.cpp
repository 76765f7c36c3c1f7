// Tests of the negotiation of format versions on one connection, with peers of each build.
#include "formatsamples.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(PeerFormat)
{
    PeerFormat format;
    const VmId self { "self" };
    const VmId peer { "peer" };

    std::string fromPeer(ClusterPayload payload, FormatVersion version) const
    {
        return encodeClusterMessage({ peer, std::move(payload) }, version);
    }

    std::string announcementOf(const FormatRange &range) const
    {
        return PeerFormat(range).announcement(peer);
    }

    static EntryUpdate update(std::uint64_t number)
    {
        EntryUpdate update;
        update.number = number;
        update.lease = { std::chrono::milliseconds(3000), std::chrono::milliseconds(1500) };
        return update;
    }

    /// Lets a peer that announces nothing show that it uses \p version.
    void receiveUpdate(FormatVersion version)
    {
        CHECK(format.receive(fromPeer(EntryUpdate {}, version)).has_value());
    }
};

TEST(PeerFormat, AnnouncedPeersUseTheNewestCommonVersion)
{
    CHECK(format.receive(announcementOf({ 1, 9 })).has_value());
    CHECK_EQUAL(CurrentFormat, format.version().value());
    CHECK_EQUAL(1U, format.send(self, update(1)).size());
    CHECK_EQUAL(1U, format.receive(fromPeer(update(2), CurrentFormat) + std::string("\x01\x00", 2))->skippedFields);
}

// Builds without versions close the connection on a message that they cannot read, so the announcement has to be one
// that they ignore.
TEST(PeerFormat, AnnouncementIsReadableInAllVersions)
{
    const std::string bytes = format.announcement(self);
    for (const FormatVersion version : { SingleLeaseFormat, LeaseHolderFormat, AnnouncedFormat }) {
        const auto hint = std::get<LeaderHint>(*decodeClusterMessage(bytes, version)->payload);
        CHECK(hint.leader.empty());
    }
}

TEST(PeerFormat, UpdateIsHeldBackUntilAPeerWithoutAnnouncementShowsItsVersion)
{
    CHECK(format.receive(fromPeer(EntryReport {}, SingleLeaseFormat)).has_value());
    CHECK(!format.peerRange().has_value());
    const std::vector<std::string> request = format.send(self, update(1));
    CHECK_EQUAL(1U, request.size());
    CHECK(std::holds_alternative<EntryReport>(*decodeClusterMessage(request.front(), SingleLeaseFormat)->payload));
    CHECK(format.send(self, update(2)).empty());
    receiveUpdate(SingleLeaseFormat);
    const std::vector<std::string> held = format.takeHeldBack(self);
    CHECK_EQUAL(2U, held.size());
    CHECK(decodeClusterMessage(held.front(), SingleLeaseFormat).has_value());
    CHECK(!decodeClusterMessage(held.front(), LeaseHolderFormat).has_value());
}

TEST(PeerFormat, PeerWithLeaseHoldersGetsBothDurations)
{
    CHECK(format.receive(fromPeer(EntryReport {}, LeaseHolderFormat)).has_value());
    (void)format.send(self, update(1));
    receiveUpdate(LeaseHolderFormat);
    const std::string held = format.takeHeldBack(self).front();
    CHECK(std::get<EntryUpdate>(*decodeClusterMessage(held, LeaseHolderFormat)->payload).lease == update(1).lease);
}

TEST(PeerFormat, OnlyTheLatestUpdatesAreHeldBack)
{
    for (std::uint64_t number = 1; number <= 100; ++number) {
        (void)format.send(self, update(number));
    }
    receiveUpdate(LeaseHolderFormat);
    const std::vector<std::string> held = format.takeHeldBack(self);
    CHECK_EQUAL(8U, held.size());
    CHECK_EQUAL(100U, std::get<EntryUpdate>(*decodeClusterMessage(held.back(), LeaseHolderFormat)->payload).number);
}

TEST(PeerFormat, ChangedAnnouncementEndsTheConnection)
{
    CHECK(format.receive(announcementOf({ 1, 3 })).has_value());
    CHECK(format.receive(announcementOf({ 1, 3 })).has_value());
    CHECK(!format.receive(announcementOf({ 1, 2 })).has_value());
}

TEST(PeerFormat, PeerOutsideTheRangeIsRefused)
{
    CHECK(!format.receive(announcementOf({ 4, 5 })).has_value());
    CHECK(!format.receive(announcementOf({ 3, 1 })).has_value());
    CHECK(!format.receive(announcementOf({ 0, 3 })).has_value());
}

// Guards against a wrong duration of a lease: an update may never be decoded as one of another version.
TEST(PeerFormat, UpdateWithoutAnnouncementIsReadAsSentOrNotAtAll)
{
    CHECK(rc::check([this]() {
        EntryUpdate sent = sampleUpdate();
        const auto lease = *rc::gen::inRange<std::int64_t>(0, 5000);
        sent.lease = { std::chrono::milliseconds(lease), std::chrono::milliseconds(lease) };
        sent.topologyIndex = *rc::gen::inRange<std::uint64_t>(0, 3);
        sent.withdrawn.resize(*rc::gen::inRange<std::size_t>(0, 3));
        sent.coordinators.granted = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 3U));
        sent.coordinators.entryCount = *rc::gen::inRange(0U, 3U);
        for (std::size_t count = *rc::gen::inRange<std::size_t>(0, 3); count > 0; --count) {
            sent.failingOver.push_back({ ServiceId { "s" }, 0 });
        }
        const FormatVersion version = *rc::gen::element(SingleLeaseFormat, LeaseHolderFormat);
        PeerFormat receiver;
        const Expected<PeerFormat::Received> received = receiver.receive(fromPeer(sent, version));
        RC_ASSERT(received.has_value());
        RC_ASSERT(received->payload.has_value() != received->isAmbiguous);
        if (received->payload) {
            RC_ASSERT(std::get<EntryUpdate>(*received->payload).lease == sent.lease);
            RC_ASSERT(receiver.version() == version);
        }
    }));
}

TEST(PeerFormat, ArbitraryBytesAreDecodedOrRejected)
{
    CHECK(rc::check([](const std::vector<std::string> &messages) {
        PeerFormat receiver;
        for (const std::string &bytes : messages) {
            (void)receiver.receive(bytes);
        }
    }));
}
