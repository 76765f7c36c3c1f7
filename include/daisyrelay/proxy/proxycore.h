// Sessions of callers: runs their statements on backend servers, directly or through other entries.
#pragma once

#include "daisyrelay/proxy/backendpool.h"
#include "daisyrelay/proxy/configurationlease.h"
#include "daisyrelay/proxy/drainbacklog.h"
#include "daisyrelay/proxy/drainschedule.h"
#include "daisyrelay/proxy/primarylease.h"
#include "daisyrelay/proxy/proxyactions.h"
#include "daisyrelay/proxy/proxytiming.h"
#include "daisyrelay/proxy/sentreports.h"
#include "daisyrelay/proxy/servicestate.h"
#include "daisyrelay/proxy/workspacedirectory.h"
#include "daisyrelay/ratelimits.h"
#include "daisyrelay/telemetry.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace daisyrelay {

/// Decides how the statements of callers run. Free of I/O: the driver passes the time and performs the actions.
///
/// Writes and reads that must see every acknowledged write run after a read-write BEGIN on the same connection, which
/// only the primary accepts. If the platform fences former primaries, no response therefore depends on this VM's
/// knowledge of the primary being current; otherwise a PrimaryLease must be alive when the response arrives. Other
/// reads carry a minimum position, and the backend server rejects them if its log has not reached it.
class ProxyCore
{
public:
    /// \p sessionIdBase is added to the session identifiers sent to other entries. It must differ between runs of one
    /// VM, so that other entries do not confuse sessions of different runs. \p revocationBound limits the use of a
    /// configuration that control has not confirmed as the newest; zero disables the limit.
    ProxyCore(ZoneId zone, EventLog &log, Metrics &metrics, std::uint64_t sessionIdBase = 0, ProxyTiming timing = {},
        FencingPolicy fencing = FencingPolicy::Platform, Duration revocationBound = Duration::zero(),
        RateLimitOptions rateLimits = {});

    /// Applies an update from the leader of the control VMs.
    void onControlUpdate(Instant now, const EntryUpdate &update);

    /// \p key identifies the workspace of the caller; empty if the caller sent none.
    void onSessionOpened(
        Instant now, SessionId session, const std::string &database, const std::string &key = std::string());
    void onStatement(Instant now, SessionId session, Statement statement);

    /// Called when the caller has disconnected or sent malformed data.
    void onSessionClosed(Instant now, SessionId session);

    /// Returns configuration and topology if they are newer than those in \p report, for an entry that cannot reach
    /// control.
    [[nodiscard]] EntryUpdate makeUpdateFor(const EntryReport &report) const;

    /// Applies an update from another entry. Does not count as a sign that control is reachable.
    void onPeerUpdate(Instant now, const EntryUpdate &update);

    /// Handlers of messages from other entries.
    void onForwardedStatement(Instant now, const VmId &from, const ForwardedStatement &request);
    void onForwardedStatementResponse(Instant now, const VmId &from, const ForwardedStatementResponse &response);
    void onForwardedSessionEnd(Instant now, const VmId &from, const ForwardedSessionEnd &end);
    void onPositionRequest(Instant now, const VmId &from, const PositionRequest &request);
    void onHomeProbe(const VmId &from, const HomeProbe &probe);
    void onHomeProbeResponse(Instant now, const VmId &from, const HomeProbeResponse &response);

    /// Called when no connection to another entry is left. Statements forwarded there are given up; queued statements
    /// from there are dropped.
    void onEntryDisconnected(Instant now, const VmId &entry);
    void onPositionResponse(Instant now, const VmId &from, const PositionResponse &response);

    void onRateLimitRequest(Instant now, const VmId &from, const RateLimitRequest &request);
    void onRateLimitGrant(Instant now, const VmId &from, const RateLimitGrant &grant);

    void onConnectionOpened(Instant now, ConnectionId connection);
    void onConnectionLost(Instant now, ConnectionId connection, ConnectionLoss loss);
    void onExchange(Instant now, ConnectionId connection, std::vector<BackendResponse> responses);

    void tick(Instant now);

    /// Starts draining: all statements get a response and all sessions end within \p grace. Statements that could not
    /// finish are rejected when they arrive.
    void drain(Instant now, Duration grace);

    /// Returns whether the load balancer may send callers to this entry.
    [[nodiscard]] bool isReady(Instant now) const;

    /// Returns whether sessions are closed when idle: the entry drains or is isolated, and the load balancer has had
    /// time to notice.
    [[nodiscard]] bool shouldCloseIdleSessions(Instant now) const;

