#include "daisyrelay/session.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(TokenCodec) {};

static SessionToken threeGroups()
{
    SessionToken token;
    for (const char *group : { "g1", "g2", "g3" }) {
        token.raisePoint({ ServiceId { "savings-ledger" }, GroupId { group } }, { 70000, 1ULL << 40 });
    }
    return token;
}

TEST(TokenCodec, TokenIsAcceptedByCodecWithSameSecret)
{
    const std::string text = TokenCodec("one secret of the system").encode(threeGroups());
    CHECK(TokenCodec("one secret of the system").decode(text) == threeGroups());
}

TEST(TokenCodec, TokenOfThreeGroupsFitsIn200Characters)
{
    constexpr std::size_t MaxTokenChars = 200;
    CHECK(TokenCodec("one secret of the system").encode(threeGroups()).size() <= MaxTokenChars);
}

TEST(TokenCodec, TokenSignedWithAnotherSecretIsRejected)
{
    const std::string text = TokenCodec("another secret altogether").encode(threeGroups());
    CHECK(TokenCodec("one secret of the system").decode(text).error().kind == ErrorKind::BadToken);
}

TEST(TokenCodec, TokenWithChangedByteIsRejected)
{
    const TokenCodec codec("one secret of the system");
    const std::string text = codec.encode(threeGroups());
    CHECK(rc::check([&codec, &text]() {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
        const auto replacement = *rc::gen::arbitrary<char>();
        std::string forged = text;
        RC_PRE(forged[at] != replacement);
        forged[at] = replacement;
        RC_ASSERT(!codec.decode(forged).has_value());
    }));
}

TEST(TokenCodec, ArbitraryTextIsRejected)
{
    const TokenCodec codec("one secret of the system");
    CHECK(rc::check([&codec](const std::string &text) { RC_ASSERT(!codec.decode(text).has_value()); }));
}
