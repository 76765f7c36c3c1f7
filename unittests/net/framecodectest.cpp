#include "framecodec.h"
#include "gossipcodec.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

static const std::string Secret = "one secret of the system";

TEST_GROUP(FrameCodec)
{
    FrameCodec codec { Secret };
    PeerHello hello { VmId { "vm1" }, VmId { "vm2" }, FrameCodec::randomNonce() };
    std::string challenge = FrameCodec::randomNonce();

    static std::string stripLength(const std::string &frame)
    {
        return frame.substr(FrameCodec::LengthBytes);
    }
};

TEST(FrameCodec, HelloCarriesBothVmIds)
{
    const Expected<PeerHello> opened = codec.openHello(stripLength(codec.sealHello(hello, challenge)), challenge);
    CHECK(opened.has_value());
    CHECK(opened->from == hello.from && opened->to == hello.to && opened->nonce == hello.nonce);
}

TEST(FrameCodec, HelloForOtherChallengeOrSecretIsRejected)
{
    const std::string payload = stripLength(codec.sealHello(hello, challenge));
    CHECK(!codec.openHello(payload, FrameCodec::randomNonce()).has_value());
    CHECK(!FrameCodec("another secret of a system").openHello(payload, challenge).has_value());
}

TEST(FrameCodec, FrameIsValidOnceAndOnItsConnectionOnly)
{
    FrameSession sender = codec.session(hello, challenge);
    FrameSession receiver = codec.session(hello, challenge);
    const std::string first = stripLength(sender.seal("first"));
    const std::string second = stripLength(sender.seal("second"));
    CHECK(receiver.open(first).has_value());
    CHECK(!receiver.open(first).has_value());
    FrameSession receiverAfterLoss = codec.session(hello, challenge);
    CHECK(!receiverAfterLoss.open(second).has_value());
    FrameSession otherConnection = codec.session(hello, FrameCodec::randomNonce());
    CHECK(!otherConnection.open(first).has_value());
}

TEST(FrameCodec, ModifiedBytesAreRejected)
{
    const std::string sealedHello = stripLength(codec.sealHello(hello, challenge));
    GossipMessage message;
    message.to = VmId { "vm2" };
    const GossipCodec gossip { Secret };
    const std::string datagram = gossip.seal(message);
    CHECK(gossip.open(datagram).has_value());
    CHECK(rc::check([&]() {
        const auto bit = static_cast<char>(1 << *rc::gen::inRange(0, 8));
        const auto change = [bit](std::string bytes) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= bit;
            return bytes;
        };
        RC_ASSERT(!gossip.open(change(datagram)).has_value());
        RC_ASSERT(!codec.openHello(change(sealedHello), challenge).has_value());
        FrameSession sender = codec.session(hello, challenge);
        FrameSession receiver = codec.session(hello, challenge);
        RC_ASSERT(!receiver.open(change(stripLength(sender.seal("body")))).has_value());
    }));
}

TEST(FrameCodec, ArbitraryBytesAreRejected)
{
    const GossipCodec gossip { Secret };
    CHECK(rc::check([&](const std::string &bytes) {
        RC_ASSERT(!gossip.open(bytes).has_value());
        RC_ASSERT(!codec.openHello(bytes, challenge).has_value());
        RC_ASSERT(!codec.session(hello, challenge).open(bytes).has_value());
    }));
}
