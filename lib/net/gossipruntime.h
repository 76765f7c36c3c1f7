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
        std::function<void(const MemberRecord &record)> memberChanged;
        std::function<void(const VmId &vm)> memberForgotten;
        std::function<void(const BackendAnnouncement &announcement)> backendHeard;
    };

    GossipRuntime(Duty &duty, const Settings &settings, Counters &counters, FaultPlan &faults, Hooks hooks);

    Expected<void> listen();
    void start();

    void hear(const BackendAnnouncement &announcement);
    void onSync(const VmId &from, const MembershipSync &sync);
    void onDoubt(const VmId &vm);
    void setConfigVersion(std::uint64_t version);
    void startDraining();
    void leave();

    /// Adds members, digests and warnings of duplicate ids to a status.
    void describe(boost::json::object &status) const;

private:
    void onMessage(const GossipMessage &message);
    void flush();
    void onMemberChanged(const MemberRecord &record);

    Duty &duty_;
    Settings settings_;
    FaultPlan &faults_;
    Hooks hooks_;
    GossipCore core_;
    GossipTransport transport_;
};

} // namespace daisyrelay
