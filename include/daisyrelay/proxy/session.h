// State of one session: values, prepared statements, transaction, and the statement in progress.
#pragma once

#include "daisyrelay/proxy/proxyactions.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace daisyrelay {

struct PreparedStatement {
    bool isWrite = false;
    std::string shape; ///< Statement text that an Execute completes with its arguments.

    auto operator<=>(const PreparedStatement &) const = default;
};

/// Log position of the last write of a session to one service.
struct LastWrite {
    LogPoint point;
    std::uint64_t generation = 0; ///< Generation of the primary that acknowledged the write, as known at that time.
    Instant acknowledgedAt {}; ///< When the acknowledgment arrived here; unknown for a session of another entry.
};

/// A transaction as its caller sees it. The transaction at the backend server begins with the first statement.
struct CallerTransaction {
    bool isReadOnly = false;
    bool hasFailed = false; ///< Only COMMIT and ROLLBACK are accepted.
    bool hasWritten = false;
    ConnectionId connection = 0; ///< Connection that runs the transaction; zero until its first statement has run.
    VmId home; ///< Entry that runs the transaction, if not this one.
    Instant beganAt {};
    Instant idleSince {};
    std::shared_ptr<const DatabaseRoute> route;
};

/// A commit that the primary has acknowledged and the entry has not. See CommitReceipts.
struct HeldCommit {
    BackendResponse response;
    BackendId backend; ///< The primary.
    std::uint64_t generation = 0; ///< Of the primary when the commit was sent.
    Instant receivedAt {}; ///< When the response arrived.
};

/// A statement of a caller between its arrival and the response.
struct PendingStatement {
    enum class Role : std::uint8_t {
        Single, ///< Outside a transaction.
        First, ///< First statement of a transaction; begins the transaction at the backend server.
        Next, ///< Later statement of a transaction.
    };

    Statement statement;
    Role role = Role::Single;
    std::shared_ptr<const DatabaseRoute> route;
    bool isWrite = false;
    bool needsPrimary = false;
    Instant arrivedAt {};
    Instant freshnessReference {}; ///< A read sees all writes acknowledged before this time minus the staleness bound.
                                   ///< Arrival of the statement, or begin of its transaction.
    Instant deadline {}; ///< Latest time of the response.
    Instant queueDeadline {}; ///< The statement is rejected if it is still queued at this time.
    Instant retryAt {}; ///< No attempt is made before this time.
    Instant sentAt {}; ///< When the last attempt was sent.
    Instant probedAt {}; ///< When the home was last asked about the statement.
    std::uint32_t attempts = 0; ///< Number of times the statement was sent.
    std::uint32_t rejections = 0; ///< Number of attempts that were rejected without running.
    bool awaitsRateLimit = false; ///< Waits for a token of the workspace's rate limit.
    bool wasSent = false; ///< Whether the statement was sent at least once.
    ConnectionId connection = 0; ///< Connection that runs the statement; zero while it is queued or forwarded.
    VmId home; ///< Entry that runs the statement, if not this one.
    std::uint64_t sequence = 0; ///< Sequence number of the request to that entry.
    BackendId backend; ///< Server that got the last attempt, directly or through another entry.
    std::set<BackendId> triedBackends; ///< Servers that rejected or failed the statement.
    std::set<VmId> triedHomes; ///< Homes that rejected the statement.
    bool isOverloaded = false; ///< The statement was rejected because it could not have run in time.
    std::uint32_t overloads = 0; ///< Number of homes that could not have run the statement in time.
    std::optional<Duration> shortestWait; ///< Shortest wait that such a home predicted.
    ResponseCode lastRejection = ResponseCode::Busy;
    std::optional<HeldCommit> heldCommit; ///< Set once the primary has committed, until a replica confirms the receipt.

    /// Returns the number of attempts that were not rejected.
    [[nodiscard]] std::uint32_t countedAttempts() const
    {
        return attempts - rejections;
    }
};

/// The session at another entry for which a forwarded session runs statements.
struct ForwardingOrigin {
    VmId entry;
    std::uint64_t sessionId = 0; ///< Session identifier at that entry.
    std::uint64_t sequence = 0; ///< Sequence number of the request in progress.
};

/// A forwarded session that its entry has ended.
struct EndedSession {
    std::uint64_t sequence = 0; ///< Statements up to this sequence number must not run.
    Instant endedAt {};
};

/// A session that waits for the first configuration.
struct OpeningSession {
    SessionId id = 0;
    std::string database;
    std::string key;
    Instant deadline {};
};

struct Session {
    SessionId id = 0;
    std::optional<ForwardingOrigin> origin; ///< Set if the session's caller is connected to another entry.
    std::uint64_t generation = 0; ///< Generation of the primary that ran the last statement; zero for a replica.
    std::string database;
    std::string key; ///< Identifies the caller's workspace; empty in forwarded sessions.
    WorkspaceId workspace; ///< Empty if the configuration requires no keys, or the database is public.
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    /// Positions of different services cannot be compared, so each service that the session has written to keeps its
    /// own.
    std::map<ServiceId, LastWrite> lastWrites;
    std::optional<CallerTransaction> transaction;
    std::optional<PendingStatement> pending;
    Instant lastActiveAt {};

    [[nodiscard]] TransactionState state() const
    {
        if (!transaction) {
            return TransactionState::Idle;
        }
        return transaction->hasFailed ? TransactionState::Failed : TransactionState::Open;
    }
};

} // namespace daisyrelay
