// Prepared statements of callers at backend connections.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(PreparedNames)
{
    FakeService service;
    SessionId session = 0;

    void setup() override
    {
        service.configure(ReadGuarantee::Primary);
        service.sendTopology();
        session = service.open("caller");
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }

    CallerResponse execute(StatementType type, const std::string &text = "", const std::string &argument = "")
    {
        service.send(session, type, text, argument);
        return service.awaitResponse(session);
    }

    /// Prepares \p shape under the name "s" and runs it. The result must be that of this shape.
    void runShape(const std::string &shape)
    {
        CHECK(execute(StatementType::Prepare, "s", shape).code == ResponseCode::Ok);
        const CallerResponse response = execute(StatementType::Execute, "s", "item");
        CHECK(response.code == ResponseCode::Ok);
        CHECK_EQUAL("FETCH " + shape, response.rows.at(0));
    }

    void loseNames()
    {
        for (auto &[id, connection] : service.connections) {
            connection.prepared.clear();
        }
    }
};

// An entry that has met thousands of shapes must still send the name that it has just prepared.
TEST(PreparedNames, EveryShapeRunsInItsTransaction)
{
    constexpr int Shapes = 4200;
    for (int shape = 0; shape < Shapes; ++shape) {
        CHECK(execute(StatementType::Begin).code == ResponseCode::Ok);
        CHECK(execute(StatementType::Read, "item").code == ResponseCode::Ok);
        runShape("q" + std::to_string(shape));
        CHECK(execute(StatementType::Commit).code == ResponseCode::Ok);
    }
}

// A connection keeps fewer names than this transaction uses.
TEST(PreparedNames, TransactionRunsMoreShapesThanAConnectionKeeps)
{
    service.callers[session].values["zone"] = "utc";
    CHECK(execute(StatementType::Set, "zone", "utc").code == ResponseCode::Ok);
    CHECK(execute(StatementType::Begin).code == ResponseCode::Ok);
    for (int round = 0; round < 2; ++round) {
        for (int shape = 0; shape < 100; ++shape) {
            runShape("q" + std::to_string(shape));
        }
    }
    CHECK(execute(StatementType::Commit).code == ResponseCode::Ok);
    for (const auto &[id, connection] : service.connections) {
        CHECK(connection.prepared.size() <= ProxyTiming().maxPreparedStatements);
    }
}

TEST(PreparedNames, StatementWithoutTransactionIsPreparedAgain)
{
    runShape("q");
    loseNames();
    runShape("q");
}

// The caller has prepared its own name, so that it must not learn that a name is unknown.
TEST(PreparedNames, TransactionIsAbortedWhenTheServerHasLostTheName)
{
    CHECK(execute(StatementType::Begin).code == ResponseCode::Ok);
    runShape("q");
    loseNames();
    CHECK(execute(StatementType::Execute, "s", "item").code == ResponseCode::Aborted);
    CHECK(execute(StatementType::Rollback).code == ResponseCode::Ok);
    runShape("q");
}

TEST(PreparedNames, RejectedPreparationIsRepeatedBeforeTheFirstStatementRuns)
{
    service.rejectedPreparations = 1;
    CHECK(execute(StatementType::Begin).code == ResponseCode::Ok);
    runShape("q");
    CHECK(execute(StatementType::Commit).code == ResponseCode::Ok);
}

TEST(PreparedNames, NameThatWasNotPreparedIsUnknown)
{
    CHECK(execute(StatementType::Execute, "other", "item").code == ResponseCode::UnknownStatement);
}
