// Session guarantees with servers that fail, lag, lose responses and change roles.
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

    /// Runs one statement and returns the response.
    CallerResponse execute(
        SessionId session, StatementType type, const std::string &text = "", const std::string &argument = "")
    {
        service.send(session, type, text, argument);
        if (type == StatementType::Set) {
            service.callers[session].values[text] = argument;
        }
        return service.awaitResponse(session);
    }

    void teardown() override
    {
        CHECK_EQUAL(std::string(), service.violation);
    }
};

TEST(ProxyCore, WriteRunsAtPrimaryAndReadSeesIt)
{
    start(ReadGuarantee::ReadYourWrites);
    const SessionId session = service.open("a");
    const CallerResponse written = execute(session, StatementType::Write, "x");
    CHECK(written.code == ResponseCode::Ok);
    CHECK_EQUAL(std::string("b0"), written.signature.substr(0, 2));
    // Replicas apply the write only after 20 ms, but the read must see it at once.
    const CallerResponse read = execute(session, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::Ok);
    CHECK_EQUAL(std::string("1"), read.rows.at(0));
}

TEST(ProxyCore, PrimaryReadNeverRunsAtFormerPrimary)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    service.run(100ms);
    service.promote("b1"); // The core is not notified.
    const std::uint64_t runsBefore = service.servers["b0"].statementsRun;
    service.send(session, StatementType::Read, "x");
    service.run(100ms);
    CHECK_EQUAL(runsBefore, service.servers["b0"].statementsRun);
    service.sendTopology();
    CHECK_EQUAL(std::string("b1"), service.awaitResponse(session).signature.substr(0, 2));
}

TEST(ProxyCore, StatementDoesNotRunAfterRejectedBegin)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    service.promote("b1");
    CHECK(execute(session, StatementType::Begin).code == ResponseCode::Ok);
    const std::uint64_t runsBefore = service.servers["b0"].statementsRun;
    const CallerResponse read = execute(session, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::NotPrimary || read.code == ResponseCode::Busy);
    CHECK_EQUAL(runsBefore, service.servers["b0"].statementsRun);
    CHECK(read.state == TransactionState::Failed);
    CHECK(execute(session, StatementType::Rollback).state == TransactionState::Idle);
}

TEST(ProxyCore, BoundedReadSkipsReplicaBeyondStalenessBound)
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

TEST(ProxyCore, BoundedReadIsRejectedWithoutRecentPosition)
{
    start(ReadGuarantee::BoundedStaleness);
    service.servers["b0"].isSilent = true;
    service.run(4s);
    const SessionId session = service.open("a");
    const CallerResponse read = execute(session, StatementType::Read, "x");
    CHECK(read.code == ResponseCode::Busy || read.code == ResponseCode::Lagging);
    CHECK_EQUAL(0U, service.servers["b1"].statementsRun + service.servers["b2"].statementsRun);
}

TEST(ProxyCore, WriteIsInDoubtAndNotRetriedWhenResponseIsLost)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    service.servers["b0"].dropsResponses = true;
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::InDoubt);
    service.servers["b0"].dropsResponses = false;
    service.run(2s);
    CHECK_EQUAL(1U, service.committed.size());
}

TEST(ProxyCore, ReadIsRetriedWhenResponseIsLost)
{
    start(ReadGuarantee::BoundedStaleness);
    service.servers["b0"].dropsResponses = true;
    const SessionId session = service.open("a");
    CHECK(execute(session, StatementType::Read, "x").code == ResponseCode::Ok);
}

TEST(ProxyCore, LostConnectionAbortsTransactionAndLeavesCommitInDoubt)
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

TEST(ProxyCore, SessionStateFollowsSessionAcrossSharedConnections)
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

TEST(ProxyCore, IdleTransactionIsRolledBackAndReleasesConnection)
{
    service.configure(ReadGuarantee::Primary);
    service.sendTopology(1);
    const SessionId idle = service.open("a");
    execute(idle, StatementType::Begin);
    CHECK(execute(idle, StatementType::Write, "x").code == ResponseCode::Ok);
    const SessionId other = service.open("b");
    // The statement is rejected at once, and the response states when to retry.
    CHECK(execute(other, StatementType::Read, "x").code == ResponseCode::Busy);
    service.run(4s);
    CHECK(execute(other, StatementType::Read, "x").code == ResponseCode::Ok);
    CHECK(execute(idle, StatementType::Commit).code == ResponseCode::Aborted);
    CHECK_EQUAL(0U, service.committed.size());
}

