// What sessions are promised, against servers that fail, lag, lose answers and change their roles.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

TEST_GROUP(ProxyCore)
{
    FakeService service;

    void start(ReadGuarantee guarantee)
    {
        service.configure(guarantee);
        service.sendTopology();
    }

    /// Runs one statement and returns its answer.
    CallerResponse execute(
        SessionId session, StatementType kind, const std::string &rest = "", const std::string &more = "")
    {
        service.send(session, kind, rest, more);
        if (kind == StatementType::Set) {
            service.callers[session].values[rest] = more;
        }
        return service.awaitResponse(session);
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }
};

TEST(ProxyCore, AWriteRunsAtThePrimaryAndReadsFollowIt)
{
    start(ReadGuarantee::ReadYourWrites);
    const SessionId session = service.open("a");
    const CallerResponse written = execute(session, StatementType::Write, "x");
    CHECK(written.code == ResponseCode::Ok);
    CHECK_EQUAL(std::string("b0"), written.signature.substr(0, 2));
    // The replicas do not have it for 20 ms; the read must see it all the same.
    const CallerResponse read = execute(session, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::Ok);
    CHECK_EQUAL(std::string("1"), read.rows.at(0));
}

TEST(ProxyCore, AReadOfAPrimaryRouteNeverRunsAtAServerThatLostTheLead)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    service.run(100ms);
    service.promote("b1"); // The core is not told.
    const std::uint64_t before = service.servers["b0"].statementsRun;
    service.send(session, StatementType::Read, "x");
    service.run(100ms);
    CHECK_EQUAL(before, service.servers["b0"].statementsRun);
    service.sendTopology();
    CHECK_EQUAL(std::string("b1"), service.awaitResponse(session).signature.substr(0, 2));
}

TEST(ProxyCore, AStatementBehindARefusedBeginDoesNotRunOutsideOfItsTransaction)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    service.promote("b1");
    CHECK(execute(session, StatementType::Begin).code == ResponseCode::Ok);
    const std::uint64_t before = service.servers["b0"].statementsRun;
    const CallerResponse read = execute(session, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::NotPrimary || read.code == ResponseCode::Busy);
    CHECK_EQUAL(before, service.servers["b0"].statementsRun);
    CHECK(read.state == TransactionState::Failed);
    CHECK(execute(session, StatementType::Rollback).state == TransactionState::Idle);
}

TEST(ProxyCore, ABoundedReadUsesAReplicaAndOneThatLagsTooFarIsPassedOver)
{
    start(ReadGuarantee::BoundedStaleness);
    service.replicationLag = 10s;
    const SessionId writer = service.open("w");
    CHECK(execute(writer, StatementType::Write, "x").code == ResponseCode::Ok);
    service.run(3s);
    const SessionId reader = service.open("r");
    const CallerResponse read = execute(reader, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::Ok);
    CHECK_EQUAL(std::string("1"), read.rows.at(0));
}

TEST(ProxyCore, WithoutAFreshPositionABoundedReadIsRefusedAndNotServedStale)
{
    start(ReadGuarantee::BoundedStaleness);
    service.servers["b0"].isSilent = true;
    service.run(4s);
    const SessionId session = service.open("a");
    const CallerResponse read = execute(session, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::Busy || read.code == ResponseCode::Lagging);
    CHECK_EQUAL(0U, service.servers["b1"].statementsRun + service.servers["b2"].statementsRun);
}

TEST(ProxyCore, AWriteWhoseAnswerIsLostIsInDoubtAndNotSentAgain)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    service.servers["b0"].dropsResponses = true;
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::InDoubt);
    service.servers["b0"].dropsResponses = false;
    service.run(2s);
    CHECK_EQUAL(1U, service.committed.size());
}

TEST(ProxyCore, AReadWhoseAnswerIsLostRunsAgain)
{
    start(ReadGuarantee::BoundedStaleness);
    service.servers["b0"].dropsResponses = true;
    const SessionId session = service.open("a");
    CHECK(execute(session, StatementType::Read, "x").code == ResponseCode::Ok);
}

TEST(ProxyCore, ATransactionWhoseConnectionBreaksIsAbortedAndItsCommitIsInDoubt)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    execute(session, StatementType::Begin);
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    service.servers["b0"].dropsResponses = true;
    const CallerResponse second = execute(session, StatementType::Write, "y");
    CHECK(second.code == ResponseCode::Aborted);
    CHECK(second.state == TransactionState::Failed);
    CHECK(execute(session, StatementType::Read, "y").code == ResponseCode::BadMessage);
    CHECK(execute(session, StatementType::Commit).code == ResponseCode::Aborted);
    CHECK_EQUAL(0U, service.committed.size());
    service.servers["b0"].dropsResponses = false;
    execute(session, StatementType::Begin);
    execute(session, StatementType::Write, "z");
    service.servers["b0"].dropsResponses = true;
    CHECK(execute(session, StatementType::Commit).code == ResponseCode::InDoubt);
}

