// What the supervisor asks its driver to do.
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

/// Answers a request; each request is answered once.
struct SendControlResponse {
    std::uint64_t requestId = 0;
    ControlResult result;
};

enum class ProbeKind : std::uint8_t {
    Role, ///< Whether it leads, and where its log stands.
    Status, ///< What it has received.
    Pause, ///< As Status, and it receives nothing more until it is promoted or resumed.
    Resume,
};

/// Asks a backend server; exactly one ProbeOutcome follows.
struct ProbeBackend {
    std::uint64_t probeId = 0;
    BackendRecord backend;
    ProbeKind kind = ProbeKind::Role;
    Term pauseTerm = 0; ///< Pause: above every term seen.
    Duration timeout {};
};

enum class ProbeResult : std::uint8_t {
    IsPrimary,
    IsReplica,
    Responded, ///< Status, Pause, Resume.
    Refused, ///< Nothing listens there, or another backend server does.
    NoResponse,
};

struct ProbeOutcome {
    std::uint64_t probeId = 0;
    ProbeResult result = ProbeResult::NoResponse;
    Term term = 0; ///< The term that it is in.
    LogPoint received; ///< The end of its log.
};

/// Asks the platform to make a backend server the primary; exactly one PromotionOutcome follows.
struct PromoteThroughPlatform {
    ServiceId service;
    BackendId backend;
    std::uint64_t fencingToken = 0;
    Duration timeout {};
};

enum class PromotionOutcome : std::uint8_t {
    Accepted,
    Rejected, ///< The backend server does not run, or a higher token was used.
    RateLimited, ///< Too many calls; nothing was done.
    Unknown, ///< No clear answer: it may be carried out later.
};

using SupervisionAction
    = std::variant<ProposeSupervision, SendEntryUpdate, SendControlResponse, ProbeBackend, PromoteThroughPlatform>;

} // namespace daisyrelay