TEST(ProxyCore, StatementIsRetriedAfterBusyRejection)
{
    start(ReadGuarantee::Primary);
    const SessionId session = service.open("a");
    service.servers["b0"].isBusy = true;
    service.send(session, StatementType::Write, "x");
    service.run(15ms);
    service.servers["b0"].isBusy = false;
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
}

TEST(ProxyCore, StatementWithoutServerIsRejectedBeforeItsTimeout)
{
    start(ReadGuarantee::Primary);
    service.servers["b0"].isSilent = true;
    service.serversRefusingConnections.insert("b0");
    const SessionId session = service.open("a");
    const Instant sentAt = service.now;
    CHECK(execute(session, StatementType::Read, "x").code == ResponseCode::Busy);
    CHECK(service.now - sentAt < 400ms);
    service.run(3s);
    const Instant secondSentAt = service.now;
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Busy);
    CHECK(service.now - secondSentAt < 50ms); // The core has detected the outage by now.
}

TEST(ProxyCore, DrainClosesIdleSessionsAfterBalancerNoticeTime)
{
    start(ReadGuarantee::Primary);
    const SessionId idle = service.open("a");
    const SessionId active = service.open("b");
    execute(active, StatementType::Begin);
    execute(active, StatementType::Write, "x");
    service.core.drain(service.now, 6s);
    CHECK(!service.core.isReady(service.now));
    service.run(1s);
    CHECK(!service.callers[idle].isClosed);
    service.run(2s);
    CHECK(service.callers[idle].isClosed);
    CHECK(!service.callers[active].isClosed);
    CHECK(execute(active, StatementType::Commit).code == ResponseCode::Ok);
    service.run(200ms);
    CHECK(service.callers[active].isClosed);
    CHECK(service.core.isDrained(service.now));
    CHECK_EQUAL(0U, service.connections.size());
}

// A former primary still rejects statements. If entries report it as responding, control never replaces it when control
// itself cannot reach the server. Found by the fault soak.
TEST(ProxyCore, FormerPrimaryIsNotReportedAsResponding)
{
    FakeService service;
    service.configure(ReadGuarantee::Primary);
    service.sendTopology();
    const SessionId session = service.open("a");
    const auto isReportedAsConfirmed = [&service]() {
        EntryReport report;
        service.core.fillReport(service.now, report);
        CHECK_EQUAL(1, report.primaries.size());
        return report.primaries.front().isConfirmed;
    };
    service.send(session, StatementType::Write, "x");
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    CHECK(isReportedAsConfirmed());
    service.promote("b1");
    for (int at = 0; at < 3; ++at) {
        service.send(session, StatementType::Write, "x");
        CHECK(service.awaitResponse(session).code == ResponseCode::NotPrimary);
    }
    CHECK(!isReportedAsConfirmed());
}

// A former primary accepts the COMMIT of a transaction that wrote nothing. Taken for a proof of the role, its position
// let bounded reads run on logs that lacked older commits of the new primary.
TEST(ProxyCore, CommitWithoutWritesDoesNotConfirmThePrimary)
{
    start(ReadGuarantee::BoundedStaleness);
    const SessionId idle = service.open("a");
    CHECK(execute(idle, StatementType::Begin).code == ResponseCode::Ok);
    CHECK(execute(idle, StatementType::Read, "x").code == ResponseCode::Ok);
    service.promote("b1"); // The core is not notified.
    service.replicationLag = 10s;
    service.run(2s);
    CHECK(execute(idle, StatementType::Commit).code == ResponseCode::Ok);
    const std::uint64_t runsBefore = service.servers["b0"].statementsRun + service.servers["b2"].statementsRun;
    const SessionId reader = service.open("r");
    service.send(reader, StatementType::Read, "x");
    service.run(300ms);
    CHECK_EQUAL(runsBefore, service.servers["b0"].statementsRun + service.servers["b2"].statementsRun);
}

