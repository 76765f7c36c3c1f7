// The state and the processing steps of RelayCore.
#pragma once

#include "daisyrelay/relay/relaycore.h"

#include "fallbacklimiter.h"
#include "forwardguard.h"
#include "keyresponsecache.h"
#include "keystore.h"
#include "operationtable.h"
#include "pendingreplication.h"
#include "transactiontable.h"

#include <map>
#include <random>

namespace daisyrelay {

/// A request of a caller passes through acceptCallerRequest, route and either runLocally or forward. At the home of the
/// database it passes through runLocally, submit, send and handleBackendResponse. finish sends the response. Only the
/// entry that received the request from the caller retries it.
///
/// A step that takes an operation may finish it, so the operation must not be used after such a call.
class RelayCore::Impl
{
public:
    Impl(RelayOptions options, Counters &counters);

    // relaycaller.cpp: the entry that received the request from the caller.
    void acceptCallerRequest(Instant now, const CallerRequest &caller);
    void handleForwardResponse(Instant now, const VmId &from, const ForwardResponse &response);
    void handlePeerUnreachable(Instant now, const VmId &vm);

    // relayhome.cpp: the home of the database.
    void acceptForwardRequest(Instant now, const VmId &from, const ForwardRequest &forward);

    // relaypools.cpp: connections to the databases.
    void handleConnectionOpened(Instant now, ConnectionId connection);
    void handleConnectionClosed(Instant now, ConnectionId connection);
    [[nodiscard]] std::vector<BackendView> backendViews(Instant now) const;

    // relayresponses.cpp: responses of the databases.
    void handleBackendResponse(Instant now, const BackendStatementResponse &response);

    // relaypositions.cpp: log positions of the databases.
    void handleAnnouncement(Instant now, const BackendAnnouncement &announcement);
    void handleBackendPosition(Instant now, const BackendId &backend, std::optional<LogPoint> point);

    // relaykeys.cpp: idempotency keys of non-repeatable requests.
    void handleKeyClaim(Instant now, const VmId &from, const KeyClaim &claim);
    void handleKeyClaimResponse(Instant now, const VmId &from, const KeyClaimResponse &response);
    void handleKeyCopyRequest(Instant now, const VmId &from, const KeyCopyRequest &request);
    void handleKeyCopyChunk(Instant now, const VmId &from, const KeyCopyChunk &chunk);

    // relaytimers.cpp: timers and leases.
    void setLease(Instant now, const LeaseState &lease);
    /// Applies the latency targets of the configuration to queued work.
    void applyLatencyTargets(Instant now);

    void tick(Instant now);

    // relaygrants.cpp: connections beyond the grant.
    [[nodiscard]] std::vector<BackendId> backendsOverGrant(Instant now) const;

    RelayOptions options_;
    Counters &counters_;
    std::mt19937_64 generator_;
    RandomSource random_;
    TokenCodec tokens_;
    Router router_;
    ReadLoad readLoad_;
    BackendTable backends_;
    LeaseState lease_;
    std::uint64_t configVersion_ = 0;
    Configuration configuration_;
    bool isDraining_ = false;
    OperationTable operations_;
    TransactionTable transactions_;
    std::vector<RelayAction> actions_;

private:
    /// An open AwaitBackendPosition request.
    struct PositionRequest {
        Instant requestedAt;
        Term term = 0; ///< Term of the group when the request was sent.
    };

    Expected<Operation> checkCallerRequest(Instant now, const CallerRequest &caller);
    Expected<void> resolveTarget(Operation &operation) const;
    void route(Instant now, Operation &operation);
    void forward(Instant now, Operation &operation, const VmId &to);
    bool scheduleRetry(Instant now, Operation &operation, const Error &error);
    void endLoadTracking(Operation &operation);
    [[nodiscard]] Expected<void> checkForwardedResult(
        Instant now, const Operation &operation, const StatementResult &result) const;

    void runLocally(Instant now, Operation &operation);
    void startExecution(Instant now, Operation &operation);
    void submit(Instant now, Operation &operation);
    void startFallbackRead(Instant now, Operation &operation);
    void endFallbackRead(Instant now, Operation &operation);
    void send(Instant now, Operation &operation, ConnectionId connection);

