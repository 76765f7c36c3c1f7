// Messages between entries and control VMs in systems whose databases are addressed by name.
#pragma once

#include "daisyrelay/wire/backendrecord.h"
#include "daisyrelay/wire/configurationchange.h"
#include "daisyrelay/wire/forwardingmessages.h"
#include "daisyrelay/wire/leaseholders.h"
#include "daisyrelay/wire/raftmessages.h"
#include "daisyrelay/wire/ratelimitmessages.h"
#include "daisyrelay/wire/routeconfiguration.h"

#include <optional>
#include <variant>
#include <vector>

namespace daisyrelay {

/// Number of connections to a backend server, granted to an entry or requested by it.
struct ConnectionQuota {
    BackendId backend;
    std::uint32_t connections = 0;

    bool operator==(const ConnectionQuota &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, connections);
    }
};

/// What an entry has observed about a primary in its own traffic.
struct PrimaryObservation {
    ServiceId service;
    BackendId backend;
    bool isConfirmed = false; ///< The server has confirmed the primary role within about the last report interval.
    bool isUnreachable = false; ///< Connections fail or get no response.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend, isConfirmed, isUnreachable);
    }
};

/// Control withdraws the use of a service's primary from all entries before it promotes another server.
struct PrimaryWithdrawal {
    ServiceId service;
    std::uint64_t id = 0; ///< Differs between withdrawals, also those of different leaders.

    bool operator==(const PrimaryWithdrawal &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, id);
    }
};

/// The heartbeat of an entry.
struct EntryReport {
    std::string name;
    ZoneId zone;
    std::uint64_t runId = 0; ///< Random number drawn at each start of the process.
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0; ///< Version of the configuration in force on the entry.
    bool needsWholeConfiguration = false; ///< The entry could not apply the last change.
    std::uint64_t topologyIndex = 0; ///< Index of the topology that the entry has.
    std::uint64_t homesVersion = 0; ///< Version of the homes that the entry has.
    bool isLeaving = false; ///< The entry shuts down soon and should hold nothing that others need.
    std::vector<ConnectionQuota> heldQuotas; ///< Upper bounds of the connections in use; only the entry lowers them.
    std::vector<ConnectionQuota> requestedQuotas; ///< Requested quotas where they differ from `heldQuotas`.
    std::vector<PrimaryObservation> primaries;
    std::vector<PrimaryWithdrawal> released; ///< Withdrawals after which the entry no longer uses the primary.
    CoordinatorReport coordinators;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, zone, runId, sequence, configVersion, needsWholeConfiguration, topologyIndex, homesVersion,
            isLeaving, heldQuotas, requestedQuotas, primaries, released, coordinators);
    }
};

/// Backend servers and primaries: all of them, or the changes since an earlier index.
struct Topology {
    /// Log index of the last change that is included; updates up to an index that the receiver has are ignored.
    std::uint64_t index = 0;
    /// Zero if the topology is complete. Otherwise it contains all changes after this index, and applies to topologies
    /// of this index or a later one.
    std::uint64_t baseIndex = 0;
    std::vector<BackendRecord> backends;
    std::vector<PrimaryRecord> primaries;
    std::vector<BackendId> removed; ///< Backend servers that no longer exist.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, baseIndex, backends, primaries, removed);
    }
};

/// A service whose primary is being replaced.
struct FailoverStatus {
    ServiceId service;
    std::uint32_t remainingMs = 0; ///< Expected time until the new primary is known.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, remainingMs);
    }
};

/// The entries that hold the connections to a backend server with too few connections for all entries.
struct BackendHomes {
    BackendId backend;
    std::vector<VmId> entries;

    bool operator==(const BackendHomes &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, entries);
    }
};

/// Changed homes.
struct HomesUpdate {
    std::uint64_t version = 0; ///< Version of the entry's homes after the update.
    bool replacesAll = false; ///< First of the updates that together replace all homes.
    bool isLast = false; ///< No further update follows; homes that none of them contained no longer exist.
    std::vector<BackendHomes> homes; ///< No entries if a server has no homes any more.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, replacesAll, isLast, homes);
    }
};

/// The leader's response to a report, also sent when the configuration or the topology changes and when a failover
/// starts or ends.
struct EntryUpdate {
    Term leaderTerm = 0;
    std::uint64_t sequence = 0; ///< Sequence of the last report received from the entry.
    std::uint64_t runId = 0; ///< Run of the process that sent that report; zero if unknown.
    std::uint64_t configVersion = 0; ///< Latest committed version.
    /// An encoded ConfigurationUpdate, the same bytes for all entries with the same version. Empty if the entry has the
    /// latest version.
    std::string configuration;
    std::optional<Topology> topology; ///< Present if the entry has an older one.
    std::vector<ConnectionQuota> quotas; ///< Changed quotas only.
    std::vector<VmId> controlVms;
    std::vector<VmId> peers; ///< Some other entries, for use while no control VM can be reached.
    std::uint32_t reportIntervalMs = 0;
    std::optional<HomesUpdate> homes; ///< Present if the entry lacks some.
    std::vector<FailoverStatus> failingOver; ///< Services whose primary is being replaced.
    std::uint64_t number = 0; ///< Increases with each update of a leader to any entry; zero if it is not numbered.
    std::uint64_t topologyIndex = 0; ///< Index of the leader's topology.
    /// Durations of the lease on all primaries of that topology. The entry counts them from the time at which it sent
    /// the report that this update responds to. Zero if the update grants no lease.
    LeaseDurations lease;
    std::vector<PrimaryWithdrawal> withdrawn; ///< All current withdrawals; the lease does not cover these services.
    CoordinatorUpdate coordinators;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(leaderTerm, sequence, runId, configVersion, configuration, topology, quotas, controlVms, peers,
            reportIntervalMs, homes, failingOver, number, topologyIndex, lease, withdrawn, coordinators);
    }
};

