// The state of one request in this entry.
#pragma once

#include "daisyrelay/relay/relayactions.h"
#include "daisyrelay/routing.h"
#include "daisyrelay/session.h"

#include <optional>
#include <set>
#include <variant>

namespace daisyrelay {

/// Origin of a request that was sent by a caller of this entry.
struct CallerOrigin {
    CallId call = 0;
    SessionToken token;
};

/// Origin of a request that was forwarded by another entry.
struct PeerOrigin {
    VmId vm;
    std::uint64_t forwardId = 0;
};

/// Processing stage of an operation.
enum class OperationStage : std::uint8_t {
    Routing, ///< A route is being chosen; nothing was sent.
    RetryDelay, ///< Waits for the backoff delay before it is routed again.
    ClaimingKey, ///< Waits until a majority of the key stores has granted its key.
    AwaitingDuplicate, ///< Waits for the response to another request with the same key.
    AwaitingFallback, ///< A read that waits for capacity for fallback reads at the primary.
    AwaitingPrimaryPosition, ///< Waits for the position of the primary, from which the minimum fresh position follows.
    AwaitingReplica, ///< Waits until the replica has reached the minimum position.
    Queued, ///< Waits in the connection pool of its database; nothing was sent.
    Sent, ///< Runs on a connection to a database.
    Forwarded, ///< Runs at another entry.
    Replicating, ///< Done by the primary; waits until a second database has the write.
};

/// Responses of the key stores to the claim of an operation's key.
struct ClaimState {
    std::set<VmId> grantedBy;
    std::set<VmId> unknownAt;
};

struct Operation {
    WorkId id = 0;
    std::variant<CallerOrigin, PeerOrigin> origin;
    StatementRequest request;
    ClassTarget target;
    Route route;
    Instant acceptedAt;
    Instant deadline;
    Instant timerAt; ///< Time of the next handleTimer() call; maintained by OperationTable.
    Instant replicaWaitUntil {}; ///< Time until which a replica may catch up; zero before the first wait.
    Instant sentAt {};
    OperationStage stage = OperationStage::Routing;
    ConnectionId connection = 0;
    VmId forwardedTo;
    StatementResult result; ///< Valid in stage Replicating.
    std::uint32_t attempts = 0; ///< Number of sends to a database and forwards so far.
    std::set<BackendId> triedBackends; ///< Databases that have rejected this read.
    ClaimState claim;
    bool isKeyRecorded = false; ///< Whether this operation has a record in KeyResponseCache.
    bool isKeyGranted = false; ///< Whether a majority of the key stores has granted the key.
    bool mayHaveRun = false; ///< Whether an earlier attempt ended with an uncertain outcome.
    bool isFallbackRead = false; ///< Whether FallbackLimiter holds this operation.
    bool isCountedInLoad = false; ///< Whether ReadLoad counts this operation as open.
    bool mustRunLocally = false; ///< The home is unreachable; the read uses this entry's fixed share of connections.

    [[nodiscard]] bool isFromCaller() const
    {
        return std::holds_alternative<CallerOrigin>(origin);
    }

    [[nodiscard]] bool isPlainRead() const
    {
        return request.kind == StatementKind::Read && request.action == StatementAction::Execute
            && request.transaction.empty();
    }

    /// Returns whether the request may run twice without harm.
    [[nodiscard]] bool canRepeat() const
    {
        return isPlainRead()
            || (request.action == StatementAction::Execute && request.transaction.empty() && request.isRepeatable
                && target.isRepeatable);
    }

    /// Returns whether the idempotency key protects the request from running twice.
    [[nodiscard]] bool isGuardedByKey() const
    {
        return request.kind == StatementKind::Write && request.action == StatementAction::Execute
            && request.transaction.empty() && !request.isRepeatable && !request.key.empty();
    }

    /// Returns whether a successful response acknowledges a change.
    [[nodiscard]] bool acknowledgesWrite() const
    {
        return request.action == StatementAction::Commit
            || (request.action == StatementAction::Execute && request.transaction.empty()
                && request.kind == StatementKind::Write);
    }
};

} // namespace daisyrelay