// Reads older than their route allows, after an entry stood still between the BEGIN and the COMMIT of an empty
// transaction: the primary was replaced meanwhile, and a former primary answers that COMMIT.
TEST(ProxyCore, CommitAsFirstStatementDoesNotConfirmThePrimary)
{
    start(ReadGuarantee::BoundedStaleness);
    const SessionId idle = service.open("a");
    CHECK(execute(idle, StatementType::Begin).code == ResponseCode::Ok);
    service.send(idle, StatementType::Commit, "COMMIT");
    service.run(2ms); // The primary has run the BEGIN.
    service.promote("b1"); // The core is not notified.
    service.replicationLag = 10s;
    service.now += 3s;
    CHECK(service.awaitResponse(idle).code == ResponseCode::Ok);
    const std::uint64_t runsBefore = service.servers["b0"].statementsRun + service.servers["b2"].statementsRun;
    service.send(service.open("r"), StatementType::Read, "x");
    service.run(300ms);
    CHECK_EQUAL(runsBefore, service.servers["b0"].statementsRun + service.servers["b2"].statementsRun);
}

// Reads older than their route allows after a promotion: the new primary accepted a BEGIN and reported a position while
// it still applied what it had received.
TEST(ProxyCore, PositionOfAPrimaryThatRunsNoStatementsYetIsNotReliedOn)
{
    start(ReadGuarantee::BoundedStaleness);
    const SessionId session = service.open("a");
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    service.run(100ms);
    const LogPoint applied = service.servers["b1"].applied;
    service.replicationLag = 60s;
    for (int at = 0; at < 3; ++at) {
        CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    }
    const LogPoint received = service.servers["b0"].applied;
    service.primary = "b1";
    ++service.term;
    service.servers["b0"].applied = applied;
    service.servers["b1"].isBusy = true;
    service.servers["b1"].received = received;
    service.sendTopology();
    service.run(2s);
    service.send(service.open("r"), StatementType::Read, "x");
    const std::uint64_t runsBefore = service.servers["b0"].statementsRun + service.servers["b2"].statementsRun;
    service.run(1s);
    service.send(service.open("s"), StatementType::Read, "x");
    service.run(1s);
    CHECK_EQUAL(runsBefore, service.servers["b0"].statementsRun + service.servers["b2"].statementsRun);
    service.servers["b1"].applied = { service.term, received.position };
    service.servers["b1"].isBusy = false;
    CHECK(execute(session, StatementType::Read, "x").code == ResponseCode::Ok);
}

// Reads older than their route allows after a promotion: a read at the new primary let its position pass for the end of
// its log, although it reported less than it had received.
TEST(ProxyCore, ReadAtANewPrimaryDoesNotProveItsPosition)
{
    start(ReadGuarantee::BoundedStaleness);
    const SessionId session = service.open("a");
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    service.run(100ms);
    service.replicationLag = 60s;
    CHECK(execute(session, StatementType::Write, "x").code == ResponseCode::Ok);
    const LogPoint received = service.servers["b0"].applied;
    service.primary = "b1";
    ++service.term;
    service.servers["b0"].applied = service.servers["b1"].applied;
    service.servers["b1"].received = received;
    service.sendTopology();
    service.run(2s);
    const std::uint64_t runsBefore = service.servers["b0"].statementsRun + service.servers["b2"].statementsRun;
    for (int at = 0; at < 5; ++at) {
        CHECK(execute(session, StatementType::Read, "x").code == ResponseCode::Ok);
        service.run(100ms);
    }
    CHECK_EQUAL(runsBefore, service.servers["b0"].statementsRun + service.servers["b2"].statementsRun);
}

// The position of a former primary, sent to another entry as that of its successor, let reads of that entry miss the
// session's own writes.
TEST(ProxyCore, PositionIsSentWithTheGenerationOfThePrimaryThatWasAsked)
{
    start(ReadGuarantee::ReadYourWrites);
    std::optional<PositionResponse> sent;
    service.onMessage = [&sent](const SendToEntry &message) {
        if (const auto *response = std::get_if<PositionResponse>(&message.message); response != nullptr) {
            sent = *response;
        }
    };
    service.core.onPositionRequest(service.now, VmId { "e" }, { ServiceId { "s" }, 1 });
    const Term former = service.term;
    EntryUpdate update; // The sample is in flight while the entry learns of the promotion.
    update.topology.emplace();
    update.topology->baseIndex = 2;
    update.topology->index = 3;
    update.topology->primaries.push_back({ ServiceId { "s" }, BackendId { "b1" }, former + 1 });
    service.core.onControlUpdate(service.now, update);
    service.run(50ms);
    CHECK(sent.has_value());
    CHECK_EQUAL(former, sent->generation);
}