/// The response of a control VM that is not the leader.
struct LeaderHint {
    VmId leader; ///< Empty if no leader is known.
    std::vector<VmId> controlVms;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(leader, controlVms);
    }
};

/// A configuration and the text that the operator sent, which readers get back unchanged.
struct PutConfiguration {
    RouteConfiguration configuration;
    std::string source;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(configuration, source);
    }
};

struct ReadConfiguration {
    template <typename Archive>
    void serialize(Archive & /*archive*/)
    {
    }
};

/// A backend server has shut down in an orderly way.
struct BackendLeave {
    BackendId backend;
    std::int64_t startedAtMs = 0; ///< Zero if the server did not send it.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, startedAtMs);
    }
};

using ControlRequest = std::variant<PutConfiguration, ReadConfiguration, BackendHeartbeat, BackendLeave>;

enum class ControlStatus : std::uint8_t {
    Done,
    Unavailable, ///< The change is not known to be committed; the request may be repeated.
    NotFound,
};

struct ControlResult {
    ControlStatus status = ControlStatus::Unavailable;
    std::string body; ///< The configuration text as sent by the operator, in response to ReadConfiguration.
    VmId heartbeatVm; ///< The control VM to which the backend server should send later heartbeats.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, body, heartbeatVm);
    }
};

/// A request forwarded to the leader by another control VM.
struct ForwardedControlRequest {
    std::uint64_t id = 0;
    ControlRequest request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, request);
    }
};

/// The leader's response to a ForwardedControlRequest.
struct ForwardedControlResponse {
    std::uint64_t id = 0;
    ControlResult result;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, result);
    }
};

/// A backend server whose heartbeat another control VM than the leader has answered.
struct HeardBackend {
    BackendId backend;
    std::int64_t startedAtMs = 0; ///< Identifies the incarnation of the server.
    std::uint64_t sequence = 0; ///< Sequence of the heartbeat.
    std::uint32_t ageMs = 0; ///< Time since the heartbeat when the digest was sent.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, startedAtMs, sequence, ageMs);
    }
};

/// A control VM reports to the leader which backend servers it has heard since the last acknowledged digest.
struct HeartbeatDigest {
    Term term = 0; ///< Term of the leader that the digest is meant for.
    std::uint64_t runId = 0; ///< Random number drawn at each start of the process.
    std::uint64_t sequence = 0; ///< Increases with each digest of a run.
    bool isLeaving = false; ///< The VM shuts down soon and should get no further heartbeats.
    std::vector<HeardBackend> heard;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, runId, sequence, isLeaving, heard);
    }
};

/// The response of a leader that holds the leader lease.
struct HeartbeatDigestResponse {
    Term term = 0;
    std::uint64_t runId = 0; ///< As in the digest.
    std::uint64_t sequence = 0; ///< As in the digest.
    std::uint64_t topologyIndex = 0; ///< Index of the leader's topology.
    std::vector<VmId> heartbeatVms; ///< Control VMs that answer heartbeats.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, runId, sequence, topologyIndex, heartbeatVms);
    }
};

using ClusterPayload
    = std::variant<RaftMessage, EntryReport, EntryUpdate, LeaderHint, ForwardedControlRequest, ForwardedControlResponse,
        ForwardedStatement, ForwardedStatementResponse, ForwardedSessionEnd, PositionRequest, PositionResponse,
        RateLimitRequest, RateLimitGrant, HeartbeatDigest, HeartbeatDigestResponse, HomeProbe, HomeProbeResponse>;

struct ClusterMessage {
    VmId from;
    ClusterPayload payload;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(from, payload);
    }
};

// Commands of the replicated log.

struct RecordBackend {
    BackendRecord record;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(record);
    }
};

struct RemoveBackend {
    BackendId backend;
    std::int64_t startedAtMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, startedAtMs);
    }
};

/// Reserves a fencing token, which is the log index at which the command is committed. No other promotion ever has the
/// same token.
struct DecidePromotion {
    ServiceId service;
    BackendId backend;
    std::uint64_t proposalId = 0; ///< Identifies the proposal to the leader that made it.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend, proposalId);
    }
};

/// Records a backend server as the primary, after it was found in that role or promoted.
struct RecordPrimary {
    ServiceId service;
    BackendId backend;
    /// A promotion of the server whose outcome is unknown may still be carried out, and would make it the primary
    /// again.
    bool isInDoubt = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend, isInDoubt);
    }
};

/// Raises the format version of the stored state. From then on the mechanisms of that version are in force, and builds
/// that do not know it take no part.
struct ActivateFormat {
    std::uint32_t version = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version);
    }
};

/// Records that every entry with a lease is registered, so that later leaders wait for registered entries only.
struct CompleteLeaseHolders {
    template <typename Archive>
    void serialize(Archive & /*archive*/)
    {
    }
};

// New commands are appended, and proposed only once a format version that contains them is active.
using SupervisionCommand = std::variant<PutConfiguration, RecordBackend, RemoveBackend, DecidePromotion, RecordPrimary,
    RegisterLeaseHolder, RemoveLeaseHolder, ActivateFormat, CompleteLeaseHolders>;

std::string encodeClusterMessage(const ClusterMessage &message);

/// \returns ErrorKind::BadRequest unless \p bytes are exactly one message.
Expected<ClusterMessage> decodeClusterMessage(std::string_view bytes);

std::string encodeSupervisionCommand(const SupervisionCommand &command);

/// \returns ErrorKind::BadRequest unless \p bytes are exactly one command.
Expected<SupervisionCommand> decodeSupervisionCommand(std::string_view bytes);

} // namespace daisyrelay
