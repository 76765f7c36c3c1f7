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
    struct OpenRequest {
        ControlRequest request;
        std::function<void(ControlResult result)> done;
        Instant until {};
    };

    RaftOptions raftOptions() const;
    void serve(const HttpRequest &request, const HttpReply &reply);
    void handle(ControlRequest request, std::function<void(ControlResult result)> done);
    void onPeer(const VmId &from, ClusterPayload payload);
    void scheduleTick();
    void tick();

    /// Lets consensus and supervisor act until neither has anything to do.
    void settle(Instant now);
    void logMembers(Instant now);
    void perform(Instant now, SupervisionAction action);
    void promote(const PromoteThroughPlatform &promotion);
    void finishRequest(std::uint64_t id, ControlResult result);
    [[nodiscard]] std::vector<VmId> controlVms() const;
    [[nodiscard]] bool leads(Instant now) const;

    NodeContext &context_;
    Counters counters_;
    Supervisor supervisor_;
    PeerMesh mesh_;
    ProbeClient probes_;
    std::unique_ptr<RaftDriver> raft_;
    std::unique_ptr<HttpServer> api_;
    boost::asio::steady_timer timer_;
    std::map<std::uint64_t, OpenRequest> requests_;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t loggedMembers_ = 0;
    std::optional<VmId> loggedLeader_;
    bool settling_ = false;
    std::optional<Instant> drainSince_;
};

} // namespace daisyrelay
