// Decides which heartbeats may change what is recorded of the backend servers.
#pragma once

#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/supervision/supervisiontiming.h"

namespace daisyrelay {

/// Anyone who reaches a control VM can send heartbeats, in the name of any server. A server that goes on sending its
/// own is therefore not displaced by one that conflicts with them: under its id from another service or address, or
/// under another id from its address. A server that was displaced while it was silent, or by a start time or sequence
/// number that is too high, gets its place back once it has sent several heartbeats in a row.
///
/// Used by the leader; free of I/O.
class HeartbeatAdmission
{
public:
    enum class Verdict : std::uint8_t {
        Accepted,
        Outdated, ///< Belongs to an earlier incarnation, or was sent before one that was accepted.
        Conflicting, ///< Would displace a server that sends heartbeats.
        UnknownService, ///< No configuration names the service.
    };

    struct Result {
        Verdict verdict = Verdict::Accepted;
        /// Start time to record. Higher than the reported one if another record under the id has a higher one although
        /// the sender is the live server.
        std::int64_t startedAtMs = 0;
    };

    explicit HeartbeatAdmission(SupervisionTiming timing);

    /// Forgets all heartbeats, when this VM becomes the leader.
    void reset(Instant now);

    [[nodiscard]] Result admit(Instant now, const BackendHeartbeat &heartbeat, const SupervisionState &state);

    /// Records a heartbeat that another control VM has answered \p age ago, for a record that is unchanged.
    void recordAnswered(
        Instant now, const BackendId &backend, std::int64_t startedAtMs, std::uint64_t sequence, Duration age);

    /// Returns the start time under which the incarnation is recorded that reports \p startedAtMs.
    [[nodiscard]] std::int64_t recordedStart(const BackendId &backend, std::int64_t startedAtMs) const;

    /// Tells whether the server has sent a heartbeat lately, or may have sent it to a former leader.
    [[nodiscard]] bool isAlive(Instant now, const BackendId &backend) const;

    /// Time of the last accepted heartbeat of each server.
    [[nodiscard]] const std::map<BackendId, Instant> &lastHeartbeatAt() const;

private:
    /// Heartbeats of one incarnation that were rejected as outdated, each sent after the one before.
    struct RejectedRun {
        std::int64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        std::uint32_t count = 0;
        Instant firstAt {};
    };

    /// The start time of a live server that is lower than that of another record under its id.
    struct RaisedStart {
        std::int64_t reported = 0;
        std::int64_t recorded = 0;
    };

    [[nodiscard]] bool isConflicting(Instant now, const BackendRecord &record, const SupervisionState &state) const;
    /// Records an outdated heartbeat. \returns whether its sender has proved that it is the live server.
    bool recordRejected(Instant now, const BackendHeartbeat &heartbeat);

    SupervisionTiming timing_;
    Instant startedAt_ {};
    std::map<BackendId, Instant> lastHeartbeatAt_;
    /// Recorded start time and sequence number of the last accepted heartbeat.
    std::map<BackendId, std::pair<std::int64_t, std::uint64_t>> lastOrder_;
    std::map<BackendId, RejectedRun> rejected_;
    std::map<BackendId, RaisedStart> raisedStarts_;
};

} // namespace daisyrelay
