// A process that serves callers.
#pragma once

#include "backendlinks.h"
#include "callerlinks.h"
#include "nodecontext.h"
#include "peermesh.h"

namespace daisyrelay {

class EntryNode : public NodeRole
{
public:
    explicit EntryNode(NodeContext &context);

    Expected<void> start() override;
    void settingsChanged() override;
    void drain() override;

private:
    CallerLinks::Hooks callerHooks();
    BackendLinks::Hooks backendHooks();
    void onPeer(const VmId &from, ClusterPayload payload);
    void onUpdate(const VmId &from, const EntryUpdate &update);
    void perform();
    void scheduleTick();
    void tick();
    void report(Instant now);
    void askPeers(Instant now);
    void chooseControl(Instant now);
    void serveHealth(const HttpRequest &request, const HttpReply &reply);

    NodeContext &context_;
    std::uint64_t run_; ///< Drawn at each start.
    ProxyCore core_;
    CallerLinks callers_;
    BackendLinks backends_;
    PeerMesh mesh_;
    std::unique_ptr<HttpServer> health_;
    boost::asio::steady_timer timer_;
    bool performing_ = false;
    bool draining_ = false;
    std::vector<VmId> controlVms_;
    VmId control_; ///< The control VM that reports go to.
    bool knowsLeader_ = false;
    std::vector<VmId> peers_; ///< Entries to ask while control is silent.
    std::size_t nextPeer_ = 0;
    Instant askedPeersAt_ {};
    std::size_t nextControl_ = 0;
    Instant heardAt_ {};
    std::optional<Instant> unansweredSince_; ///< The first report that the leader has not answered.
    Instant triedAt_ {};
    Instant reportedAt_ {};
    Instant settingsReadAt_ {};
    Duration reportInterval_;
    std::uint64_t sequence_ = 0;
    Term leaderTerm_ = 0;
};

} // namespace daisyrelay
