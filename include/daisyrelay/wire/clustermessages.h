// Messages between entries and control VMs where databases are addressed by name.
#pragma once

#include "daisyrelay/wire/backendrecord.h"
#include "daisyrelay/wire/forwardingmessages.h"
#include "daisyrelay/wire/raftmessages.h"
#include "daisyrelay/wire/routeconfiguration.h"

#include <optional>
#include <variant>
#include <vector>

namespace daisyrelay {

/// How many connections an entry may hold to a backend server, or would like to.
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

/// What an entry knows about a primary from its own traffic.
struct PrimaryObservation {
    ServiceId service;
    BackendId backend;
    bool confirmed = false; ///< It has proven that it leads within the last report interval or so.
    bool unreachable = false; ///< Connections to it fail or stay without an answer.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend, confirmed, unreachable);
    }
};

/// The heartbeat of an entry.
struct EntryReport {
    std::string name;
    ZoneId zone;
    std::uint64_t run = 0; ///< Drawn at each start.
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0; ///< In force on the entry.
    std::uint64_t topologyIndex = 0; ///< Of the topology that it holds.
    std::uint64_t homesVersion = 0; ///< Of the homes that it knows.
    bool leaving = false; ///< It ends soon and should hold nothing that others need.
    std::vector<ConnectionQuota> held; ///< The quotas that it counts on; only it lowers them.
    std::vector<ConnectionQuota> requested; ///< Where they differ from `held`.
    std::vector<PrimaryObservation> primaries;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(
            name, zone, run, sequence, configVersion, topologyIndex, homesVersion, leaving, held, requested, primaries);
    }
};

/// All backend servers and primaries.
struct Topology {
    std::uint64_t index = 0; ///< Log index of the last change; a higher one replaces a lower one.
    std::vector<BackendRecord> backends;
    std::vector<PrimaryRecord> primaries;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, backends, primaries);
    }
};

/// The entries that hold the connections to a backend server which has too few for all of them.
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

/// The leader's answer to a report, also sent when something changes.
struct EntryUpdate {
    Term leaderTerm = 0;
    std::uint64_t sequence = 0; ///< Of the latest report that it answers.
    std::uint64_t configVersion = 0; ///< The newest that is committed.
    std::optional<RouteConfiguration> configuration; ///< If the entry has an older one.
    std::optional<Topology> topology; ///< If the entry has an older one.
    std::vector<ConnectionQuota> quotas; ///< Changed ones only.
    std::vector<VmId> controlVms;
    std::vector<VmId> peers; ///< Some other entries, to be asked where no control VM can be reached.
    std::uint32_t reportIntervalMs = 0;
    std::uint64_t homesVersion = 0;
    std::optional<std::vector<BackendHomes>> homes; ///< If the entry has others.
    std::vector<ServiceId> failingOver; ///< Services whose primary is about to change.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(leaderTerm, sequence, configVersion, configuration, topology, quotas, controlVms, peers,
            reportIntervalMs, homesVersion, homes, failingOver);
    }
};

/// The answer of a control VM that does not lead.
struct LeaderHint {
    VmId leader; ///< Empty if there is none.
    std::vector<VmId> controlVms;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(leader, controlVms);
    }
};

/// A configuration together with the text that the operator sent, which is what readers get back.
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

/// A backend server has ended in good order.
struct BackendLeave {
    BackendId backend;
    std::int64_t startedAtMs = 0; ///< Zero if it did not say.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(backend, startedAtMs);
    }
};

using ControlRequest = std::variant<PutConfiguration, ReadConfiguration, BackendHeartbeat, BackendLeave>;

enum class ControlStatus : std::uint8_t {
    Done,
    Unavailable, ///< Nothing is known to have changed; ask again.
    NotFound,
};

struct ControlResult {
    ControlStatus status = ControlStatus::Unavailable;
    std::string body; ///< The source of the configuration that was read.
    VmId leader; ///< Where later requests are answered without a detour.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, body, leader);
    }
};

/// A request that reached a control VM which does not lead.
struct ForwardedControlRequest {
    std::uint64_t id = 0;
    ControlRequest request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, request);
    }
};

struct ForwardedControlResponse {
    std::uint64_t id = 0;
    ControlResult result;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, result);
    }
};

using ClusterPayload
    = std::variant<RaftMessage, EntryReport, EntryUpdate, LeaderHint, ForwardedControlRequest, ForwardedControlResponse,
        ForwardedStatement, ForwardedStatementResponse, ForwardedSessionEnd, PositionRequest, PositionResponse>;

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

/// Reserves a fencing token: the log index at which it is committed. No other promotion ever has the same.
struct DecidePromotion {
    ServiceId service;
    BackendId backend;
    std::uint64_t proposalId = 0; ///< Lets the leader that proposed it recognise it.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend, proposalId);
    }
};

/// A backend server is the primary: found in that role, or promoted.
struct RecordPrimary {
    ServiceId service;
    BackendId backend;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, backend);
    }
};

using SupervisionCommand = std::variant<PutConfiguration, RecordBackend, RemoveBackend, DecidePromotion, RecordPrimary>;

std::string encodeClusterMessage(const ClusterMessage &message);

/// \returns ErrorKind::BadRequest if \p bytes are not one whole message.
Expected<ClusterMessage> decodeClusterMessage(std::string_view bytes);

std::string encodeSupervisionCommand(const SupervisionCommand &command);

/// \returns ErrorKind::BadRequest if \p bytes are not one whole command.
Expected<SupervisionCommand> decodeSupervisionCommand(std::string_view bytes);

} // namespace daisyrelay
