// The life of a session: from the statement of a caller to a backend server and back.
#pragma once

#include "daisyrelay/proxy/backendpool.h"
#include "daisyrelay/proxy/freshnesshistory.h"
#include "daisyrelay/proxy/proxyactions.h"
#include "daisyrelay/proxy/proxytiming.h"
#include "daisyrelay/proxy/session.h"
#include "daisyrelay/telemetry.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace daisyrelay {

/// Holds no clock, socket or file.
///
/// Writes and reads that must see everything run behind a plain BEGIN on the same connection, which a backend server
/// that does not lead refuses. So no answer depends on who this VM believes to lead. Other reads carry the position
/// that they need, and the backend server refuses them if its log does not have it.
class ProxyCore
{
public:
    /// \p channelBase must differ between runs of one VM, so that other entries do not mistake one for another.
    ProxyCore(ZoneId zone, EventLog &log, Metrics &metrics, std::uint64_t channelBase = 0, ProxyTiming timing = {});

    void onUpdate(Instant now, const EntryUpdate &update);

    void onSessionOpened(Instant now, SessionId session, const std::string &database);
    void onStatement(Instant now, SessionId session, Statement statement);

    /// The caller is gone, or sent something that makes no sense.
    void onSessionClosed(Instant now, SessionId session);

    /// Answers another entry that can not reach control: what is newer here than there.
    [[nodiscard]] EntryUpdate describeTo(const EntryReport &report) const;

    /// Takes in what another entry knows; says nothing about control.
    void onPeerUpdate(Instant now, const EntryUpdate &update);

    /// Messages of other entries.
    void onGuestRequest(Instant now, const VmId &from, const GuestRequest &request);
    void onGuestAnswer(Instant now, const VmId &from, const GuestAnswer &answer);
    void onGuestEnd(Instant now, const VmId &from, const GuestEnd &end);
    void onPositionRequest(Instant now, const VmId &from, const PositionRequest &request);
    void onPositionAnswer(Instant now, const VmId &from, const PositionAnswer &answer);

    void onConnectionOpened(Instant now, ConnectionId connection);
    void onConnectionLost(Instant now, ConnectionId connection, ConnectionLoss loss);
    void onExchange(Instant now, ConnectionId connection, std::vector<BackendAnswer> answers);

    void tick(Instant now);

    /// Begins to leave: everything must have ended when \p grace is over.
    void drain(Instant now, Duration grace);

    /// Whether callers may be sent here.
    [[nodiscard]] bool ready() const;

    /// Whether callers are better off elsewhere, and the balancer has had time to notice.
    [[nodiscard]] bool sendsCallersAway(Instant now) const;

    /// Whether a drain is over.
    [[nodiscard]] bool drained(Instant now) const;

    /// Fills in what control wants to know.
    void fill(Instant now, EntryReport &report) const;

    /// Whether any session waits for something that time decides.
    [[nodiscard]] bool isBusy() const;

    [[nodiscard]] std::vector<ProxyAction> takeActions();
    [[nodiscard]] std::size_t sessions() const;

private:
    /// Sessions of guests are numbered from here, those of callers below.
    static constexpr SessionId FirstGuest = SessionId { 1 } << 62U;

    struct Service {
        PrimaryRecord primary;
        bool failingOver = false;
        FreshnessHistory freshness;
        std::set<std::tuple<std::uint32_t, Instant, SessionId>> waiting; ///< By priority and arrival.
        Instant sampledAt {}; ///< When a position was last asked for.
        std::size_t waitingForPrimary = 0;
        std::map<std::uint64_t, Instant> positionsAsked; ///< Of a home of the primary; when each request was sent.
        struct Asker {
            VmId entry;
            std::uint64_t sequence = 0;
            Instant askedAt {};
        };
        std::vector<Asker> askers; ///< Entries that wait for a position.
    };

    /// What was seen of an entry that runs statements for this one.
    struct HomeState {
        std::size_t open = 0;
        Instant avoidUntil {};
    };

    /// A caller that waits for the first configuration.
    struct OpeningSession {
        SessionId id = 0;
        std::string database;
        Instant until {};
    };

    enum class Placement : std::uint8_t {
        Started,
        Waits, ///< For a connection, or for something that time decides.
        Refused,
    };

    // topology.cpp
    void applyConfiguration(Instant now, const RouteConfiguration &configuration);
    void applyTopology(Instant now, const Topology &topology);
    Service &serviceOf(const ServiceId &service);

    // statements.cpp
    void answerLocally(Session &session, AnswerCode code = AnswerCode::Ok, std::string detail = {});
    void keepName(Session &session, const Statement &statement);
    void begin(Instant now, Session &session, const Statement &statement);
    void rollBack(Instant now, Session &session);
    void run(Instant now, Session &session, Statement statement);
    void closeWhenIdle(Session &session);
    [[nodiscard]] bool writes(const Session &session, const Statement &statement) const;

    // dispatch.cpp
    void enqueue(Instant now, Session &session);
    void wait(const Session &session);
    void dequeue(const Session &session);
    void dispatch(Instant now, const ServiceId &service);
    Placement place(Instant now, Session &session, Service &service);
    Placement placeAtPrimary(Instant now, Session &session, Service &service);
    Placement placeRead(Instant now, Session &session, Service &service, const LogPoint &since);
    Placement refuseIfHopeless(Instant now, Session &session, Duration predicted);
    [[nodiscard]] std::size_t aheadOf(const Session &session, const Service &service, bool atPrimaryOnly) const;
    [[nodiscard]] Duration predictedReadWait(
        Instant now, const Session &session, const Service &service, const LogPoint &since) const;
    BackendPool *cheapest(Instant now, const PendingStatement &operation, const Service &service, const LogPoint &since,
        bool idleOnly, bool guest);
    [[nodiscard]] std::optional<LogPoint> positionFor(
        const Session &session, const PendingStatement &operation, const Service &service) const;
    void openConnection(Instant now, BackendPool &pool);
    void openFor(Instant now, BackendPool &pool, std::size_t demand);
    void refuse(Instant now, Session &session, AnswerCode code, std::string_view reason, Duration comeBack);

