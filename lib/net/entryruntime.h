// The relay duty of an entry: drives the relay core, the the lease and the announcements heard here.
#pragma once

#include "daisyrelay/control.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/relay.h"

#include <functional>
#include <map>
#include <string>

#include <boost/json/object.hpp>

namespace daisyrelay {

/// Lives on the relay thread.
class EntryRuntime
{
public:
    struct Hooks {
        std::function<void(RespondToCaller)> sendCallerResponse;
        std::function<void(VmId, PeerPayload)> sendToPeer;
        std::function<void(RelayAction)> performBackendAction; ///< Connect, disconnect, send and watch.
        std::function<void(ConfigChangeResponse)> sendConfigChangeResponse;
        std::function<void(std::uint64_t, std::string)> onConfigActivated;
        std::function<void(bool)> setReady;
        std::function<void(BackendAnnouncement)> disseminateAnnouncement; ///< Spreads an announcement heard here.
    };

    EntryRuntime(EventLoopThread &thread, const Settings &settings, Counters &counters, Hooks hooks);

    void start();
    void onCallerRequest(const CallerRequest &request);
    void onMessage(const PeerMessage &message);
    void onPeerUnreachable(const VmId &vm);
    void onConnectionOpened(ConnectionId connection);
    void onConnectionClosed(ConnectionId connection);
    void onBackendReply(const BackendStatementResponse &backendResponse);
    void onReplicaPoint(const BackendId &backend, std::optional<LogPoint> point);

    /// A backend server announced itself to this VM.
    void onBackendAnnounced(const BackendAnnouncement &announcement);

    void onConfigChange(const ConfigChangeRequest &request);
    void drain();
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] boost::json::object status() const;

private:
    struct PendingConfigChange {
        ConfigChangeRequest request;
        std::size_t nextControlVm = 0;
        Instant deadline {};
        Instant retryAt {};
    };

    void tick();
    void renewLease();
    void flush();
    void onGrant(const VmId &from, const LeaseGrant &grant);
    void onConfigChangeResponse(const ConfigChangeResponse &answer);
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
