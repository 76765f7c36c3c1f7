// The entry role of a process, which serves callers.
#pragma once

#include "backendconnections.h"
#include "callersessions.h"
#include "nodecontext.h"
#include "peertransport.h"

namespace daisyrelay {

/// Connects the proxy core to callers, backend servers, other entries and the control VMs.
class EntryNode : public NodeRole
{
public:
    explicit EntryNode(NodeContext &context);

    Expected<void> start() override;
    void onSettingsChanged() override;
    void drain() override;

private:
    PeerTransport::Hooks peerHooks();
    CallerSessions::Hooks callerHooks();
    BackendConnections::Hooks backendHooks();
    void onPeerMessage(const VmId &from, ClusterPayload payload);
    void onLeaderUpdate(const VmId &from, const EntryUpdate &update);
    void performActions();
    void sendToEntry(SendToEntry outgoing);
    void scheduleTick();
    void tick();
    /// Stops listening. \returns whether nothing is left to read or to send, or the time for it is over.
    bool hasEnded(Instant now);
    /// Reports what the end of the process leaves without a response.
    void reportDrainEnd(Instant now);
    /// Sends the state of this entry to the control VM in use.
    void sendReport(Instant now);
    /// Requests the topology from another entry, which may already have the new primary while no control VM is
    /// reachable.
    void requestPeerUpdate(Instant now);
    /// Switches to the next control VM if the leader is unknown or does not respond.
    void selectControlVm(Instant now);
    void handleHealthRequest(const HttpRequest &request, const HttpResponseCallback &respond);

    NodeContext &context_;
    std::uint64_t runId_; ///< Random number that identifies this run of the process.
    ProxyCore core_;
    CallerSessions callers_;
    BackendConnections backends_;
    PeerTransport peers_;
    std::unique_ptr<HttpServer> healthServer_;
    boost::asio::steady_timer timer_;
    bool isPerformingActions_ = false;
    bool isFinished_ = false;
    std::optional<Instant> stoppedListeningAt_; ///< Set once no session was left in a drain.
    std::vector<VmId> controlVms_;
    VmId controlVm_; ///< Control VM that receives the reports.
    bool hasLeader_ = false;
    std::vector<VmId> peerEntries_; ///< Other entries, which are queried while no leader responds.
    std::size_t nextPeerEntry_ = 0;
    Instant lastPeerRequestAt_ {};
    std::size_t nextControlVm_ = 0;
    Instant lastLeaderUpdateAt_ {};
    std::optional<Instant> unacknowledgedReportSince_; ///< Time of the first report without a response.
    Instant lastControlAttemptAt_ {};
    Instant lastReportAt_ {};
    Instant lastSettingsReadAt_ {};
    Duration reportInterval_;
    std::uint64_t sequence_ = 0;
    Term leaderTerm_ = 0;
};

} // namespace daisyrelay
