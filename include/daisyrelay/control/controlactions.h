// Actions that the control core requests from its driver.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/wire.h"

#include <optional>
#include <variant>

namespace daisyrelay {

/// Appends a command to the replicated log.
struct ProposeCommand {
    ControlCommand command;
};

/// Sends a message to another VM, or to this one.
struct SendControlMessage {
    VmId to;
    PeerPayload payload;
};

/// Queries the position of a database; exactly one PositionQueryResult follows.
struct QueryPosition {
    std::uint64_t queryId = 0; ///< Identifies the query.
    BackendId backend;
    Endpoint address;
};

/// The result of a QueryPosition.
struct PositionQueryResult {
    std::uint64_t queryId = 0;
    std::optional<LogPoint> point; ///< Empty if the database did not respond.
    bool isRefused = false; ///< The host refused the connection, so no database is running there.
};

/// Makes a database the primary of a term; the result is passed to ControlCore::onPromotionResult.
struct PromoteBackend {
    BackendId backend;
    Endpoint address;
    Term term = 0;
};

/// Makes a database follow a primary.
struct FollowPrimary {
    BackendId backend;
    Endpoint address;
    Term term = 0;
    Endpoint primary;
};

using ControlAction = std::variant<ProposeCommand, SendControlMessage, QueryPosition, PromoteBackend, FollowPrimary>;

} // namespace daisyrelay
