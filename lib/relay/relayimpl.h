// The state and the steps of RelayCore.
#pragma once

#include "daisyrelay/relay/relaycore.h"

#include "fallbackgate.h"
#include "forwardguard.h"
#include "keystore.h"
#include "keymemory.h"
#include "operationtable.h"
#include "replicationwaits.h"
#include "transactiontable.h"

#include <map>
#include <random>

namespace daisyrelay {

/// A caller's request goes through accept, route and either runHere or forward; at the home of the database it goes
/// through runHere, submit, send and replied; finish answers it. Only the entry that heard the caller retries.
///
/// A step that is given an operation may finish it, so nothing may be done with the operation after such a call.
class RelayCore::Impl
{
public:
    Impl(RelayOptions options, Counters &counters);

    // relaycaller.cpp: the entry that hears the caller.
    void acceptCaller(Instant now, const CallerRequest &caller);
    void forwardAnswered(Instant now, const VmId &from, const ForwardAnswer &answer);
    void peerUnreachable(Instant now, const VmId &vm);

    // relayhome.cpp: the home of the database.
    void acceptForward(Instant now, const VmId &from, const ForwardRequest &forward);

    // relaypools.cpp: connections to the databases.
    void connectionOpened(Instant now, ConnectionId connection);
    void connectionClosed(Instant now, ConnectionId connection);
    [[nodiscard]] std::vector<BackendView> views(Instant now) const;

    // relayreplies.cpp: what databases answer.
    void replied(Instant now, const BackendReply &reply);

    // relaypositions.cpp: where the logs of the databases stand.
    void announced(Instant now, const BackendAnnouncement &announcement);
    void replicaAt(Instant now, const BackendId &backend, std::optional<LogPoint> point);

    // relaykeys.cpp: requests that are not repeatable.
    void claimAsked(Instant now, const VmId &from, const KeyClaim &claim);
    void claimAnswered(Instant now, const VmId &from, const KeyVerdict &verdict);
    void copyAsked(Instant now, const VmId &from, const KeyCopyRequest &request);
    void copyArrived(Instant now, const VmId &from, const KeyCopy &copy);

    // relaytimers.cpp: time and leases.
    void setLease(Instant now, const LeaseState &lease);
    /// Applies the targets of the configuration to the work that waits.
    void retarget(Instant now);

    void tick(Instant now);

    // overshare.cpp: connections beyond the grant.
    [[nodiscard]] std::vector<BackendId> overShare(Instant now) const;

    RelayOptions options_;
    Counters &counters_;
    std::mt19937_64 generator_;
    RandomSource random_;
    TokenCodec tokens_;
    Router router_;
    ReadLoad load_;
    BackendTable backends_;
    LeaseState lease_;
    std::uint64_t configVersion_ = 0;
    Configuration configuration_;
    bool draining_ = false;
    OperationTable operations_;
    TransactionTable transactions_;
    std::vector<RelayAction> actions_;

private:
    /// A question after the position of a database that is on its way.
    struct OpenWatch {
        Instant askedAt;
        Term term = 0; ///< Of the group when the question was sent.
    };

    Expected<Operation> checkCaller(Instant now, const CallerRequest &caller);
    Expected<void> checkTarget(Operation &operation) const;
    void route(Instant now, Operation &operation);
    void forward(Instant now, Operation &operation, const VmId &to);
    bool tryAgain(Instant now, Operation &operation, const Error &error);
    void leaveLoad(Operation &operation);
    [[nodiscard]] Expected<void> checkForwardedAnswer(
        Instant now, const Operation &operation, const StatementResult &result) const;

    void runHere(Instant now, Operation &operation);
    void runGranted(Instant now, Operation &operation);
    void submit(Instant now, Operation &operation);
    void enterFallback(Instant now, Operation &operation);
    void leaveFallback(Instant now, Operation &operation);
    void send(Instant now, Operation &operation, ConnectionId connection);

