// When commits are acknowledged to callers where commits wait for a replica.
#include "fakeservice.h"

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;
using namespace std::chrono_literals;

/// A service of the primary "b0" and the replicas "b1" and "b2", whose commits wait for one replica.
struct SynchronousService : Utest {
    FakeService service;
    SessionId session = 0;
    std::uint64_t homesVersion = 0;

    void setup() override
    {
        start(1);
    }

    void start(std::uint32_t syncReplicas)
    {
        service.syncReplicas = syncReplicas;
        service.configure(ReadGuarantee::Primary);
        service.sendTopology();
        session = service.open("caller");
    }

    void silence(const std::string &server, bool isSilent = true)
    {
        service.servers[server].isSilent = isSilent;
    }

    /// Tells the entry that other entries are the homes of all servers. \p quotas are those of this entry.
    void assignHomes(const std::map<std::string, std::uint32_t> &quotas)
    {
        EntryUpdate update;
        update.homes.emplace();
        update.homes->version = ++homesVersion;
        update.homes->isLast = true;
        for (const auto &[name, server] : service.servers) {
            update.homes->homes.push_back({ BackendId { name }, { VmId { "home-1" }, VmId { "home-2" } } });
        }
        for (const auto &[name, connections] : quotas) {
            update.quotas.push_back({ BackendId { name }, connections });
        }
        service.core.onControlUpdate(service.now, update);
        service.performActions();
    }

    /// Sends a write and returns the response to it.
    CallerResponse write()
    {
        service.send(session, StatementType::Write, "item");
        return service.awaitResponse(session);
    }
};

TEST_GROUP_BASE(CommitReceipts, SynchronousService) {};

// The primary also acknowledges commits on the receipt of a server that control does not know, which a promotion loses.
TEST(CommitReceipts, CommitThatNoKnownReplicaHasReceivedIsInDoubt)
{
    service.replicationLag = 10s;
    const Instant sentAt = service.now;
    CHECK(write().code == ResponseCode::InDoubt);
    CHECK_EQUAL(1U, service.committed.size());
    CHECK(service.now - sentAt <= 820ms);
}

TEST(CommitReceipts, CommitIsAcknowledgedOnceAReplicaHasReceivedIt)
{
    service.replicationLag = 100ms;
    const Instant sentAt = service.now;
    CHECK(write().code == ResponseCode::Ok);
    CHECK(service.now - sentAt >= 100ms);
    CHECK(service.now - sentAt < 140ms);
    CHECK_EQUAL(std::string(), service.violation);
}

TEST(CommitReceipts, OneReplicaIsEnough)
{
    silence("b1");
    CHECK(write().code == ResponseCode::Ok);
}

// The position of a replica with the log of another term says nothing about the commit.
TEST(CommitReceipts, PositionOfAnotherTermDoesNotCount)
{
    service.replicationLag = 10s;
    service.servers["b1"].received = LogPoint { 2, 500 };
    service.servers["b2"].received = LogPoint { 0, 500 };
    CHECK(write().code == ResponseCode::InDoubt);
}

// A transaction is committed, or in doubt, as a whole.
TEST(CommitReceipts, CommitOfATransactionWaitsForAReplica)
{
    service.replicationLag = 100ms;
    service.send(session, StatementType::Begin);
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    CHECK(write().code == ResponseCode::Ok);
    const Instant sentAt = service.now;
    service.send(session, StatementType::Commit);
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    CHECK(service.now - sentAt >= 100ms);
    service.replicationLag = 10s;
    service.send(session, StatementType::Begin);
    service.awaitResponse(session);
    CHECK(write().code == ResponseCode::Ok);
    service.send(session, StatementType::Commit);
    CHECK(service.awaitResponse(session).code == ResponseCode::InDoubt);
    service.replicationLag = 20ms;
    CHECK(write().code == ResponseCode::Ok); // The session is usable again.
    CHECK_EQUAL(std::string(), service.violation);
}

// A replica that restarts forgets its pause. Its receipts count again only if control was not replacing the primary
// after the restart.
TEST(CommitReceipts, ReplicaThatRestartsDuringAPromotionDoesNotCount)
{
    service.send(session, StatementType::Write, "item");
    service.replicationLag = 300ms;
    service.run(8ms); // The primary has acknowledged the commit by now.
    service.withdrawn = { { ServiceId { "s" }, 7 } };
    service.reportToControl();
    service.breakConnections("b1");
    service.breakConnections("b2");
    CHECK(service.awaitResponse(session).code == ResponseCode::InDoubt);
}

TEST(CommitReceipts, ReplicaThatRestartsCountsAfterTheNextReport)
{
    service.replicationLag = 300ms;
    service.send(session, StatementType::Write, "item");
    service.run(8ms);
    service.breakConnections("b1");
    service.breakConnections("b2");
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
}

