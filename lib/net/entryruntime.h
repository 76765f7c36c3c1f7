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
        std::function<void(RespondToCaller)> answer;
        std::function<void(VmId, PeerPayload)> sendPeer;
        std::function<void(RelayAction)> backend; ///< Connect, disconnect, send and watch.
        std::function<void(ConfigChangeAnswer)> configAnswer;
        std::function<void(std::uint64_t, std::string)> configInForce;
        std::function<void(bool)> ready;
        std::function<void(BackendAnnouncement)> announce; ///< Spreads an announcement heard here.
    };

    EntryRuntime(Duty &duty, const Settings &settings, Counters &counters, Hooks hooks);

    void start();
    void onCaller(const CallerRequest &request);
    void onMessage(const PeerMessage &message);
    void onPeerUnreachable(const VmId &vm);
    void onConnectionOpened(ConnectionId connection);
    void onConnectionClosed(ConnectionId connection);
    void onBackendReply(const BackendResponse &reply);
    void onReplicaPoint(const BackendId &backend, std::optional<LogPoint> point);

    /// A backend server announced itself to this VM.
    void onAnnounced(const BackendAnnouncement &announcement);

    void onConfigChange(const ConfigChangeRequest &request);
    void drain();
    [[nodiscard]] bool idle() const;
    [[nodiscard]] boost::json::object status() const;

private:
    struct PendingChange {
        ConfigChangeRequest request;
        std::size_t nextControl = 0;
        Instant deadline {};
        Instant retryAt {};
    };

    void tick();
    void renewLease();
    void flush();
    void onGrant(const VmId &from, const LeaseGrant &grant);
    void onConfigAnswer(const ConfigChangeAnswer &answer);
    void sendChange(PendingChange &pending);

    Duty &duty_;
    Settings settings_;
    Counters &counters_;
    Hooks hooks_;
    std::vector<VmId> controlVms_;
    RelayCore relay_;
    LeaseHolder lease_;
    Configuration configuration_;
    std::map<std::uint64_t, PendingChange> changes_;
};

} // namespace daisyrelay