    // guests.cpp
    Placement placeRemotely(Instant now, Session &session, Service &service, bool atPrimary);
    const BackendId *remoteServer(
        Instant now, const PendingStatement &operation, const Service &service, bool atPrimary) const;
    const VmId *homeOf(Instant now, const BackendId &backend) const;
    void sendToHome(Instant now, Session &session, const VmId &home, bool atPrimary);
    void endRemotely(Session &session);
    void succeedRemotely(Instant now, Session &session, const VmId &home, const GuestAnswer &reply);
    void answerGuest(Session &session, CallerAnswer answer);
    void checkRemote(Instant now, Session &session);
    void askPosition(Instant now, const ServiceId &id, Service &service);
    void answerPositions(const ServiceId &id, Service &service, Instant askedAt, const LogPoint &point);
    /// Whether the primary is reached through other entries only.
    [[nodiscard]] bool needsRelay(Instant now, const Service &service) const;
    [[nodiscard]] bool hasLocalServer(const ServiceId &service) const;

    // exchanges.cpp
    void send(
        Instant now, Session &session, BackendPool &pool, BackendConnection &connection, std::optional<LogPoint> since);
    void sendBehindBegin(Instant now, Session &session, BackendConnection &connection);
    void start(Instant now, BackendConnection &connection, RunExchange exchange);
    Statement payloadOf(const Session &session);
    void appendSessionState(const Session &session, const PendingStatement &operation, BackendConnection &connection,
        std::vector<Statement> &out);
    const std::string &preparedName(const PreparedStatement &statement);
    void sample(Instant now, Service &service);
    void cleanUp(Instant now, BackendConnection &connection);
    void release(Instant now, BackendPool &pool, BackendConnection &connection);
    void closeSurplus(Instant now, BackendPool &pool);
    void closeConnection(Instant now, BackendPool &pool, ConnectionId connection, ConnectionLoss loss);

    // outcomes.cpp
    void onPayload(Instant now, BackendPool &pool, BackendConnection &connection, std::vector<BackendAnswer> &answers);
    void succeed(
        Instant now, Session &session, BackendPool &pool, BackendConnection &connection, BackendAnswer &answer);
    void keepOutcome(Session &session, const std::optional<LogPoint> &position, std::uint64_t generation);
    void tryAgain(Instant now, Session &session, BackendPool &pool, AnswerCode code);
    void fail(Instant now, Session &session, BackendAnswer &answer);
    void loseAnswer(Instant now, Session &session, std::string_view reason);
    void finish(Instant now, Session &session, CallerAnswer answer);
    void learnPosition(const BackendPool &pool, const BackendConnection &connection, const BackendAnswer &answer);
    void logOutcome(Instant now, const Session &session, const PendingStatement &operation, const CallerAnswer &answer);

    // timers.cpp
    void checkOpening(Instant now);
    void checkOperations(Instant now);
    void checkRunning(Instant now, Session &session);
    void checkConnections(Instant now);
    void hedge(Instant now, Session &session);
    void checkIdleTransactions(Instant now);
    void closeUnneeded(Instant now);
    void keepSamples(Instant now);
    void advanceDrain(Instant now);
    void checkIsolation(Instant now);
    void closeResting(Instant now, bool transactionsToo);

    [[nodiscard]] BackendPool *poolOf(const BackendId &backend);
    [[nodiscard]] const BackendPool *poolOf(const BackendId &backend) const;
    [[nodiscard]] std::shared_ptr<const DatabaseRoute> routeOf(const std::string &database) const;
    [[nodiscard]] Session *find(SessionId session);

    ZoneId zone_;
    EventLog &log_;
    Metrics &metrics_;
    ProxyTiming timing_;
    RouteConfiguration configuration_;
    Topology topology_;
    Duration transactionIdle_ {};
    std::map<std::string, std::shared_ptr<const DatabaseRoute>, std::less<>> routes_;
    std::map<ServiceId, Service> services_;
    std::map<BackendId, BackendPool> pools_;
    std::map<BackendId, std::uint32_t> quotas_;
    std::unordered_map<SessionId, Session> sessions_;
    std::vector<OpeningSession> opening_;
    std::map<BackendId, std::vector<VmId>> homes_;
    std::uint64_t homesVersion_ = 0;
    std::map<VmId, HomeState> homeStates_;
    std::map<std::pair<VmId, std::uint64_t>, SessionId> guests_;
    SessionId nextGuest_ = FirstGuest;
    std::vector<SessionId> finishedGuests_;
    std::uint64_t channelBase_;
    std::uint64_t nextSequence_ = 1;
    std::set<SessionId> active_; ///< Sessions with a statement under way.
    std::unordered_map<ConnectionId, BackendId> connections_;
    std::map<PreparedStatement, std::string> names_;
    std::uint64_t nextName_ = 1;
    ConnectionId nextConnection_ = 1;
    Instant checkedIdleAt_ {};
    std::optional<Instant> heardControlAt_;
    std::optional<Instant> isolatedSince_; ///< Neither control nor most primaries can be reached.
    std::optional<Instant> drainSince_;
    Duration grace_ {};
    std::vector<ProxyAction> actions_;
};

} // namespace daisyrelay
