// Heartbeats of backend servers at a control VM that is not the leader.
#pragma once

#include "daisyrelay/supervision/supervisionstate.h"
#include "daisyrelay/supervision/supervisiontiming.h"
#include "daisyrelay/telemetry.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace daisyrelay {

/// Answers heartbeats that change nothing from the replicated state of this VM, and tells the leader about them.
///
/// The state counts as current for SupervisionTiming::maxLeaderSilence after this VM has sent a digest, if a leader
/// that holds the leader lease has acknowledged the digest and this VM has applied the topology that the leader had
/// then.
class HeartbeatResponder
{
public:
    HeartbeatResponder(Metrics &metrics, std::uint64_t runId, SupervisionTiming timing = {});

    /// Records \p heartbeat if \p state shows that it changes nothing. \returns false if it must be forwarded to the
    /// leader.
    bool accept(Instant now, const SupervisionState &state, const BackendHeartbeat &heartbeat);

    /// Returns the next digest for the leader of \p term if it is due. A digest contains what was heard since the last
    /// acknowledged one, so that a lost digest loses nothing.
    std::optional<HeartbeatDigest> takeDigest(Instant now, const VmId &leader, Term term, bool isLeaving);

    void onResponse(const VmId &from, const HeartbeatDigestResponse &response);

    /// Returns the control VMs that answer heartbeats, as the leader told last.
    [[nodiscard]] const std::vector<VmId> &heartbeatVms() const;

private:
    /// The last heartbeat of a backend server.
    struct Heard {
        std::int64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        Instant at {};
    };

    struct SentDigest {
        std::uint64_t sequence = 0;
        Instant at {};
    };

    [[nodiscard]] bool isCurrent(Instant now, const SupervisionState &state) const;

    Metrics &metrics_;
    SupervisionTiming timing_;
    std::uint64_t runId_;
    std::uint64_t lastSequence_ = 0;
    VmId leader_;
    Term term_ = 0; ///< Term of the leader that gets the digests.
    std::deque<SentDigest> sent_; ///< Digests to this leader without a response, oldest first.
    Instant lastSentAt_ {};
    std::optional<Instant> acknowledgedAt_; ///< When the last digest that this leader acknowledged was sent.
    std::optional<Instant> currentSince_; ///< The same for any leader.
    std::uint64_t leaderTopologyIndex_ = 0;
    std::vector<VmId> heartbeatVms_;
    std::map<BackendId, Heard> heard_;
};

/// Returns the control VM to which \p backend should send its heartbeats: \p leader if there are at most
/// MaxBackendsAtLeader servers, otherwise one of \p vms by rendezvous hash.
VmId chooseHeartbeatVm(const BackendId &backend, std::size_t servers, const VmId &leader, const std::vector<VmId> &vms);

} // namespace daisyrelay
