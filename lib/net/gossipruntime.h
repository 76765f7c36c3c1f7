// The membership part of the peer duty: drives the gossip core and its socket.
#pragma once

#include "daisyrelay/membership.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/net/faultplan.h"

#include "gossiptransport.h"

#include <functional>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace daisyrelay {

/// Lives on the peer thread.
class GossipRuntime
{
public:
    struct Hooks {
        std::function<void(const VmId &to, MembershipSync sync)> sendSync;
        std::function<void(const MemberRecord &record)> onMemberChanged;
        std::function<void(const VmId &vm)> onMemberForgotten;
        std::function<void(const BackendAnnouncement &announcement)> onBackendAnnounced;
    };

    GossipRuntime(
        EventLoopThread &thread, const Settings &settings, Counters &counters, FaultInjector &faults, Hooks hooks);

    Expected<void> listen();
    void start();

    void announceBackend(const BackendAnnouncement &announcement);
    void onSync(const VmId &from, const MembershipSync &sync);
    void onPeerUnreachable(const VmId &vm);
    void setConfigVersion(std::uint64_t version);
    void startDraining();
    void leave();

    /// Adds members, digests and warnings of duplicate ids to a status.
    void addStatus(boost::json::object &status) const;

private:
    void onMessage(const GossipMessage &message);
    void flush();
    void handleMemberChange(const MemberRecord &record);

    EventLoopThread &thread_;
    Settings settings_;
    FaultInjector &faults_;
    Hooks hooks_;
    GossipCore core_;
    GossipTransport transport_;
};

} // namespace daisyrelay