    /// Returns whether no session is left, or the drain must end.
    [[nodiscard]] bool isDrained(Instant now) const;

    /// Returns whether the process must exit even if responses are not sent.
    [[nodiscard]] bool mustEnd(Instant now) const;

    /// Logs and counts, by reason, what ends without a response when the process exits now.
    void reportDrainEnd(Instant now, const DrainBacklog &backlog);

    /// Fills \p report with the state that control needs.
    void fillReport(Instant now, EntryReport &report) const;

    /// Records that a report is about to be sent to control.
    void recordReport(Instant now, std::uint64_t sequence);

    /// Enables a log line for each reported position and for each read that relies on one.
    void setReadTrace(bool isEnabled);

    /// Returns whether timers are pending, so that tick() must be called at short intervals.
    [[nodiscard]] bool isBusy() const;

    [[nodiscard]] std::vector<ProxyAction> takeActions();
    [[nodiscard]] std::size_t sessionCount() const;

private:
    /// Identifiers of forwarded sessions start here; those of callers are lower.
    static constexpr SessionId FirstForwardedSession = SessionId { 1 } << 62U;

    using Service = ServiceState;
    /// Why a caller may not run a statement now.
    struct AccessDenial {
        ResponseCode code = ResponseCode::Unauthorized;
        std::string_view reason;
        Duration retryAfter {}; ///< Zero if a retry cannot help.
    };

    enum class Placement : std::uint8_t {
        Started,
        Waiting, ///< Stays queued until a connection is free or the time of the next attempt has come.
        WaitingForWorkspace, ///< Waits for a connection of its workspace; other workspaces need not wait.
        Rejected,
    };

    // topology.cpp
    void applyConfiguration(Instant now, const RouteConfiguration &configuration);
    /// Applies an encoded ConfigurationUpdate. Requests the whole configuration if that is not possible.
    void applyConfigurationUpdate(Instant now, const std::string &bytes);
    void applyTopology(Instant now, const Topology &topology);
    void applyHomes(const HomesUpdate &update);
    [[nodiscard]] Topology completeTopology() const;
    void dispatchAll(Instant now);
    void removePool(Instant now, const BackendId &id);
    Service &serviceOf(const ServiceId &service);
    [[nodiscard]] std::uint32_t syncReplicasOf(const ServiceId &service) const;

    // leases.cpp
    /// Returns whether \p update is older than one that was applied.
    bool isOutdated(const EntryUpdate &update);
    void applyLease(Instant now, const EntryUpdate &update);
    void abortLeasedTransactions(Instant now, const ServiceId &service);
    /// Reports a release of each withdrawn service that has no exchange with its primary in flight.
    void releaseWithdrawn(Instant now);
    /// Rejects a statement that cannot wait for the end of the failover. \returns whether it was rejected.
    bool rejectDuringFailover(Instant now, Session &session, const Service &service);
    [[nodiscard]] bool isPrimaryInOwnZone(const Service &service) const;
    [[nodiscard]] bool canUsePrimary(Instant now, const ServiceId &service) const;
    /// Returns whether a response on \p connection that arrives at \p now is valid.
    [[nodiscard]] bool isLeaseValid(Instant now, const BackendPool &pool, const BackendConnection &connection) const;
    Placement waitForLease(Instant now, Session &session, const Service &service);

    // access.cpp
    /// Finds the workspace of the caller's key in the current configuration.
    [[nodiscard]] std::optional<AccessDenial> checkKey(
        Instant now, const std::string &key, const DatabaseRoute &route, WorkspaceId &workspace) const;
    void rejectSession(Instant now, SessionId session, const std::string &database, const AccessDenial &denial);
    [[nodiscard]] static std::string describeDenial(const AccessDenial &denial);
    /// Returns how long ago the configuration was the newest one; negative if that was never confirmed.
    [[nodiscard]] Duration configurationAge(Instant now) const;
    /// Returns whether the session may run the next statement. Outside a transaction, the session moves to the
    /// workspace that holds its key now. A statement that is denied gets its response here.
    bool admitStatement(Instant now, Session &session, const Statement &statement);
    void denyStatement(Instant now, Session &session, const Statement &statement, const AccessDenial &denial);
    void endRevokedSessions(Instant now);

    // ratelimiting.cpp
    /// Returns whether the statement may run now. Otherwise it waits for a token, or has got its response.
    bool admitWithinLimit(Instant now, Session &session);
    void retryLimited(Instant now);
    void sendRateLimitRequests();
    void applyCoordinators(Instant now, Instant reportSentAt, const CoordinatorUpdate &update);
    void fillCoordinatorReport(Instant now, CoordinatorReport &report) const;

