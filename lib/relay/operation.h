// One request on its way through this entry.
#pragma once

#include "daisyrelay/relay/relayactions.h"
#include "daisyrelay/routing.h"
#include "daisyrelay/session.h"

#include <optional>
#include <set>
#include <variant>

namespace daisyrelay {

/// The request came from a caller of this entry.
struct CallerOrigin {
    CallId call = 0;
    SessionToken token;
};

/// The request was forwarded by another entry.
struct PeerOrigin {
    VmId vm;
    std::uint64_t forwardId = 0;
};

/// How far an operation has come.
enum class OperationStage : std::uint8_t {
    Routing, ///< Being decided on; nothing was sent.
    RetryDelay, ///< Waits before it is routed again.
    ClaimingKey, ///< Waits until the keepers have granted its key.
    AwaitingDuplicate, ///< Waits for the answer to another request with its key.
    AwaitingFallback, ///< A read that waits for the limited share of the primary.
    AwaitingPrimaryPosition, ///< Waits until this VM knows which position is fresh enough.
    AwaitingReplica, ///< Waits until the replica has reached the position.
    Queued, ///< Waits in the pool of its database; nothing was sent.
    Sent, ///< On a connection to a database.
    Forwarded, ///< With another entry.
    Replicating, ///< Done by the primary; waits until a second database has it.
};

/// The answers of the keepers to the claim of an operation's key.
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
    Instant timerAt; ///< When the operation is looked at again at the latest; kept by OperationTable.
    Instant replicaWaitUntil {}; ///< How long a replica may take to become usable; zero before the first wait.
    Instant sentAt {};
    OperationStage stage = OperationStage::Routing;
    ConnectionId connection = 0;
    VmId forwardedTo;
    StatementResult result; ///< Valid while Replicating.
    std::uint32_t attempts = 0; ///< Sends to a database and forwards so far.
    std::set<BackendId> triedBackends; ///< Databases that have refused this read.
    ClaimState claim;
    bool isKeyRecorded = false; ///< Its key is remembered under this operation.
    bool isKeyGranted = false; ///< A majority of the keepers has granted its key.
    bool mayHaveRun = false; ///< An earlier attempt ended without a certain outcome.
    bool isFallbackRead = false; ///< Known to the fallback gate.
    bool isCountedInLoad = false; ///< Counted as open in ReadLoad.
    bool mustRunLocally = false; ///< The home can not be reached; this entry's fixed share serves the read.

    [[nodiscard]] bool isFromCaller() const
    {
        return std::holds_alternative<CallerOrigin>(origin);
    }

    [[nodiscard]] bool isPlainRead() const
    {
        return request.kind == StatementKind::Read && request.action == StatementAction::Execute
            && request.transaction.empty();
    }

    /// Returns whether running the request twice does no harm.
    [[nodiscard]] bool canRepeat() const
    {
        return isPlainRead()
            || (request.action == StatementAction::Execute && request.transaction.empty() && request.isRepeatable
                && target.repeatable);
    }

    /// Returns whether the request's key guards it against running twice.
    [[nodiscard]] bool isGuardedByKey() const
    {
        return request.kind == StatementKind::Write && request.action == StatementAction::Execute
            && request.transaction.empty() && !request.isRepeatable && !request.key.empty();
    }

    /// Returns whether the answer acknowledges a change.
    [[nodiscard]] bool acknowledgesWrite() const
    {
        return request.action == StatementAction::Commit
            || (request.action == StatementAction::Execute && request.transaction.empty()
                && request.kind == StatementKind::Write);
    }
};

} // namespace daisyrelay
