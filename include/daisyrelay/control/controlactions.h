// What the control core asks its driver to do.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/wire.h"

#include <variant>

namespace daisyrelay {

/// Appends a command to the replicated log.
struct ProposeCommand {
    ControlCommand command;
};

/// Sends a message to another VM, or to this one.
struct ControlSend {
    VmId to;
    PeerPayload payload;
};

/// Asks a database for its position; the answer goes to ControlCore::onSurveyed.
struct SurveyBackend {
    BackendId backend;
    Endpoint address;
};

/// Makes a database the primary of a term; the answer goes to ControlCore::onPromoted.
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

using ControlAction = std::variant<ProposeCommand, ControlSend, SurveyBackend, PromoteBackend, FollowPrimary>;

} // namespace daisyrelay