TEST(ProxyCore, ValuesAndPreparedStatementsFollowTheirSessionOverSharedConnections)
{
    service.configure(ReadGuarantee::Primary);
    service.sendTopology(1);
    const SessionId first = service.open("a");
    const SessionId second = service.open("b");
    execute(first, StatementType::Set, "colour", "red");
    execute(second, StatementType::Set, "size", "big");
    service.send(first, StatementType::Prepare, "p", "apples");
    service.awaitResponse(first);
    service.send(second, StatementType::Prepare, "p", "pears");
    service.awaitResponse(second);
    for (int round = 0; round < 4; ++round) {
        CHECK_EQUAL(std::string("FETCH apples"), execute(first, StatementType::Execute, "p", "1").rows.at(0));
        CHECK_EQUAL(std::string("FETCH pears"), execute(second, StatementType::Execute, "p", "1").rows.at(0));
        CHECK(execute(first, StatementType::Read, "x").code == ResponseCode::Ok);
    }
    CHECK(execute(first, StatementType::Execute, "unknown", "1").code == ResponseCode::UnknownStatement);
}

TEST(ProxyCore, AnIdleTransactionGivesItsConnectionBack)
{
    service.configure(ReadGuarantee::Primary);
    service.sendTopology(1);
    const SessionId resting = service.open("a");
    execute(resting, StatementType::Begin);
    CHECK(execute(resting, StatementType::Write, "x").code == ResponseCode::Ok);
    const SessionId other = service.open("b");
    CHECK(execute(other, StatementType::Read, "x").code == ResponseCode::Busy); // Told at once when to come back.
    service.run(4s);
    CHECK(execute(other, StatementType::Read, "x").code == ResponseCode::Ok);
    CHECK(execute(resting, StatementType::Commit).code == ResponseCode::Aborted);
    CHECK_EQUAL(0U, service.committed.size());
}

TEST(ProxyCore, AServerThatIsBusyForAMomentIsOfferedTheStatementAgain)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    service.servers["b0"].isBusy = true;
    service.send(session, StatementType::Write, "x");
    service.run(15ms);
    service.servers["b0"].isBusy = false;
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
}

TEST(ProxyCore, WhatNobodyCanRunIsRefusedWithinItsTargetAndNotAtItsDeadline)
{
    start(ReadGuarantee::Primary);
    service.servers["b0"].isSilent = true;
    service.serversRefusingConnections.insert("b0");
    const SessionId session = service.open("a");
    const Instant sent = service.now;
    CHECK(execute(session, StatementType::Read, "x").code == ResponseCode::Busy);
    CHECK(service.now - sent < 400ms);
    service.run(3s);
    const Instant again = service.now;
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Busy);
    CHECK(service.now - again < 50ms); // The outage is known by now.
}

TEST(ProxyCore, ADrainClosesRestingSessionsOnceTheBalancerHasNoticed)
{
    start(ReadGuarantee::Primary);
    const SessionId resting = service.open("a");
    const SessionId working = service.open("b");
    execute(working, StatementType::Begin);
    execute(working, StatementType::Write, "x");
    service.core.drain(service.now, 6s);
    CHECK(!service.core.isReady());
    service.run(1s);
    CHECK(!service.callers[resting].closed);
    service.run(2s);
    CHECK(service.callers[resting].closed);
    CHECK(!service.callers[working].closed);
    CHECK(execute(working, StatementType::Commit).code == ResponseCode::Ok);
    service.run(200ms);
    CHECK(service.callers[working].closed);
    CHECK(service.core.isDrained(service.now));
    CHECK_EQUAL(0U, service.connections.size());
}

// Found by the fault soak: control could not reach the former primary itself, and took the refusals that entries got
// from it for signs of life, so that it was never replaced.
TEST(ProxyCore, AServerThatNoLongerLeadsIsNotReportedAsAnswering)
{
    FakeService service;
    service.configure(ReadGuarantee::Primary);
    service.sendTopology();
    const SessionId session = service.open("a");
    const auto reported = [&service]() {
        EntryReport report;
        service.core.fillReport(service.now, report);
        CHECK_EQUAL(1, report.primaries.size());
        return report.primaries.front().confirmed;
    };
    service.send(session, StatementType::Write, "x");
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    CHECK(reported());
    service.promote("b1");
    for (int at = 0; at < 3; ++at) {
        service.send(session, StatementType::Write, "x");
        CHECK(service.awaitResponse(session).code == ResponseCode::NotPrimary);
    }
    CHECK(!reported());
}