    void readFromReplica(Instant now, Operation &operation);
    void waitForPosition(Instant now, Operation &operation, OperationStage stage);
    void resumeReads(Instant now, std::vector<WorkId> &waiting, OperationStage stage);
    void failReads(Instant now, std::vector<WorkId> &waiting, OperationStage stage, const Error &error);
    void requestPosition(Instant now, const BackendId &backend, const GroupKey &group, Position minPosition);
    void requestReplicaPositions(Instant now, const GroupKey &group);
    void refreshPrimaryPositions(Instant now);
    void handleReplicaProgress(Instant now, const BackendId &backend, const GroupKey &group, const LogPoint &point);
    [[nodiscard]] bool countsTowardReplication(const BackendId &backend, const GroupKey &group) const;

    void handleSuccess(Instant now, Operation &operation, const BackendStatementResponse &response);
    void handleBeginSuccess(Instant now, Operation &operation);
    void handleWriteSuccess(Instant now, Operation &operation);
    void handleRejection(Instant now, Operation &operation, BackendOutcome outcome);
    void releaseConnection(Instant now, Operation &operation, ConnectionOutcome outcome);
    void startPoolWork(Instant now, const BackendId &backend, const StartWork &start);

    void routeToTransactionEntry(Instant now, Operation &operation);
    void runInTransaction(Instant now, Operation &operation);
    void closeTransaction(Instant now, const TransactionId &id, Error outcome);
    void expireTransactions(Instant now);

    void claimKey(Instant now, Operation &operation);
    void sendKeyClaim(Instant now, const Operation &operation, KeyClaimAction action);
    void finishKey(Instant now, const Operation &operation, const Expected<StatementResult> &response);
    KeyStore *keyStore(Instant now);
    void requestKeyCopies(Instant now);

    void handleTimer(Instant now, Operation &operation);
    void expire(Instant now, Operation &operation);
    void abortOldTermOperations(Instant now);

    void finish(Instant now, WorkId id, Expected<StatementResult> response);
    void fail(Instant now, Operation &operation, Error error);
    void respondToPeer(const PeerOrigin &origin, const Expected<StatementResult> &response);
    void respondToCaller(const Operation &operation, const Expected<StatementResult> &response);

    void performPoolActions(Instant now, const BackendId &backend);
    void updatePoolLimits(Instant now);
    [[nodiscard]] bool isHomeOf(Instant now, const HomeGrant &grant) const;
    [[nodiscard]] std::size_t grantedConnections(Instant now, const HomeGrant &grant) const;
    ConnectionPool &poolOf(const BackendId &backend);
    [[nodiscard]] bool canAcknowledge(Instant now, const GroupKey &group, Term term) const;
    [[nodiscard]] Error acknowledgeError(Instant now) const;
    [[nodiscard]] Endpoint addressOf(const BackendId &backend) const;

    WorkId nextWorkId_;
    ConnectionId nextConnectionId_ = 1;
    RetryBudgets budgets_;
    ForwardGuard forwardGuard_;
    KeyResponseCache keyResponses_;
    std::optional<KeyStore> keyStore_;
    Instant nextKeyCopyAt_ {};
    Instant nextPoolUpdateAt_ {};
    PendingReplication pendingReplication_;
    std::map<BackendId, FallbackLimiter> fallbackLimiters_;
    std::map<BackendId, ConnectionPool> pools_;
    std::map<ConnectionId, BackendId> connections_;
    std::map<ConnectionId, WorkId> runningWork_; ///< Statement in flight on each connection.
    std::map<BackendId, PositionRequest> positionRequests_;
    /// Backend servers to which a connection for position requests may be open.
    std::set<BackendId> positionConnections_;
    /// Time of the last position request to the primary of each group whose replicas this VM serves.
    std::map<GroupKey, Instant> primaryPositionRequestedAt_;
    /// Reads that wait for the position of the primary.
    std::map<GroupKey, std::vector<WorkId>> awaitingPrimaryPosition_;
    std::map<BackendId, std::vector<WorkId>> awaitingReplica_; ///< Reads that wait until a replica has caught up.
    /// Backend servers whose last connection attempt or statement failed, with the time of the first failure.
    std::map<BackendId, Instant> failingSince_;
};

} // namespace daisyrelay
