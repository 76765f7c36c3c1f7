// Tests of decoding untrusted bytes: malformed input must neither crash nor allocate memory beyond its own size.
#include "compactarchive.h"

#include "daisyrelay/wire.h"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

/// Decodes \p bytes into a container. \returns the capacity of the container afterwards, in elements.
template <typename Container>
static std::size_t capacityAfterDecoding(const std::string &bytes)
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

/// Returns an encoded message in which every container has elements.
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

TEST(ForgedMessage, ArbitraryBytesAreDecodedOrRejected)
{
    CHECK(rc::check([](const std::string &bytes) {
        (void)decodeGossipMessage(bytes);
        (void)decodePeerMessage(bytes);
        (void)decodeControlCommand(bytes);
    }));
}

TEST(ForgedMessage, ModifiedMessageIsDecodedOrRejected)
{
    const std::string valid = sampleGossip();
    CHECK(rc::check([&valid](unsigned char byte) {
        std::string forged = valid;
        forged[*rc::gen::inRange<std::size_t>(0, valid.size())] = static_cast<char>(byte);
        (void)decodeGossipMessage(forged);
        (void)decodePeerMessage(forged);
    }));
}

TEST(ForgedMessage, TrailingByteIsRejected)
{
    CHECK(decodeGossipMessage(sampleGossip()).has_value());
    CHECK(!decodeGossipMessage(sampleGossip() + "x").has_value());
}

TEST(ForgedMessage, ForgedLengthDoesNotAllocateBeyondMessageSize)
{
    CHECK(rc::check([](std::uint64_t claimedSize, const std::string &payload) {
        std::string bytes;
        CompactOutputArchive(bytes).writeVarint(claimedSize);
        bytes += payload;
        constexpr std::size_t SmallStringCapacity = 15;
        RC_ASSERT(capacityAfterDecoding<std::string>(bytes) <= std::max(SmallStringCapacity, payload.size()));
        RC_ASSERT(capacityAfterDecoding<std::vector<std::uint8_t>>(bytes) <= payload.size());
        // A vector of non-arithmetic elements doubles its capacity while bytes remain.
        RC_ASSERT(capacityAfterDecoding<std::vector<MemberRecord>>(bytes) <= 2 * payload.size());
        RC_ASSERT(capacityAfterDecoding<std::vector<std::string>>(bytes) <= 2 * payload.size());
    }));
}

TEST(ForgedMessage, NumbersOfAnySizeAreRestored)
{
    CHECK(rc::check([](std::uint64_t unsignedValue, std::int64_t signedValue, std::uint16_t narrowValue) {
        std::string bytes;
        CompactOutputArchive out(bytes);
        out(unsignedValue, signedValue, narrowValue);
        CompactInputArchive in(bytes);
        std::uint64_t decodedUnsigned = 0;
        std::int64_t decodedSigned = 0;
        std::uint16_t decodedNarrow = 0;
        in(decodedUnsigned, decodedSigned, decodedNarrow);
        RC_ASSERT((decodedUnsigned == unsignedValue && decodedSigned == signedValue && decodedNarrow == narrowValue
            && in.atEnd()));
    }));
}
