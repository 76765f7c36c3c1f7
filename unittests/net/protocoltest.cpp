#include "protocol.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(Protocol) {};

static const std::string ValidStatement = R"({"service":"rotable-db","class":"lookups","group":"g1","kind":"read",)"
                                          R"("repeatable":true,"statement":"get a","deadline_ms":500})";

/// Replaces, inserts or erases single characters of \p text at random.
static std::string damaged(std::string text)
{
    const auto editCount = *rc::gen::inRange(1, 8);
    for (int edit = 0; edit < editCount && !text.empty(); ++edit) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto character = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[at] = character;
            break;
        case 1:
            text.insert(at, 1, character);
            break;
        default:
            text.erase(at, 1);
            break;
        }
    }
    return text;
}

TEST(Protocol, ParsesStatement)
{
    const Expected<StatementRequest> request = parseStatementRequest(ValidStatement);
    CHECK(request.has_value());
    CHECK(request->kind == StatementKind::Read);
    CHECK(request->timeLeft == std::chrono::milliseconds(500));
}

TEST(Protocol, ErrorNamesInvalidField)
{
    const Expected<StatementRequest> request
        = parseStatementRequest(R"({"service":"s","class":"c","group":"g","kind":"read","statement":"x","weight":3})");
    CHECK(request.error().kind == ErrorKind::BadRequest);
    STRCMP_EQUAL("weight: unknown field", request.error().detail.c_str());
}

TEST(Protocol, RequiresExactlyOneOfGroupAndKey)
{
    CHECK_FALSE(parseStatementRequest(R"({"service":"s","class":"c","kind":"read","statement":"x"})").has_value());
    CHECK_FALSE(
        parseStatementRequest(R"({"service":"s","class":"c","group":"g","key":"k","kind":"read","statement":"x"})")
            .has_value());
}

TEST(Protocol, DamagedStatementIsParsedOrRejectedWithDetail)
{
    CHECK(rc::check([]() {
        const Expected<StatementRequest> request = parseStatementRequest(damaged(ValidStatement));
        RC_ASSERT((request.has_value() || !request.error().detail.empty()));
    }));
}

TEST(Protocol, DeeplyNestedBodyIsRejected)
{
    CHECK_FALSE(parseStatementRequest(std::string(100000, '[')).has_value());
    CHECK_FALSE(parseStatementRequest(R"({"service":)" + std::string(100000, '[')).has_value());
}

TEST(Protocol, DamagedAnnouncementIsParsedOrRejectedWithDetail)
{
    const std::string valid
        = R"({"service":"s","group":"g1","zone":"z","host":"127.0.0.1","port":7000,"connections":16,)"
          R"("slots":2,"role":"replica","term":1,"position":7,"leaving":false})";
    CHECK(parseAnnouncement("d1", valid).has_value());
    CHECK(rc::check([&valid]() {
        const Expected<BackendAnnouncement> announcement = parseAnnouncement("d1", damaged(valid));
        RC_ASSERT((announcement.has_value() || !announcement.error().detail.empty()));
    }));
}

TEST(Protocol, ResponseToOtherRequestIsRejected)
{
    const HttpResponse response { 200, "application/json", R"({"request":"r1","result":1,"term":2,"position":3})", "",
        0 };
    CHECK(parseBackendResponse(response, "r1").has_value());
    CHECK_FALSE(parseBackendResponse(response, "r2").has_value());
}

TEST(Protocol, DamagedResponseNeverMatchesOtherRequest)
{
    const std::string valid = R"({"request":"vm1.7.42.1","result":{"a":[1,2]},"term":2,"position":3})";
    CHECK(rc::check([&valid]() {
        const HttpResponse response { *rc::gen::element(200, 409, 422, 500), "application/json", damaged(valid), "",
            0 };
        const Expected<BackendStatementResponse> backendResponse = parseBackendResponse(response, "another");
        RC_ASSERT((!backendResponse.has_value() || response.body.find("another") != std::string::npos));
    }));
}

TEST(Protocol, ProblemStatesWhetherRequestRan)
{
    const HttpResponse response = problemResponse({ ErrorKind::OutcomeUnknown, "lost", 0 });
    CHECK_EQUAL(504, response.status);
    STRCMP_CONTAINS(R"("ran":"unknown")", response.body.c_str());
}
