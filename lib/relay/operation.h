// One request on its way through this entry.
#pragma once

#include "daisyrelay/relay/relayactions.h"
#include "daisyrelay/routing.h"
#include "daisyrelay/session.h"

#include <optional>
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
    Queued, ///< Waits in the pool of its database; nothing was sent.
    Sent, ///< On a connection to a database.
    Forwarded, ///< With another entry.
    Replicating, ///< Done by the primary; waits until a second database has it.
};

struct Operation {
    WorkId id = 0;
    std::variant<CallerOrigin, PeerOrigin> origin;
    StatementRequest request;
    ClassTarget target;
    Route route;
    Instant deadline;
    OperationStage stage = OperationStage::Queued;
    ConnectionId connection = 0;
    VmId forwardedTo;
    StatementResult result; ///< Valid while Replicating.
    std::uint32_t attempts = 0;
};

} // namespace daisyrelay
