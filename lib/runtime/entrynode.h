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
    CallerSessions::Hooks callerHooks();
    BackendConnections::Hooks backendHooks();
    void onPeerMessage(const VmId &from, ClusterPayload payload);
    void onLeaderUpdate(const VmId &from, const EntryUpdate &update);
    void performActions();
    void scheduleTick();
    void tick();
    void sendReport(Instant now);
    void requestPeerUpdate(Instant now);
    void selectControlVm(Instant now);
    void handleHealthRequest(const HttpRequest &request, const HttpResponseCallback &respond);

    NodeContext &context_;
    std::uint64_t runId_; ///< Drawn at each start.
    ProxyCore core_;
    CallerSessions callers_;
    BackendConnections backends_;
    PeerTransport peers_;
    std::unique_ptr<HttpServer> health_;
    boost::asio::steady_timer timer_;
    bool isPerformingActions_ = false;
    bool isDraining_ = false;
    std::vector<VmId> controlVms_;
    VmId controlVm_; ///< The control VM that reports go to.
    bool hasLeader_ = false;
    std::vector<VmId> peerEntries_; ///< Entries to ask while control is silent.
    std::size_t nextPeerEntry_ = 0;
    Instant lastPeerRequestAt_ {};
    std::size_t nextControlVm_ = 0;
    Instant lastLeaderUpdateAt_ {};
    std::optional<Instant> unansweredReportSince_; ///< The first report that the leader has not answered.
    Instant lastControlAttemptAt_ {};
    Instant lastReportAt_ {};
    Instant lastSettingsReadAt_ {};
    Duration reportInterval_;
    std::uint64_t sequence_ = 0;
    Term leaderTerm_ = 0;
};

} // namespace daisyrelay
