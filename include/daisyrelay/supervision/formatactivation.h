// Decides when the format version of the cluster rises, so that builds of two versions can run side by side.
#pragma once

#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/supervision/supervisiontiming.h"
#include "daisyrelay/telemetry.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace daisyrelay {

/// Used by the leader. A version is activated once every control VM and every entry that may hold a lease has announced
/// it for some time. A VM that announces nothing, or has not been heard, holds the version back; the version never
/// falls.
class FormatActivation
{
public:
    FormatActivation(EventLog &log, Metrics &metrics, SupervisionTiming timing);

    /// Records what a process has announced on its latest connection; no value if it announced nothing.
    void recordPeer(const VmId &peer, const std::optional<FormatRange> &range);

    /// Called when this control VM becomes the leader. \p isFirstLeader tells whether nothing was recorded before.
    void reset(Instant now, bool isFirstLeader);

    /// Tells whether tick() has to be called.
    [[nodiscard]] bool isDue(Instant now) const;

    /// Returns the commands to propose. \p entries are those that have reported recently.
    [[nodiscard]] std::vector<SupervisionCommand> tick(
        Instant now, const SupervisionState &state, const std::vector<VmId> &controlVms, const std::set<VmId> &entries);

    /// Tells whether \p peer has announced the active version of \p state, or none is active yet.
    [[nodiscard]] bool supportsActive(const VmId &peer, const SupervisionState &state) const;

    /// Tells whether \p peer has announced format versions on its latest connection.
    [[nodiscard]] bool hasAnnounced(const VmId &peer) const;

private:
    [[nodiscard]] FormatVersion newestOf(const VmId &peer) const;
    [[nodiscard]] std::optional<SupervisionCommand> activate(
        Instant now, const SupervisionState &state, const std::vector<VmId> &controlVms, const std::set<VmId> &entries);
    [[nodiscard]] std::optional<SupervisionCommand> completeLeaseHolders(Instant now, const SupervisionState &state);
    void reportHeldBack(Instant now, FormatVersion active, const std::set<VmId> &lagging);
    /// Returns whether a proposal is due, and records it.
    [[nodiscard]] bool propose(Instant now);

    EventLog &log_;
    Metrics &metrics_;
    SupervisionTiming timing_;
    std::map<VmId, FormatRange> ranges_; ///< Processes that have announced their versions.
    Instant leaderSince_ {};
    bool isFirstLeader_ = false;
    std::optional<Instant> nextEvaluationAt_;
    std::optional<Instant> supportedSince_; ///< Since when all VMs support the next version.
    std::optional<Instant> proposedAt_;
    std::optional<Instant> activeSince_; ///< When this leader first saw the active version in force.
    std::set<VmId> reportedLagging_;
};

} // namespace daisyrelay
