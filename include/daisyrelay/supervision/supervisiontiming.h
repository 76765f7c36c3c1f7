// Durations and limits that the supervisor uses.
#pragma once

#include "daisyrelay/base.h"
#include "daisyrelay/wire.h"

namespace daisyrelay {

/// Durations that the leader uses to monitor servers and entries.
struct SupervisionTiming {
    /// A change that is not committed within this time is reported as unavailable. Shorter than the second after which
    /// operators try another control VM.
    Duration commitTimeout = std::chrono::milliseconds(800);
    /// Interval between two probes of a primary.
    Duration probeInterval = std::chrono::milliseconds(100);
    /// Average time between two probes when there are many services.
    Duration minProbeSpacing = std::chrono::milliseconds(3);
    /// Longest time between two looks at the state of a healthy primary.
    Duration maxMonitorPause = std::chrono::milliseconds(100);
    /// Interval between two probes of a backend server that is being promoted.
    Duration promotedProbeInterval = std::chrono::milliseconds(15);
    /// A probe needs no statement slot, so a healthy server responds immediately.
    Duration probeTimeout = std::chrono::milliseconds(250);
    /// A primary without confirmation for longer than this, beyond the interval between two probes, is replaced.
    Duration maxPrimarySilence = std::chrono::milliseconds(280);
    /// A primary whose host refuses connections for longer than this is replaced.
    Duration refusedTimeout = std::chrono::milliseconds(150);
    /// A primary that reports the replica role for longer than this is replaced.
    Duration deposedTimeout = std::chrono::milliseconds(300);
    /// A primary that most entries cannot reach for longer than this is replaced.
    Duration unreachableTimeout = std::chrono::milliseconds(1000);
    /// Where the platform fences, a primary that has not confirmed by then that it is a replica counts as unreachable.
    Duration stepDownTimeout = std::chrono::milliseconds(250);
    /// How long a survey waits for a server that has received commits of the former primary and has sent no heartbeat
    /// yet. A server sends another heartbeat after a second without a response.
    Duration maxFirstHeartbeatDelay = std::chrono::milliseconds(1500);
    /// How long backend servers have to report their positions.
    Duration surveyTimeout = std::chrono::milliseconds(200);
    /// Timeout of the platform's response to a promotion.
    Duration promotionCallTimeout = std::chrono::milliseconds(1000);
    /// Delay before a failed promotion is retried.
    Duration promotionRetryDelay = std::chrono::milliseconds(150);
    /// An accepted promotion must take effect within this time.
    Duration promotionEffectTimeout = std::chrono::milliseconds(3000);
    /// Durations of a lease on the primaries. They bridge a change of the control leader. An entry that cannot be
    /// reached delays the failover of a primary by the duration that applies to it.
    LeaseDurations primaryLease { std::chrono::milliseconds(3000), std::chrono::milliseconds(1500) };
    /// Duration of the authority over a coordinator slot. Limits how long the offline allowances of entries have to
    /// replace a lost coordinator.
    Duration coordinatorLease = std::chrono::milliseconds(1500);
    /// A lowered rate limit is in force at all coordinators within this time of its acknowledgment.
    Duration limitApplyTime = std::chrono::milliseconds(4000);
    /// A promotion without a response has taken effect by then, or never will. The platform carries a call out up to
    /// twelve seconds later, and the effect follows within a second.
    Duration maxPromotionDelay = std::chrono::seconds(13);
    /// How long to wait after a start until exactly one server claims the primary role.
    Duration adoptionTimeout = std::chrono::milliseconds(3000);
    /// A server silent for longer than this has missed three or more heartbeats and is not promoted.
    Duration maxBackendSilence = std::chrono::milliseconds(4500);
    /// A server that has sent a heartbeat within this time keeps its service and address. Longer than the interval
    /// between two heartbeats.
    Duration displacementDelay = std::chrono::seconds(2);
    /// A server whose heartbeats have been rejected as outdated for this time, each newer than the one before, runs.
    Duration proofOfLifeTime = std::chrono::seconds(3);
    /// A backend server silent for longer than this is removed.
    Duration backendExpiry = std::chrono::seconds(30);
    /// An entry silent for longer than this is removed from the table of lease holders. Its leases expired long before.
    Duration leaseHolderExpiry = std::chrono::seconds(30);
    /// Interval between two checks of whether all VMs support a newer format version.
    Duration formatEvaluationInterval = std::chrono::milliseconds(100);
    /// All VMs have supported a format version for this time before it is activated. Until then an operator can return
    /// to the earlier build.
    Duration formatActivationDelay = std::chrono::seconds(20);
    /// A leader reports which VMs hold a version back only after this time, in which all have connected to it.
    Duration formatReportDelay = std::chrono::seconds(3);
    /// Interval between two digests of the heartbeats that a control VM has answered.
    Duration digestInterval = std::chrono::seconds(1);
    /// A digest without a response is replaced by another one after this time.
    Duration digestRetryInterval = std::chrono::milliseconds(400);
    /// A control VM answers heartbeats from its own state for this time after it has sent a digest that the leader
    /// acknowledged. Allows for one lost digest.
    Duration maxLeaderSilence = std::chrono::seconds(2);
    /// Servers send no heartbeats to a control VM whose last digest is older than this. Three digests are missing then.
    Duration maxControlVmSilence = std::chrono::seconds(3);
    /// Reports of an entry silent for longer than this are ignored.
    Duration maxEntrySilence = std::chrono::milliseconds(1500);
    /// The connections of an entry silent for longer than this are given to other entries.
    Duration entryExpiry = std::chrono::seconds(6);
    /// With more entries, changes of backend servers are sent only in response to reports.
    std::size_t maxEntriesForBackendPush = 16;
    /// Interval between two assignments of homes.
    Duration homeAssignmentInterval = std::chrono::milliseconds(250);
    /// A new leader keeps existing homes for this time, in which all entries find the new leader.
    Duration homeAssignmentDelay = std::chrono::milliseconds(2500);
    /// A new leader collects reports for this time before it grants shares.
    Duration quotaGrantDelay = std::chrono::milliseconds(700);
    /// Updates that an entry has not confirmed are sent again after this time.
    Duration pushRetryInterval = std::chrono::milliseconds(1000);
    /// Report interval of an entry while there are few entries.
    Duration minReportInterval = std::chrono::milliseconds(200);
    /// Average time between two reports at the leader when there are many entries.
    Duration minReportSpacing = std::chrono::milliseconds(5);
};

/// Added to the duration of a lease on the side of control, since clocks of two VMs differ in rate.
constexpr Duration ClockDriftMargin = std::chrono::milliseconds(50);

/// Connections to each backend server that are not given to entries. They serve the leader's probes and connections
/// that are slow to close.
constexpr std::uint32_t ReservedConnections = 2;

/// Connections to a backend server that every entry must be able to hold. If there are fewer, a few home entries hold
/// all of them.
constexpr std::size_t MinDirectConnections = 2;

/// The same where connections belong to workspaces, of which there are at least as many.
constexpr std::size_t MinDirectConnectionsWithWorkspaces = 12;

/// If there are more backend servers, an entry gets connections only to those that it requests.
constexpr std::size_t MaxBackendsWithShares = 128;

/// If there are more backend servers, their heartbeats are spread over all control VMs. One leader has answered those
/// of as many servers in time.
constexpr std::size_t MaxBackendsAtLeader = 128;

/// Maximum number of backend servers whose homes are sent in one update, so that no update delays others for long.
constexpr std::size_t MaxHomesPerUpdate = 64;

/// Maximum number of backend servers and primaries that are sent in one update.
constexpr std::size_t MaxTopologyChangesPerUpdate = 64;

/// Number of entries that relay statements to a primary which other entries cannot reach.
constexpr std::size_t RelaysPerPrimary = 3;

/// Number of home entries of a backend server with scarce connections. Two, so that one may fail.
constexpr std::size_t HomesPerBackend = 2;

} // namespace daisyrelay
