#include "compactarchive.h"

#include "daisyrelay/wire.h"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

/// Decodes \p bytes into a container. \returns the elements that it has room for afterwards.
template <typename Container>
static std::size_t roomAfterDecoding(const std::string &bytes)
{
    Container values;
    try {
        CompactInputArchive archive(bytes);
        archive(values);
    } catch (const cereal::Exception &) {
    }
    return values.capacity();
}

namespace {

/// The bytes of a message with some of each container.
std::string sampleGossip()
{
    GossipMessage message;
    message.to = VmId { "vm2" };
    message.sender.id = VmId { "vm1" };
    message.members.resize(2);
    message.backends.resize(2);
    message.positionUpdates.resize(3);
    message.digests.resize(1);
    return encodeGossipMessage(message);
}

} // namespace

TEST_GROUP(ForgedMessage) {};

TEST(ForgedMessage, AnyBytesAreDecodedOrRefused)
{
    CHECK(rc::check([](const std::string &bytes) {
        (void)decodeGossipMessage(bytes);
        (void)decodePeerMessage(bytes);
        (void)decodeControlCommand(bytes);
    }));
}

TEST(ForgedMessage, ChangedBytesAreDecodedOrRefused)
{
    const std::string good = sampleGossip();
    CHECK(rc::check([&good](unsigned char byte) {
        std::string forged = good;
        forged[*rc::gen::inRange<std::size_t>(0, good.size())] = static_cast<char>(byte);
        (void)decodeGossipMessage(forged);
        (void)decodePeerMessage(forged);
    }));
}

TEST(ForgedMessage, ABytePastTheEndIsRefused)
{
    CHECK(decodeGossipMessage(sampleGossip()).has_value());
    CHECK(!decodeGossipMessage(sampleGossip() + "x").has_value());
}

TEST(ForgedMessage, AForgedLengthMakesNoRoomBeyondTheMessage)
{
    CHECK(rc::check([](std::uint64_t claimed, const std::string &rest) {
        std::string bytes;
        CompactOutputArchive(bytes).writeNumber(claimed);
        bytes += rest;
        constexpr std::size_t ShortString = 15;
        RC_ASSERT(roomAfterDecoding<std::string>(bytes) <= std::max(ShortString, rest.size()));
        RC_ASSERT(roomAfterDecoding<std::vector<std::uint8_t>>(bytes) <= rest.size());
        // A vector of messages grows by doubling while there are bytes left.
        RC_ASSERT(roomAfterDecoding<std::vector<MemberRecord>>(bytes) <= 2 * rest.size());
        RC_ASSERT(roomAfterDecoding<std::vector<std::string>>(bytes) <= 2 * rest.size());
    }));
}

TEST(ForgedMessage, NumbersOfAnySizeComeBackAsTheyWere)
{
    CHECK(rc::check([](std::uint64_t wide, std::int64_t folded, std::uint16_t narrow) {
        std::string bytes;
        CompactOutputArchive out(bytes);
        out(wide, folded, narrow);
        CompactInputArchive in(bytes);
        std::uint64_t wideBack = 0;
        std::int64_t foldedBack = 0;
        std::uint16_t narrowBack = 0;
        in(wideBack, foldedBack, narrowBack);
        RC_ASSERT(wideBack == wide && foldedBack == folded && narrowBack == narrow && in.atEnd());
    }));
}