    void readReplica(Instant now, Operation &operation);
    void waitFor(Instant now, Operation &operation, OperationStage stage);
    void resume(Instant now, std::vector<WorkId> &waiting, OperationStage stage);
    void abandon(Instant now, std::vector<WorkId> &waiting, OperationStage stage, const Error &error);
    void watch(Instant now, const BackendId &backend, const GroupKey &group, Position minPosition);
    void watchReplicas(Instant now, const GroupKey &group);
    void measurePrimaries(Instant now);
    void replicaReached(Instant now, const BackendId &backend, const GroupKey &group, const LogPoint &point);
    [[nodiscard]] bool countsAsCopy(const BackendId &backend, const GroupKey &group) const;

    void succeeded(Instant now, Operation &operation, const BackendReply &reply);
    void beginSucceeded(Instant now, Operation &operation);
    void writeSucceeded(Instant now, Operation &operation);
    void notRun(Instant now, Operation &operation, BackendOutcome outcome);
    void releaseConnection(Instant now, Operation &operation, ConnectionEnd end);
    void startWork(Instant now, const BackendId &backend, const StartWork &start);

    void routeToHolder(Instant now, Operation &operation);
    void runInTransaction(Instant now, Operation &operation);
    void closeTransaction(Instant now, const TransactionId &id, Error end);
    void expireTransactions(Instant now);

    void guardKey(Instant now, Operation &operation);
    void sendKeyStep(Instant now, const Operation &operation, KeyStep step);
    void endKey(Instant now, const Operation &operation, const Expected<StatementResult> &answer);
    KeyKeeper *keeper(Instant now);
    void copyKeys(Instant now);

    void wake(Instant now, Operation &operation);
    void expire(Instant now, Operation &operation);
    void dropOldTerms(Instant now);

    void finish(Instant now, WorkId id, Expected<StatementResult> answer);
    void fail(Instant now, Operation &operation, Error error);
    void answerPeer(const PeerOrigin &origin, const Expected<StatementResult> &answer);
    void answerCaller(const Operation &operation, const Expected<StatementResult> &answer);

    void drainPool(Instant now, const BackendId &backend);
    void updatePools(Instant now);
    [[nodiscard]] bool isHomeOf(Instant now, const HomeGrant &grant) const;
    [[nodiscard]] std::size_t grantedConnections(Instant now, const HomeGrant &grant) const;
    ConnectionPool &poolOf(const BackendId &backend);
    [[nodiscard]] bool mayAcknowledge(Instant now, const GroupKey &group, Term term) const;
    [[nodiscard]] Error whyNotAcknowledged(Instant now) const;
    [[nodiscard]] Endpoint addressOf(const BackendId &backend) const;

    WorkId nextWork_;
    ConnectionId nextConnection_ = 1;
    RetryBudgets budgets_;
    ForwardGuard forwards_;
    KeyMemory keys_;
    std::optional<KeyKeeper> keeper_;
    Instant copyAt_ {};
    Instant poolsAt_ {};
    ReplicationWaits replication_;
    std::map<BackendId, FallbackGate> gates_;
    std::map<BackendId, ConnectionPool> pools_;
    std::map<ConnectionId, BackendId> connections_;
    std::map<ConnectionId, WorkId> running_; ///< The statement under way on a connection.
    std::map<BackendId, OpenWatch> watches_;
    std::set<BackendId> watched_; ///< Servers to which a connection for questions may be open.
    std::map<GroupKey, Instant>
        measuredAt_; ///< When this VM last asked the primary of a group whose replicas it serves.
    std::map<GroupKey, std::vector<WorkId>> measuring_; ///< Reads that wait for the primary's position.
    std::map<BackendId, std::vector<WorkId>> catchingUp_; ///< Reads that wait for a replica.
    std::map<BackendId, Instant> failingSince_; ///< Servers whose last connection attempt or statement failed.
};

} // namespace daisyrelay
