// Decides from several independent observations whether the primary of a group has failed.
#pragma once

#include "daisyrelay/control/controltiming.h"

#include <map>

namespace daisyrelay {

/// Observations of a primary.
struct PrimaryEvidence {
    bool isSilent = false; ///< No VM has forwarded an announcement for ControlTiming::maxSilence.
    /// An entry with a live lease cannot reach the primary or waits too long for a response.
    bool isReportedBad = false;
    bool isOverdue = false; ///< No announcement for long enough to probe the database directly.
    /// The home of the primary has missed heartbeats, so there may be no entry to report failures.
    bool isHomeSilent = false;
};

/// The action to take for a primary.
enum class PrimaryAction : std::uint8_t {
    None,
    Probe, ///< Query the database directly; the result is passed to onProbeResult().
    Replace,
};

/// Replaces a primary only if a direct probe fails and another observation agrees, so that a single isolated entry
/// cannot depose it. For a group that fails over repeatedly, a growing delay dampens further failovers.
class FailureDetector
{
public:
    explicit FailureDetector(ControlTiming timing);

    PrimaryAction evaluate(
        Instant now, const GroupKey &group, const BackendId &primary, const PrimaryEvidence &evidence);

    /// Records the result of a probe of \p backend; ignored unless it is the suspected primary. If \p isRefused, the
    /// host refused the connection, so the database is not running.
    void onProbeResult(Instant now, const GroupKey &group, const BackendId &backend, bool hasResponded, bool isRefused);

    /// Starts the hold-off time of \p group.
    void onFailoverStarted(Instant now, const GroupKey &group);

    void reset();

private:
    struct Suspicion {
        BackendId primary;
        bool isProbing = false;
        bool hasFailed = false;
        bool isRefused = false;
        Instant probedAt {};
    };

    struct Damping {
        Instant replacedAt {};
        Duration holdOff {};
    };

    ControlTiming timing_;
    std::map<GroupKey, Suspicion> suspicions_;
    std::map<GroupKey, Damping> damping_;
};

} // namespace daisyrelay