// A replica may still have commits that the promotion has rolled back.
TEST(CommitReceipts, CommitOfAFormerPrimaryIsInDoubt)
{
    service.replicationLag = 10s;
    service.send(session, StatementType::Write, "item");
    service.run(20ms);
    service.servers["b2"].received = LogPoint { 1, 500 };
    service.primary = "b1";
    ++service.term;
    const Instant replacedAt = service.now;
    service.sendTopology();
    CHECK(service.awaitResponse(session).code == ResponseCode::InDoubt);
    CHECK(service.now - replacedAt <= 600ms); // sendTopology() runs for 500 ms.
}

// An entry that is cut off together with the primary would answer every write in doubt, after its whole timeout.
TEST(CommitReceipts, WriteIsRejectedAtOnceWithoutReplicas)
{
    service.isControlReachable = false;
    silence("b1");
    silence("b2");
    CHECK(write().code == ResponseCode::InDoubt);
    service.run(1s);
    const std::size_t committed = service.committed.size();
    const Instant sentAt = service.now;
    CHECK(write().code == ResponseCode::Busy);
    CHECK(service.now == sentAt);
    CHECK_EQUAL(committed, service.committed.size());
    service.isControlReachable = true;
    silence("b1", false);
    silence("b2", false);
    service.run(2s);
    CHECK(write().code == ResponseCode::Ok);
}

// Reads at the primary need no replica.
TEST(CommitReceipts, ReadNeedsNoReplica)
{
    silence("b1");
    silence("b2");
    service.send(session, StatementType::Read, "item");
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
}

// Closing a session must not leave a commit behind that a later receipt would complete.
TEST(CommitReceipts, CallerMayLeaveBeforeTheReceipt)
{
    service.replicationLag = 100ms;
    service.send(session, StatementType::Write, "item");
    service.run(20ms);
    service.core.onSessionClosed(service.now, session);
    service.run(300ms);
    session = service.open("other");
    CHECK(write().code == ResponseCode::Ok);
}

// Services whose commits wait for no replica pay nothing.
TEST(CommitReceipts, OtherServicesAskNoReplica)
{
    start(0);
    silence("b1");
    silence("b2");
    CHECK(write().code == ResponseCode::Ok);
    CHECK_EQUAL(0, service.metrics.value("receipts_requested_total"));
}

// A server that control has removed may be the only one that has received a commit, and no survey asks it.
TEST(CommitReceipts, HomeWithoutConnectionsToReplicasAcknowledgesNoCommit)
{
    assignHomes({ { "b0", 4 }, { "b1", 0 }, { "b2", 0 } });
    service.run(500ms);
    CHECK(write().code != ResponseCode::Ok);
    CHECK_EQUAL(0U, service.committed.size());
}

// With many servers, control grants connections only on request. An entry that only writes would never get any to the
// replicas, and its commits no receipt.
TEST(CommitReceipts, EntryRequestsConnectionsToReplicas)
{
    EntryUpdate update;
    update.quotas = { { BackendId { "b1" }, 0 }, { BackendId { "b2" }, 0 } };
    service.core.onControlUpdate(service.now, update);
    service.run(500ms);
    service.send(session, StatementType::Write, "item");
    EntryReport report;
    service.core.fillReport(service.now, report);
    std::set<std::string> requested;
    for (const ConnectionQuota &quota : report.requestedQuotas) {
        requested.insert(quota.backend.value);
    }
    CHECK(requested.contains("b1"));
    CHECK(requested.contains("b2"));
    update.quotas = { { BackendId { "b1" }, 1 }, { BackendId { "b2" }, 1 } };
    service.core.onControlUpdate(service.now, update);
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
}

// Another entry becomes the home of all servers while a commit waits for its receipt.
TEST(CommitReceipts, CommitIsAcknowledgedAfterTheHomesHaveMoved)
{
    service.replicationLag = 100ms;
    service.send(session, StatementType::Write, "item");
    service.run(8ms); // The primary has acknowledged the commit by now.
    assignHomes({ { "b0", 0 }, { "b1", 0 }, { "b2", 0 } });
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    service.run(300ms);
    CHECK_EQUAL(0U, service.connections.size());
}

// A transaction that is open when the homes move still commits at the former home.
TEST(CommitReceipts, OpenTransactionCommitsAfterTheHomesHaveMoved)
{
    service.send(session, StatementType::Begin);
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    CHECK(write().code == ResponseCode::Ok);
    assignHomes({ { "b0", 0 }, { "b1", 0 }, { "b2", 0 } });
    service.run(1s);
    service.send(session, StatementType::Commit);
    CHECK(service.awaitResponse(session).code == ResponseCode::Ok);
    service.run(300ms);
    CHECK_EQUAL(0U, service.connections.size());
}
