// Actions that the supervisor requests from its driver.
#pragma once

#include "daisyrelay/wire.h"

#include <optional>
#include <variant>

namespace daisyrelay {

/// Appends a command to the replicated log.
struct ProposeSupervision {
    SupervisionCommand command;
};

/// Sends an update to an entry.
struct SendEntryUpdate {
    VmId entry;
    EntryUpdate update;
};

/// Responds to a request. Each request gets exactly one response.
struct SendControlResponse {
    std::uint64_t requestId = 0;
    ControlResult result;
};

enum class ProbeKind : std::uint8_t {
    Role, ///< Asks for the role and the end of the log.
    Status, ///< Asks for the received position.
    Pause, ///< Like Status, and stops replication until the server is promoted or resumed.
    Resume,
    StepDown, ///< Like Status, and makes a primary of a term below ProbeBackend::pauseTerm a replica.
};

/// Sends a probe to a backend server; exactly one ProbeOutcome follows.
struct ProbeBackend {
    std::uint64_t probeId = 0;
    BackendRecord backend;
    ProbeKind kind = ProbeKind::Role;
    Term pauseTerm = 0; ///< Term of a Pause or StepDown: above every term seen so far.
    Duration timeout {};
};

enum class ProbeResult : std::uint8_t {
    IsPrimary,
    IsReplica,
    Responded, ///< Successful response to Status, Pause, Resume or StepDown.
    Refused, ///< The connection was refused, or another backend server responded.
    NoResponse, ///< The connection broke or the response did not arrive in time.
};

struct ProbeOutcome {
    std::uint64_t probeId = 0;
    ProbeResult result = ProbeResult::NoResponse;
    Term term = 0; ///< Current term of the server.
    LogPoint received; ///< End of the server's log.
    bool claimsPrimary = false; ///< Role in a response to Status, Pause, Resume or StepDown.
    Term ownTerm = 0; ///< In such a response: the term that the server leads or follows.
};

/// Calls the platform to promote a backend server; exactly one PromotionOutcome follows.
struct PromoteThroughPlatform {
    ServiceId service;
    BackendId backend;
    std::uint64_t fencingToken = 0;
    Duration timeout {};
    Term leaderTerm = 0; ///< The call is made only while this VM is the leader of this term.
};

/// Outcome of a call to promote a backend server.
enum class PromotionOutcome : std::uint8_t {
    Accepted,
    Rejected, ///< The backend server is not running, or a higher fencing token was used before.
    RateLimited, ///< The platform received too many calls and did nothing, or the call was not made.
    Unknown, ///< No conclusive response: the promotion may still be carried out later.
};

using SupervisionAction
    = std::variant<ProposeSupervision, SendEntryUpdate, SendControlResponse, ProbeBackend, PromoteThroughPlatform>;

} // namespace daisyrelay
