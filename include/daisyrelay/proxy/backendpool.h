// The connections of this VM to one backend server, and what its answers say about it.
#pragma once

#include "daisyrelay/limits.h"
#include "daisyrelay/proxy/proxyactions.h"
#include "daisyrelay/proxy/proxytiming.h"
#include "daisyrelay/proxy/session.h"

#include <map>
#include <set>

namespace daisyrelay {

/// One connection and the state that its backend server keeps for it.
struct BackendConnection {
    enum class State : std::uint8_t {
        Opening,
        Idle,
        Busy, ///< An exchange is under way.
        InTransaction, ///< Belongs to a transaction that runs nothing at the moment.
    };

    enum class Purpose : std::uint8_t {
        Statement,
        Sample, ///< Asks a primary for its position.
        Cleanup, ///< Rolls back.
    };

    ConnectionId id = 0;
    BackendId backend;
    State state = State::Opening;
    Purpose purpose = Purpose::Statement;
    SessionId session = 0; ///< Whose statement or transaction it carries; zero if none, or if that was given up.
    Instant stateSince {}; ///< When the current use began.
    Instant deadline {}; ///< An exchange without an answer until then ends the connection.
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    std::vector<StatementType> sentTypes; ///< The statements of the exchange.
    std::size_t payloadIndex = 0; ///< Which of them is the caller's, or the BEGIN before it.
    bool awaitsBegin = false; ///< Whether the exchange only begins; the statement follows once that has succeeded.
    bool confirmsPrimary = false; ///< Whether the exchange proves that the server leads.
    std::uint64_t generation = 0; ///< Of the primary at the time of sending.
};

class BackendPool
{
public:
    BackendPool(Instant now, BackendRecord record, const ProxyTiming &timing);

    void update(Instant now, const BackendRecord &record);
    [[nodiscard]] const BackendRecord &record() const;

    /// Sets how many connections may be open.
    void setQuota(std::uint32_t quota);
    [[nodiscard]] std::uint32_t quota() const;

    [[nodiscard]] bool canOpen(Instant now) const;
    BackendConnection &addConnection(Instant now, ConnectionId id);
    void onOpened(Instant now, ConnectionId id);
    void onLost(Instant now, ConnectionId id, ConnectionLoss loss);

    /// Returns the idle connection whose session values need the fewest changes, or null.
    BackendConnection *findIdle(const std::map<std::string, std::string> &values);

    BackendConnection *find(ConnectionId id);
    [[nodiscard]] std::map<ConnectionId, BackendConnection> &connections();

    /// An answer arrived for what was sent at \p sentAt.
    void recordResponse(Instant now, Instant sentAt, bool ran);

    /// A statement failed although the server answered, or got no answer.
    void recordFailure(Instant now);

    /// It had no room for a statement.
    void recordRejection(Instant now);

    /// A statement that waited here was sent.
    void recordStart(Instant now);

    /// Whether one more statement is likely to find room there.
    [[nodiscard]] bool hasCapacity(Instant now) const;

    /// Returns how long \p ahead statements take that wait here.
    [[nodiscard]] Duration predictWait(Instant now, std::size_t ahead) const;

    /// Its log was seen at \p point.
    void recordAppliedPoint(const LogPoint &point);

    /// It refused a read since its log was too far behind. Until it has run one, each time it is left alone for longer.
    void recordLag(Instant now);

    /// Whether it did so a moment ago.
    [[nodiscard]] bool isLagging(Instant now) const;

    /// Whether a read that needs \p point is expected to be refused there.
    [[nodiscard]] bool isLaggingBehind(Instant now, const LogPoint &point) const;

    /// Returns idle connections above the quota.
    [[nodiscard]] std::vector<ConnectionId> connectionsAboveQuota() const;

    /// Returns a connection that has not been needed for long, if there is one to spare.
    [[nodiscard]] std::optional<ConnectionId> unneededConnection(Instant now) const;

    /// Returns how many connections there are, those being opened too.
    [[nodiscard]] std::size_t openCount() const;

    [[nodiscard]] std::size_t inUseCount() const;
    [[nodiscard]] std::size_t idleCount() const;
    [[nodiscard]] std::size_t openingCount() const;

    /// Returns the expected time of one more statement.
    [[nodiscard]] Duration estimateCost() const;
    [[nodiscard]] Duration meanTime() const;

    /// Whether it may be given work at all.
    [[nodiscard]] bool isUsable(Instant now) const;

    /// Whether statements are unanswered for long and nothing else has been answered meanwhile.
    [[nodiscard]] bool isUnresponsive(Instant now) const;

    /// Whether connections to it fail, or stay without an answer.
    [[nodiscard]] bool isUnreachable(Instant now) const;

    [[nodiscard]] std::optional<Instant> lastResponseAt() const;

    /// Notes how many connections would be in use if there were enough.
    void recordDemand(Instant now, std::size_t demand);
    [[nodiscard]] std::uint32_t recentDemand(Instant now) const;

private:
    [[nodiscard]] std::size_t busyCount() const;

    BackendRecord record_;
    const ProxyTiming &timing_;
    std::uint32_t quota_ = 0;
    std::map<ConnectionId, BackendConnection> connections_;
    ServiceTime serviceTime_;
    std::uint32_t openFailures_ = 0; ///< Connections that could not be opened, in a row.
    std::uint32_t statementFailures_ = 0; ///< Statements that failed, in a row.
    Instant retryAt_ {};
    Instant avoidUntil_ {};
    AdaptiveWindow window_; ///< Keeps the queue in the server short: what waits here can still be put in order.
    LogPoint appliedPoint_; ///< Where its log was seen last.
    Instant lagUntil_ {};
    Duration lagBackoff_ {}; ///< Grows while it refuses reads one after the other.
    Instant drainingSince_ {}; ///< When this VM heard of it.
    std::optional<Instant> lastResponseAt_;
    std::size_t peakDemand_ = 0;
    Instant peakDemandAt_ {};
};

} // namespace daisyrelay
