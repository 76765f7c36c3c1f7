#include "daisyrelay/wire.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(Codec) {};

TEST(Codec, AMessageComesBackAsItWas)
{
    ForwardRequest request;
    request.forwardId = 7;
    request.request.statement = "put a 1";
    request.request.timeLeft = std::chrono::milliseconds(250);
    const Expected<PeerMessage> message = decodePeerMessage(encodePeerMessage({ VmId { "vm1" }, request }));
    CHECK(message.has_value());
    const ForwardRequest &decoded = std::get<ForwardRequest>(message->payload);
    CHECK(decoded.request.timeLeft == request.request.timeLeft);
    STRCMP_EQUAL("put a 1", decoded.request.statement.c_str());
}

TEST(Codec, ATruncatedMessageIsRefused)
{
    const std::string bytes = encodePeerMessage({ VmId { "vm1" }, LeaseRequest {} });
    CHECK(rc::check([&bytes]() {
        const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(!decodePeerMessage(bytes.substr(0, size)).has_value());
    }));
}