    // workspaceconnections.cpp
    void openForWorkspace(Instant now, BackendPool &pool, const WorkspaceId &workspace, std::size_t queued);

    // statements.cpp
    /// Rolls the transaction back and rejects all its later statements.
    void failTransaction(Instant now, Session &session);
    void respondLocally(Session &session, ResponseCode code = ResponseCode::Ok, std::string detail = {});
    void updateSessionNames(Session &session, const Statement &statement);
    void beginTransaction(Instant now, Session &session, const Statement &statement);
    void rollBackTransaction(Instant now, Session &session);
    void runStatement(Instant now, Session &session, Statement statement);
    void closeWhenIdle(Session &session);
    [[nodiscard]] bool isWrite(const Session &session, const Statement &statement) const;

    // dispatch.cpp
    void submit(Instant now, Session &session);
    void enqueue(const Session &session);
    void dequeue(const Session &session);
    void dispatch(Instant now, const ServiceId &service);
    Placement placeStatement(Instant now, Session &session, Service &service);
    Placement placeAtPrimary(Instant now, Session &session, Service &service);
    Placement placeRead(Instant now, Session &session, Service &service, const LogPoint &minPoint);
    /// \p hasServerCapacity tells whether the server has room for other workspaces than the one of the session.
    Placement waitOrReject(Instant now, Session &session, Duration predictedWait, bool hasServerCapacity);
    [[nodiscard]] Duration predictReadWait(
        Instant now, const Session &session, const Service &service, const LogPoint &minPoint) const;
    BackendPool *cheapestPool(
        Instant now, const Session &session, const Service &service, const LogPoint &minPoint, bool idleOnly);
    [[nodiscard]] std::optional<LogPoint> minPointFor(
        const Session &session, const PendingStatement &pending, const Service &service) const;
    void openConnection(Instant now, BackendPool &pool, const WorkspaceId &workspace);
    void openForDemand(Instant now, BackendPool &pool, std::size_t demand, const WorkspaceId &workspace);
    void requestQuota(Instant now, const Service &service);
    void reject(Instant now, Session &session, ResponseCode code, std::string_view reason, Duration retryAfter);

    // forwarding.cpp
    Placement placeRemotely(Instant now, Session &session, Service &service, bool needsPrimary);
    const BackendId *chooseRemoteServer(
        Instant now, const Session &session, const Service &service, bool needsPrimary) const;
    const VmId *chooseHome(Instant now, const BackendId &backend, const Session &session) const;
    void forwardToHome(Instant now, Session &session, const VmId &home, bool needsPrimary);
    void endForwarded(Session &session);
    void completeForwarded(Instant now, Session &session, const VmId &home, const ForwardedStatementResponse &message);
    /// Tries another home or server after \p home rejected a statement that did not run, or rejects the statement.
    void retryForwarded(Instant now, Session &session, const VmId &home, const ForwardedStatementResponse &message);
    /// \p pending is null if the statement was not submitted.
    void respondToEntry(Instant now, Session &session, const PendingStatement *pending, CallerResponse response);
    void checkForwarded(Instant now, Session &session);
    void requestPosition(Instant now, const ServiceId &id, Service &service);
    [[nodiscard]] bool recordStatus(
        const BackendPool &pool, const BackendConnection &connection, const BackendResponse &status);
    void recordSample(Instant now, const ServiceId &id, const PositionSample &sample);
    void traceRead(Instant now, const Session &session, const Service &service, const LogPoint &minPoint);
    void respondToPositionRequests(
        const ServiceId &id, Service &service, Instant sentAt, std::uint64_t generation, const LogPoint &point);
    /// Returns whether the primary can be reached only through other entries.
    [[nodiscard]] bool mustForwardToPrimary(Instant now, const Service &service) const;
    [[nodiscard]] bool hasLocalServer(const ServiceId &service) const;

    // overload.cpp
    /// Returns whether statements of \p session are admitted by their predicted latency. Entries that serve their
    /// callers alone only limit the time in the queue.
    [[nodiscard]] bool predictsLatency(const Session &session) const;
    /// Rejects a statement that has just arrived if it could not run in time.
    bool rejectIfTooLate(Instant now, Session &session);
    /// Rejects a statement that every home is expected to reject.
    bool rejectIfHopeless(Instant now, Session &session, const BackendId &backend);
    /// Returns how long a new statement of \p priority is expected to wait and to run; nothing if no server can run it
    /// now.
    [[nodiscard]] std::optional<PredictedLatency> predictLatency(
        Instant now, const Service &service, std::uint32_t priority, bool needsPrimary) const;
    [[nodiscard]] HomeLoad makeHomeLoad(Instant now, const PendingStatement &pending);
    void recordHomeLoad(Instant now, const VmId &home, const PendingStatement &pending, const HomeLoad &load);
    /// Gives up all statements that were forwarded to \p home.
    void onHomeLost(Instant now, const VmId &home, std::string_view reason);
    /// Records how much of its time in the queue a statement has used.
    void recordQueueTime(Instant now, const Session &session);
    /// Limits what this home has in flight at servers that it shares with other homes.
    void updateInFlightLimits();
    void forgetEndedSessions(Instant now);

