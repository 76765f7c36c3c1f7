// Decides from several witnesses whether the primary of a group has failed.
#pragma once

#include "daisyrelay/control/controltiming.h"

#include <map>

namespace daisyrelay {

/// What others say about a primary.
struct PrimaryEvidence {
    bool isSilent = false; ///< No VM passed on an announcement for a while.
    bool isReportedBad = false; ///< An entry with a live lease can not reach it or gets no answer from it.
    bool isOverdue = false; ///< No announcement for long enough to ask the database itself.
    bool isHomeSilent = false; ///< Its home has missed heartbeats, so that there may be nobody to complain.
};

/// What to do about a primary.
enum class PrimaryAction : std::uint8_t {
    None,
    Probe, ///< Ask the database itself; the answer goes to onProbeResult().
    Replace,
};

/// Replaces a primary only if control's own question fails and another witness agrees, so that one cut-off entry can
/// not depose it. A group that loses its primaries in short order is damped by a growing delay.
class FailureDetector
{
public:
    explicit FailureDetector(ControlTiming timing);

    PrimaryAction evaluate(Instant now, const GroupKey &group, const PrimaryEvidence &evidence);

    /// Takes in the outcome of a probe. \p refused tells that the host refused the connection, so the database is gone.
    void onProbeResult(Instant now, const GroupKey &group, bool hasResponded, bool isRefused);

    /// A failover of \p group began.
    void onFailoverStarted(Instant now, const GroupKey &group);

    void reset();

private:
    struct Suspicion {
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
