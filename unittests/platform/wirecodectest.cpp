// Encoding and decoding of the messages of callers and backend servers: complete, incomplete and malformed.
#include "platform/wirecodec.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::platform;

TEST_GROUP(WireCodec) { static Statement statement(std::string_view line) {
    const Decoded<CallerMessage> decoded = decodeCallerMessage(line);
CHECK_EQUAL(line.size(), decoded.consumedBytes);
CHECK(std::holds_alternative<Statement>(decoded.message));
return std::get<Statement>(decoded.message);
}

static std::string encoded(const Statement &value)
{
    std::string out;
    encodeStatement(out, value);
    return out;
}
}
;

TEST(WireCodec, CallerStatementsAreForwardedUnchanged)
{
    for (const char *line :
        { "QUERY a1 FETCH 1a4\r\n", "QUERY a2 PUT 1a4 some data here\r\n", "QUERY a3 COMMIT\r\n" }) {
        CHECK_EQUAL(std::string(line), encoded(statement(line)));
    }
}

TEST(WireCodec, PreparedStatementChangesOnlyItsName)
{
    Statement execute = statement("QUERY a1 EXEC s1 1a4 xk q\r\n");
    CHECK(execute.type == StatementType::Execute);
    CHECK_EQUAL(std::string("s1"), execute.name);
    execute.name = "p9";
    CHECK_EQUAL(std::string("QUERY a1 EXEC p9 1a4 xk q\r\n"), encoded(execute));
    const Statement prepare = statement("QUERY a2 PREPARE s1 PUT q2c\r\n");
    CHECK(prepare.preparesWrite);
    CHECK_EQUAL(std::string("q2c"), prepare.argument);
}

TEST(WireCodec, MinPositionPrecedesStatement)
{
    Statement read = statement("QUERY a1 FETCH 1a4\r\n");
    read.minPoint = LogPoint { 3, 1207 };
    CHECK_EQUAL(std::string("QUERY a1 SINCE 3.1207 FETCH 1a4\r\n"), encoded(read));
    Statement begin;
    begin.type = StatementType::BeginReadOnly;
    begin.minPoint = LogPoint { 3, 1207 };
    CHECK_EQUAL(std::string("QUERY - SINCE 3.1207 BEGIN FETCH\r\n"), encoded(begin));
}

TEST(WireCodec, IncompleteLineIsNotConsumedAndOverlongLineIsMalformed)
{
    CHECK_EQUAL(0U, decodeCallerMessage("QUERY a1 FETCH").consumedBytes);
    CHECK_EQUAL(0U, decodeBackendMessage("READY I").consumedBytes);
    CHECK(std::holds_alternative<MalformedMessage>(decodeCallerMessage(std::string(MaxMessageBytes + 1, 'x')).message));
}

TEST(WireCodec, DecodesBackendResponses)
{
    const auto ready = std::get<BackendReady>(decodeBackendMessage("READY T 3.1209\r\n").message);
    CHECK(ready.state == TransactionState::Open);
    CHECK(ready.position == (LogPoint { 3, 1209 }));
    CHECK(!std::get<BackendReady>(decodeBackendMessage("READY I -\r\n").message).position.has_value());
    CHECK(std::get<BackendDone>(decodeBackendMessage("DONE -\r\n").message).signature.empty());
    CHECK(std::get<BackendError>(decodeBackendMessage("ERROR READONLY i-7\r\n").message).code
        == ResponseCode::NotPrimary);
    // An unknown code guarantees nothing about the statement.
    CHECK(std::get<BackendError>(decodeBackendMessage("ERROR NEWCODE x\r\n").message).code == ResponseCode::Failed);
    const std::optional<BackendStatus> status = decodeBackendStatus("replica 3 3.1209 0 12 2 17");
    CHECK(status.has_value() && !status->isPrimary);
    CHECK_EQUAL(3U, status->term);
    CHECK(!decodeBackendStatus("replica x").has_value());
}

TEST(WireCodec, EncodesCallerResponses)
{
    CallerResponse response;
    response.rows = { "abc" };
    response.signature = "7.1f3";
    response.position = LogPoint { 3, 9 };
    std::string out;
    encodeResponse(out, response);
    CHECK_EQUAL(std::string("ROW abc\r\nDONE 7.1f3\r\nREADY I 3.9\r\n"), out);
    CallerResponse errorResponse;
    errorResponse.code = ResponseCode::Busy;
    errorResponse.detail = "waited, come back in 200 ms";
    errorResponse.state = TransactionState::Failed;
    out.clear();
    encodeResponse(out, errorResponse);
    CHECK_EQUAL(std::string("ERROR BUSY waited, come back in 200 ms\r\nREADY E -\r\n"), out);
}

TEST(WireCodec, ArbitraryWordsConsumeExactlyOneLine)
{
    CHECK(rc::check([]() {
        const auto words = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("QUERY", "START", "READY", "ROW", "DONE", "ERROR", "PREPARE", "EXEC", "SET",
                "FETCH", "PUT", "-", "I", "3.9", "", "\x01\xff", "99999999999999999999.1"));
        std::string line;
        for (const std::string &word : words) {
            line += word + " ";
        }
        line += "\r\nREADY I -\r\n";
        const std::size_t end = line.find("\r\n") + 2;
        RC_ASSERT(decodeCallerMessage(line).consumedBytes == end);
        RC_ASSERT(decodeBackendMessage(line).consumedBytes == end);
        decodeBackendStatus(line);
    }));
}
