// The decisions of the control leader: the configuration and the backend servers in force, the primary of each service,
// the connections that each entry may use, and the coordinators of rate limits. On other control VMs the supervisor
// only applies the log.
#pragma once

#include "daisyrelay/supervision/configurationupdates.h"
#include "daisyrelay/supervision/configurationwindow.h"
#include "daisyrelay/supervision/coordinatorslots.h"
#include "daisyrelay/supervision/entryregistry.h"
#include "daisyrelay/supervision/formatactivation.h"
#include "daisyrelay/supervision/heartbeatadmission.h"
#include "daisyrelay/supervision/leaseledger.h"
#include "daisyrelay/supervision/leaseregistrar.h"
#include "daisyrelay/supervision/primarymonitor.h"
#include "daisyrelay/supervision/supervisionactions.h"
#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/telemetry.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace daisyrelay {

/// A state machine without clock, sockets or files; the driver passes the time in and carries out the actions.
class Supervisor
{
public:
    Supervisor(EventLog &log, Metrics &metrics, std::uint64_t firstId, SupervisionTiming timing = {},
        FencingPolicy fencing = FencingPolicy::Platform);

    /// Sets whether this VM is the leader and may respond, and its consensus term. Must be called with the current time
    /// before any other input, because the process may have been suspended in between.
    void onLeadership(Instant now, bool isLeader, Term term, std::vector<VmId> controlVms);

    /// Sets the index of the last entry that was restored from disk. Entries up to it are not logged one by one when
    /// they are committed again, since an operator would take them for events.
    void setRestoredIndex(std::uint64_t index);

    /// Records the format versions that \p peer has announced on its latest connection; no value if it announced none.
    void recordPeerFormat(const VmId &peer, const std::optional<FormatRange> &range);

    /// Tells whether \p peer has announced the active format version, so that it may take part in consensus.
    [[nodiscard]] bool supportsActiveFormat(const VmId &peer) const;

    /// \returns an error if this build cannot read the command. The process must then stop: it would otherwise continue
    /// with a state that differs from that of the other control VMs. All later commands are rejected, too.
    Expected<void> onCommitted(Instant now, const LogEntry &entry);
    Expected<void> restore(std::string_view bytes);
    [[nodiscard]] std::string snapshot() const;

    /// Requires this VM to be the leader.
    void onReport(Instant now, const VmId &entry, const EntryReport &report);

    /// Exactly one SendControlResponse with \p requestId follows. Requires this VM to be the leader.
    void onRequest(Instant now, std::uint64_t requestId, const ControlRequest &request);

    /// Records the heartbeats that the control VM \p from has answered. \returns the response, or no value if the
    /// digest was ignored. Requires this VM to be the leader.
    std::optional<HeartbeatDigestResponse> onHeartbeatDigest(
        Instant now, const VmId &from, const HeartbeatDigest &digest);

    /// Returns the other control VMs that answer heartbeats.
    [[nodiscard]] std::vector<VmId> heartbeatVms(Instant now) const;

    void onProbe(Instant now, const ProbeOutcome &outcome);
    void onPromotion(Instant now, const ServiceId &service, std::uint64_t token, PromotionOutcome outcome);
    void tick(Instant now);

    [[nodiscard]] std::vector<SupervisionAction> takeActions();
    [[nodiscard]] const SupervisionState &state() const;
    [[nodiscard]] bool isLeader() const;

private:
    /// A request whose change is not committed yet.
    struct PendingRequest {
        std::uint64_t requestId = 0;
        Instant deadline {};
        ControlRequest request;
    };

    /// The last digest of a control VM.
    struct ReportingControlVm {
        std::uint64_t runId = 0;
        std::uint64_t sequence = 0;
        bool isLeaving = false;
        Instant lastDigestAt {};
    };

    void handleRequest(Instant now, std::uint64_t requestId, const PutConfiguration &change);
    void handleRequest(Instant now, std::uint64_t requestId, const ReadConfiguration &read);
    void handleRequest(Instant now, std::uint64_t requestId, const BackendHeartbeat &heartbeat);
    void handleRequest(Instant now, std::uint64_t requestId, const BackendLeave &leave);
    void logRejected(Instant now, const BackendHeartbeat &heartbeat, HeartbeatAdmission::Verdict verdict);
    void addPendingRequest(Instant now, std::uint64_t requestId, ControlRequest request);
    void respond(std::uint64_t requestId, ControlStatus status, std::string body = {});
    void respondToCompleted(Instant now);
    [[nodiscard]] bool isCompleted(const ControlRequest &request) const;
    void failPendingRequests();
    void logCommand(Instant now, const SupervisionCommand &command, std::uint64_t index);
    /// Reacts to a command that was applied while this VM leads.
    void onCommittedAsLeader(Instant now, const LogEntry &entry, const SupervisionCommand &command, bool hasChanged);
    /// Decides whether the entry may get a lease with the response to its report.
    [[nodiscard]] bool mayHoldLease(Instant now, const VmId &entry, const ZoneId &zone);
    void proposeFormat(Instant now);
    void removeSilentBackends(Instant now);
    /// \returns whether a failover has started or ended.
    bool tickMonitors(Instant now);
    [[nodiscard]] Duration probeInterval() const;
    void pushUpdates(Instant now);
    void pushUpdate(Instant now, const VmId &entry, bool isResponse);
    /// Adds the configuration that \p session lacks, unless it is in flight.
    void addConfiguration(Instant now, const VmId &entry, ReportingEntry &session, EntryUpdate &update);
    void propose(SupervisionCommand command);
    void assignCoordinators(Instant now);
    [[nodiscard]] MonitorContext context();
    /// Returns whether the entry may coordinate rate limits with the configuration that it has in force.
    [[nodiscard]] bool hasCurrentLimits(Instant now, const EntryReport &report) const;

    EventLog &log_;
    Metrics &metrics_;
    SupervisionTiming timing_;
    SupervisionState state_;
    ConfigurationUpdates configurations_;
    ConfigurationWindow configurationWindow_;
    bool isLeader_ = false;
    Term term_ = 0;
    Term ledTerm_ = 0; ///< Last term in which this VM was the leader.
    Instant leaderSince_ {};
    Instant homesAssignedAt_ {};
    std::deque<std::pair<std::uint64_t, Instant>> recentVersions_; ///< Versions and when they were committed, in order.
    std::uint64_t restoredIndex_ = 0;
    bool isPushDue_ = false;
    std::vector<VmId> controlVms_;
    EntryRegistry entries_;
    LeaseLedger leases_;
    LeaseRegistrar leaseRegistrar_;
    FormatActivation formats_;
    bool hasUnreadableCommand_ = false;
    CoordinatorSlots coordinators_;
    std::uint64_t nextUpdateNumber_ = 1;
    HeartbeatAdmission heartbeats_;
    std::map<VmId, ReportingControlVm> reportingControlVms_;
    std::map<ServiceId, PrimaryMonitor> monitors_;
    std::uint64_t monitoredTopology_ = 0; ///< Index of the topology whose services all have a monitor.
    std::set<ServiceId> failingOver_;
    FailoverForecast forecast_;
    std::map<std::uint64_t, ServiceId> serviceByProbe_; ///< Probes in flight.
    Instant silentBackendsCheckedAt_ {};
    std::deque<PendingRequest> pendingRequests_;
    std::map<BackendId, Instant> removalProposedAt_;
    std::uint64_t nextId_;
    std::vector<SupervisionAction> actions_;
};

} // namespace daisyrelay
