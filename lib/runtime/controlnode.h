// A process that takes part in consensus, and supervises while it leads.
#pragma once

#include "nodecontext.h"
#include "peermesh.h"
#include "probeclient.h"

#include <map>

namespace daisyrelay {

class ControlNode : public NodeRole
{
public:
    explicit ControlNode(NodeContext &context);

    Expected<void> start() override;
    void settingsChanged() override;
    void drain() override;

private:
    struct PendingRequest {
        ControlRequest request;
        std::function<void(ControlResult result)> onResult;
        Instant deadline {};
    };

    RaftOptions raftOptions() const;
    void handleHttpRequest(const HttpRequest &request, const HttpResponseCallback &respond);
    void handleControlRequest(ControlRequest request, std::function<void(ControlResult result)> onResult);
    void onPeerMessage(const VmId &from, ClusterPayload payload);
    void scheduleTick();
    void tick();

    /// Lets consensus and supervisor act until neither has anything to do.
    void runPendingActions(Instant now);
    void logMembership(Instant now);
    void performAction(Instant now, SupervisionAction action);
    void requestPromotion(const PromoteThroughPlatform &promotion);
    void finishRequest(std::uint64_t id, ControlResult result);
    [[nodiscard]] std::vector<VmId> controlVms() const;
    [[nodiscard]] bool isLeader(Instant now) const;

    NodeContext &context_;
    Counters counters_;
    Supervisor supervisor_;
    PeerTransport peers_;
    ProbeClient probes_;
    std::unique_ptr<RaftDriver> raft_;
    std::unique_ptr<HttpServer> api_;
    boost::asio::steady_timer timer_;
    std::map<std::uint64_t, PendingRequest> pendingRequests_;
    std::uint64_t nextRequestId_ = 1;
    std::uint64_t loggedMembershipIndex_ = 0;
    std::optional<VmId> loggedLeader_;
    bool isRunningActions_ = false;
    std::optional<Instant> drainStartedAt_;
};

} // namespace daisyrelay
