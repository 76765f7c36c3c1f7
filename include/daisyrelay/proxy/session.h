// One session of a caller: its values, prepared statements, transaction, and the statement that is under way.
#pragma once

#include "daisyrelay/proxy/proxyactions.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace daisyrelay {

struct PreparedStatement {
    bool isWrite = false;
    std::string shape;

    auto operator<=>(const PreparedStatement &) const = default;
};

/// Where a session's own writes are.
struct LastWrite {
    LogPoint point;
    std::uint64_t generation = 0; ///< Of the primary that acknowledged it.
};

/// A transaction as its caller sees it. It starts at a backend server with its first statement.
struct CallerTransaction {
    bool isReadOnly = false;
    bool hasFailed = false; ///< Only its end is accepted.
    bool hasWritten = false;
    ConnectionId connection = 0; ///< Zero until it has started.
    VmId home; ///< The entry on which it has started, if not here.
    Instant beganAt {};
    Instant idleSince {};
    std::shared_ptr<const DatabaseRoute> route;
};

/// A statement on its way to a backend server and back.
struct PendingStatement {
    enum class Role : std::uint8_t {
        Single,
        First, ///< Of a transaction; begins it at the backend server.
        Next,
    };

    Statement statement;
    Role role = Role::Single;
    std::shared_ptr<const DatabaseRoute> route;
    bool isWrite = false;
    bool needsPrimary = false;
    Instant arrivedAt {};
    Instant freshnessReference {}; ///< What was acknowledged before counts: the arrival of the statement or of its
                                   ///< transaction.
    Instant deadline {};
    Instant queueDeadline {}; ///< Waits without being offered until then.
    Instant retryAt {};
    Instant sentAt {};
    std::uint32_t attempts = 0; ///< How often it was sent.
    std::uint32_t rejections = 0; ///< How often of these it was refused without being run.
    bool wasSent = false; ///< Whether it was ever sent.
    ConnectionId connection = 0; ///< While it runs.
    VmId home; ///< The entry on which it runs, if not here.
    std::uint64_t sequence = 0; ///< Of the request to that entry.
    BackendId backend; ///< The server that it was sent to last, directly or through that entry.
    std::set<BackendId> triedBackends; ///< Servers that lag too far for it, or failed it.
    ResponseCode lastRejection = ResponseCode::Busy;

    /// Returns how often it was sent and not refused.
    [[nodiscard]] std::uint32_t countedAttempts() const
    {
        return attempts - rejections;
    }
};

/// Where the session of a guest lives.
struct ForwardingOrigin {
    VmId entry;
    std::uint64_t sessionId = 0;
    std::uint64_t sequence = 0; ///< Of the request under way.
};

struct Session {
    SessionId id = 0;
    std::optional<ForwardingOrigin> origin; ///< Set if the session's caller is connected to another entry.
    std::uint64_t generation = 0; ///< Of the primary that ran the last statement; zero if a replica did.
    std::string database;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    std::optional<LastWrite> lastWrite;
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
