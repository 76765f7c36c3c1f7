// The entry role of a VM: drives the relay core and the lease, and accepts the announcements of backend servers.
#pragma once

#include "daisyrelay/control.h"
#include "daisyrelay/net/eventloopthread.h"
#include "daisyrelay/relay.h"

#include <functional>
#include <map>
#include <string>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Must be used on the relay thread only.
class EntryRuntime
{
public:
    struct Hooks {
        std::function<void(RespondToCaller)> sendCallerResponse;
        std::function<void(VmId, PeerPayload)> sendToPeer;
        /// Connects, disconnects, sends a statement or polls a replica.
        std::function<void(RelayAction)> performBackendAction;
        std::function<void(ConfigChangeResponse)> sendConfigChangeResponse;
        std::function<void(std::uint64_t, std::string)> onConfigActivated;
        std::function<void(bool)> setReady;
        /// Sends an announcement that this VM received to all VMs.
        std::function<void(BackendAnnouncement)> disseminateAnnouncement;
    };

    EntryRuntime(EventLoopThread &thread, const Settings &settings, Counters &counters, Hooks hooks);

    void start();
    void onCallerRequest(const CallerRequest &request);
    void onMessage(const PeerMessage &message);
    void onPeerUnreachable(const VmId &vm);
    void onConnectionOpened(ConnectionId connection);
    void onConnectionClosed(ConnectionId connection);
    void onBackendResponse(const BackendStatementResponse &backendResponse);
    void onReplicaPoint(const BackendId &backend, std::optional<LogPoint> point);

    /// Accepts an announcement that a backend server sent to this VM.
    void onBackendAnnounced(const BackendAnnouncement &announcement);

    void onConfigChange(const ConfigChangeRequest &request);
    void drain();
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] boost::json::object status() const;

private:
    /// A configuration change that is sent to the control VMs in turn until one of them responds
    /// with an outcome other than NoQuorum.
    struct PendingConfigChange {
        ConfigChangeRequest request;
        std::size_t nextControlVm = 0;
        Instant deadline {};
        Instant nextAttemptAt {};
    };

    void tick();
    void renewLease();
    void flush();
    void onGrant(const VmId &from, const LeaseGrant &grant);
    void onConfigChangeResponse(const ConfigChangeResponse &response);
    void sendConfigChange(PendingConfigChange &pending);

    EventLoopThread &thread_;
    Settings settings_;
    Counters &counters_;
    Hooks hooks_;
    std::vector<VmId> controlVms_;
    RelayCore relay_;
    LeaseHolder lease_;
    Configuration configuration_;
    std::map<std::uint64_t, PendingConfigChange> pendingConfigChanges_;
};

} // namespace daisyrelay
