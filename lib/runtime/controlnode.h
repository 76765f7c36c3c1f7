// The control role of a process: takes part in consensus and supervises the backend servers while it is the leader.
#pragma once

#include "daisyrelay/limits.h"

#include "nodecontext.h"
#include "peertransport.h"
#include "probeclient.h"

#include <map>

namespace daisyrelay {

/// Drives consensus, the supervisor and the HTTP control API.
class ControlNode : public NodeRole
{
public:
    explicit ControlNode(NodeContext &context);

    Expected<void> start() override;
    void onSettingsChanged() override;
    void drain() override;

private:
    /// A control request that waits for a commit, or for the result of the leader that it was forwarded to.
    struct PendingRequest {
        /// The sender, if the request is a heartbeat. Only heartbeats are admitted by `heartbeatGate_`.
        std::optional<BackendId> heartbeatOf;
        std::function<void(ControlResult result)> onResult;
        Instant deadline {};
    };

    RaftOptions raftOptions() const;
    void handleHttpRequest(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleControlRequest(ControlRequest request, std::function<void(ControlResult result)> onResult);
    void onPeerMessage(const VmId &from, ClusterPayload payload);
    PeerTransport::Hooks peerHooks();
    /// Applies a committed log entry. \returns false, and stops this VM, if the entry cannot be read.
    bool applyCommitted(const LogEntry &entry);
    /// Ends the process because its state can no longer follow the log.
    void stopUnreadable(const std::string &detail);
    void scheduleTick();
    void tick();

    /// Performs the pending actions of consensus and supervisor until neither has any left.
    void runPendingActions(Instant now);
    /// Logs the members and the leader if either has changed.
    void logMembership(Instant now);
    void performAction(Instant now, SupervisionAction action);
    /// Calls the platform to promote a replica and reports the outcome to the supervisor.
    void requestPromotion(const PromoteThroughPlatform &promotion);
    void refuseHeartbeat(const std::function<void(ControlResult result)> &onResult);
    void finishRequest(std::uint64_t id, ControlResult result);
    void sendHeartbeatDigest(Instant now);
    /// Returns the control VM to which \p backend should send its heartbeats.
    [[nodiscard]] VmId heartbeatVmOf(Instant now, const BackendId &backend) const;
    [[nodiscard]] std::vector<VmId> controlVms() const;
    /// Whether this VM is the leader and holds the leader lease, so that its own state is current.
    [[nodiscard]] bool isLeader(Instant now) const;

    NodeContext &context_;
    Counters counters_;
    Supervisor supervisor_;
    HeartbeatResponder heartbeats_;
    PeerTransport peers_;
    ProbeClient probes_;
    std::unique_ptr<RaftDriver> raft_;
    std::unique_ptr<HttpServer> apiServer_;
    boost::asio::steady_timer timer_;
    std::map<std::uint64_t, PendingRequest> pendingRequests_;
    RequestGate heartbeatGate_;
    std::optional<Instant> nextTickAt_;
    /// Starts at random: a response to a former process of this VM must not complete a request of this one.
    std::uint64_t nextRequestId_ = drawRandomNumber();
    std::uint64_t loggedMembershipIndex_ = 0;
    std::optional<VmId> loggedLeader_;
    bool isRunningActions_ = false;
    bool isStopped_ = false; ///< The log or a snapshot could not be read; the process ends.
    std::optional<Instant> drainStartedAt_;
};

} // namespace daisyrelay