    // exchanges.cpp
    void sendStatement(Instant now, Session &session, BackendPool &pool, BackendConnection &connection,
        std::optional<LogPoint> minPoint);
    void sendAfterBegin(Instant now, Session &session, BackendConnection &connection);
    void startExchange(Instant now, BackendConnection &connection, RunExchange exchange);
    [[nodiscard]] static bool hasPrepared(const Session &session, const BackendConnection &connection);
    [[nodiscard]] static Statement makePayload(const Session &session, const BackendConnection &connection);
    static Statement makeOwnStatement(StatementType type);
    void appendSessionState(const Session &session, const PendingStatement &pending, BackendConnection &connection,
        std::vector<Statement> &out);
    void prepareAt(BackendConnection &connection, const PreparedStatement &prepared, std::vector<Statement> &out) const;
    void samplePosition(Instant now, Service &service);
    void sampleNewPrimary(Instant now, const BackendPool &pool);
    void rollBackConnection(Instant now, BackendConnection &connection);
    void releaseConnection(Instant now, BackendPool &pool, BackendConnection &connection);
    void closeConnectionsAboveQuota(Instant now, BackendPool &pool);
    void closeConnection(Instant now, BackendPool &pool, ConnectionId connection, ConnectionLoss loss);

    // receipts.cpp
    /// Tells whether a commit is acknowledged to its caller only once a replica has confirmed its receipt.
    [[nodiscard]] static bool needsReceipt(const Service &service);
    [[nodiscard]] std::size_t connectionsKeptForReceipts(const BackendPool &pool) const;
    [[nodiscard]] std::vector<BackendPool *> receiptPools(const Service &service);
    void confirmReplicas(const EntryUpdate &update, Instant reportSentAt);
    [[nodiscard]] bool canObtainReceipt(Instant now, const Service &service);
    /// Lets a statement wait, or rejects it, while no replica can confirm commits.
    std::optional<Placement> waitForReplicas(Instant now, Session &session, const Service &service);
    void holdCommit(Instant now, Session &session, const BackendPool &pool, const BackendConnection &connection,
        BackendResponse &response);
    void requestReceipts(Instant now, Service &service);
    void onReceipt(
        Instant now, const BackendPool &pool, const BackendConnection &connection, const BackendResponse &response);
    void reportNewReplica(Instant now, const BackendPool &pool, Instant openedAt);

    // outcomes.cpp
    void onBeginResponse(Instant now, BackendPool &pool, BackendConnection &connection, const BackendResponse &response,
        Session *session);
    void forgetUnknownNames(BackendConnection &connection, const std::vector<BackendResponse> &responses);
    void onStatementResponses(
        Instant now, BackendPool &pool, BackendConnection &connection, std::vector<BackendResponse> &responses);
    /// \p connection runs the rest of the transaction; zero if there is none.
    void completeStatement(Instant now, Session &session, const BackendId &backend, std::uint64_t generation,
        ConnectionId connection, BackendResponse &response);
    void recordSuccess(Instant now, Session &session, std::optional<LogPoint> position, std::uint64_t generation);
    void retryStatement(Instant now, Session &session, BackendPool &pool, ResponseCode code);
    void failStatement(Instant now, Session &session, BackendResponse &response);
    void handleLostResponse(Instant now, Session &session, std::string_view reason);
    void finishStatement(Instant now, Session &session, CallerResponse response);
    void recordPosition(Instant now, const BackendPool &pool, const BackendConnection &connection,
        const BackendResponse &response, PositionSource source);
    void logOutcome(
        Instant now, const Session &session, const PendingStatement &pending, const CallerResponse &response);

    // timers.cpp
    void checkOpeningSessions(Instant now);
    void checkPendingStatements(Instant now);
    void checkRunning(Instant now, Session &session);
    void checkConnections(Instant now);
    void hedgeRead(Instant now, Session &session);
    void checkIdleTransactions(Instant now);
    void closeUnneededConnections(Instant now);
    void refreshConnectionsAndPositions(Instant now);
    void checkIsolation(Instant now);

