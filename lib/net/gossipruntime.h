// Drives the gossip core and its socket.
#pragma once

#include "daisyrelay/membership.h"
#include "daisyrelay/net/eventloopthread.h"
#include "daisyrelay/net/faultinjector.h"

#include "gossiptransport.h"

#include <functional>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace daisyrelay {

/// Must be used on the peer thread only.
class GossipRuntime
{
public:
    struct Hooks {
        std::function<void(const VmId &to, MembershipSync sync)> sendSync;
        std::function<void(const MemberRecord &record)> onMemberChanged;
        std::function<void(const VmId &vm)> onMemberRemoved;
        std::function<void(const BackendAnnouncement &announcement)> onBackendAnnounced;
    };

    GossipRuntime(
        EventLoopThread &thread, const Settings &settings, Counters &counters, FaultInjector &faults, Hooks hooks);

    Expected<void> listen();
    void start();

    /// Disseminates an announcement that this VM received.
    void announceBackend(const BackendAnnouncement &announcement);
    void onSync(const VmId &from, const MembershipSync &sync);
    /// Makes the gossip core check a VM whose connection broke.
    void onPeerUnreachable(const VmId &vm);
    void setConfigVersion(std::uint64_t version);
    void startDraining();
    /// Notifies the other VMs that this VM leaves the membership.
    void leave();

    /// Adds members, digests and duplicate backend ids to \p status.
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
