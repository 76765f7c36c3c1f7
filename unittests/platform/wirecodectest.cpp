// The lines of callers and databases, whole, split and damaged.
#include "platform/wirecodec.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace daisyrelay::platform;

TEST_GROUP(WireCodec) {
    static Statement statement(std::string_view line) { const Decoded<CallerMessage> decoded = decodeCaller(line);
CHECK_EQUAL(line.size(), decoded.consumed);
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

TEST(WireCodec, StatementsOfCallersGoOnUnchanged)
{
    for (const char *line :
        { "QUERY a1 FETCH 1a4\r\n", "QUERY a2 PUT 1a4 some data here\r\n", "QUERY a3 COMMIT\r\n" }) {
        CHECK_EQUAL(std::string(line), encoded(statement(line)));
    }
}

TEST(WireCodec, APreparedStatementIsRenamedAndNothingElse)
{
    Statement execute = statement("QUERY a1 EXEC s1 1a4 xk q\r\n");
    CHECK(execute.kind == StatementType::Execute);
    CHECK_EQUAL(std::string("s1"), execute.name);
    execute.name = "p9";
    CHECK_EQUAL(std::string("QUERY a1 EXEC p9 1a4 xk q\r\n"), encoded(execute));
    const Statement prepare = statement("QUERY a2 PREPARE s1 PUT q2c\r\n");
    CHECK(prepare.preparesWrite);
    CHECK_EQUAL(std::string("q2c"), prepare.argument);
}

TEST(WireCodec, APositionGoesBeforeTheStatement)
{
    Statement read = statement("QUERY a1 FETCH 1a4\r\n");
    read.minPoint = LogPoint { 3, 1207 };
    CHECK_EQUAL(std::string("QUERY a1 SINCE 3.1207 FETCH 1a4\r\n"), encoded(read));
    Statement begin;
    begin.kind = StatementType::BeginReadOnly;
    begin.minPoint = LogPoint { 3, 1207 };
    CHECK_EQUAL(std::string("QUERY - SINCE 3.1207 BEGIN FETCH\r\n"), encoded(begin));
}

TEST(WireCodec, AnIncompleteLineWaitsForItsRest)
{
    CHECK_EQUAL(0U, decodeCaller("QUERY a1 FETCH").consumed);
    CHECK_EQUAL(0U, decodeBackend("READY I").consumed);
    CHECK(std::holds_alternative<Malformed>(decodeCaller(std::string(LargestMessage + 1, 'x')).message));
}

TEST(WireCodec, AnswersOfDatabases)
{
    const auto ready = std::get<BackendReady>(decodeBackend("READY T 3.1209\r\n").message);
    CHECK(ready.state == TransactionState::Open);
    CHECK(ready.position == (LogPoint { 3, 1209 }));
    CHECK(!std::get<BackendReady>(decodeBackend("READY I -\r\n").message).position.has_value());
    CHECK(std::get<BackendDone>(decodeBackend("DONE -\r\n").message).proof.empty());
    CHECK(std::get<BackendError>(decodeBackend("ERROR READONLY i-7\r\n").message).code == ResponseCode::NotPrimary);
    // A word that is not known promises nothing.
    CHECK(std::get<BackendError>(decodeBackend("ERROR NEWCODE x\r\n").message).code == ResponseCode::Failed);
    const std::optional<BackendStatus> status = decodeStatus("replica 3 3.1209 0 12 2 17");
    CHECK(status.has_value() && !status->isPrimary);
    CHECK_EQUAL(3U, status->term);
    CHECK(!decodeStatus("replica x").has_value());
}

TEST(WireCodec, AnswersToCallers)
{
    CallerResponse answer;
    answer.rows = { "abc" };
    answer.signature = "7.1f3";
    answer.position = LogPoint { 3, 9 };
    std::string out;
    encodeAnswer(out, answer);
    CHECK_EQUAL(std::string("ROW abc\r\nDONE 7.1f3\r\nREADY I 3.9\r\n"), out);
    CallerResponse refusal;
    refusal.code = ResponseCode::Busy;
    refusal.detail = "waited, come back in 200 ms";
    refusal.state = TransactionState::Failed;
    out.clear();
    encodeAnswer(out, refusal);
    CHECK_EQUAL(std::string("ERROR BUSY waited, come back in 200 ms\r\nREADY E -\r\n"), out);
}

TEST(WireCodec, DamagedBytesAreReadWithinTheirBoundsOrRefused)
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
        RC_ASSERT(decodeCaller(line).consumed == end);
        RC_ASSERT(decodeBackend(line).consumed == end);
        decodeStatus(line);
    }));
}