    // draining.cpp
    void advanceDrain(Instant now);
    void closeIdleSessions(Instant now, bool includesTransactions);
    /// Ends the transactions of other entries' callers that no statement is pending for.
    void endIdleForwardedSessions(Instant now);
    /// Rejects a pending statement that could not finish before the drain ends. \returns whether it was rejected.
    bool rejectIfDraining(Instant now, Session &session);
    /// Limits the deadlines of \p pending to the time when its response is due.
    void limitToDrain(PendingStatement &pending) const;
    [[nodiscard]] bool canFinishBeforeDrainEnds(Instant now, Duration duration) const;

    [[nodiscard]] BackendPool *findPool(const BackendId &backend);
    [[nodiscard]] const BackendPool *findPool(const BackendId &backend) const;
    [[nodiscard]] std::shared_ptr<const DatabaseRoute> findRoute(const std::string &database) const;
    [[nodiscard]] Session *findSession(SessionId session);

    ZoneId zone_;
    EventLog &log_;
    Metrics &metrics_;
    ProxyTiming timing_;
    RouteConfiguration configuration_;
    std::shared_ptr<const WorkspaceDirectory> directory_; ///< Of the configuration in force.
    ConfigurationLease configurationLease_;
    SentReports sentReports_;
    RateLimitClient rateLimits_;
    RateLimitCoordinator coordinator_;
    std::uint64_t coordinatorTableVersion_ = 0;
    std::vector<std::uint32_t> releasedSlots_; ///< Coordinator slots that this entry gave up when it began to drain.
    std::set<std::pair<Instant, SessionId>> limitedSessions_; ///< Sessions that wait for a token, by arrival.
    bool needsWholeConfiguration_ = false; ///< The last change of the configuration could not be applied.
    std::uint64_t newestVersion_ = 0; ///< Highest configuration version that control has named.
    Topology topology_; ///< Only the index is used; pools and services hold the rest.
    std::uint64_t controlTopologyIndex_ = 0; ///< Index that control had at its last update.
    /// Backend servers with a quota, connections or recent demand, and possibly others.
    std::set<BackendId> activePools_;
    Duration transactionIdleTimeout_ {};
    std::map<std::string, std::shared_ptr<const DatabaseRoute>, std::less<>> routes_;
    std::map<ServiceId, Service> services_;
    std::map<BackendId, BackendPool> pools_;
    std::map<BackendId, std::uint32_t> quotas_;
    std::unordered_map<SessionId, Session> sessions_;
    std::vector<OpeningSession> openingSessions_;
    std::map<BackendId, std::vector<VmId>> homes_;
    std::set<BackendId> formerHomes_; ///< Backend servers whose homes are those of a former leader.
    std::uint64_t homesVersion_ = 0;
    HomeLoads homeLoads_;
    std::uint32_t nextLoadReport_ = 1;
    std::map<std::pair<VmId, std::uint64_t>, EndedSession> endedSessions_;
    std::map<std::pair<VmId, std::uint64_t>, SessionId> forwardedSessions_;
    SessionId nextForwardedSession_ = FirstForwardedSession;
    std::vector<SessionId> finishedForwardedSessions_;
    std::uint64_t sessionIdBase_;
    std::uint64_t nextSequence_; ///< Differs between runs, so that a late response to another run matches no request.
    std::set<SessionId> activeSessions_; ///< Sessions with a pending statement.
    std::unordered_map<ConnectionId, BackendId> connections_;
    ConnectionId nextConnection_ = 1;
    Instant lastIdleCheckAt_ {};
    Instant lastServiceCheckAt_ {};
    Instant lastDemandReportAt_ {};
    PrimaryLease lease_;
    ReturnSchedule returns_;
    bool tracesReads_ = false; ///< See setReadTrace().
    bool wasLeaseAlive_ = false; ///< Whether the lease was alive at the last tick.
    std::map<ServiceId, Instant> withdrawnAt_; ///< When the withdrawal of a service that is not released arrived.
    Term updateTerm_ = 0; ///< Leader term and number of the last applied update.
    std::uint64_t updateNumber_ = 0;
    std::optional<Instant> lastControlUpdateAt_;
    std::optional<Instant> isolatedSince_; ///< Set while control is silent; see checkIsolation().
    bool canUseFewPrimaries_ = false; ///< Most primaries do not respond, or no lease is alive.
    std::optional<DrainSchedule> drain_;
    std::vector<ProxyAction> actions_;
};

} // namespace daisyrelay
