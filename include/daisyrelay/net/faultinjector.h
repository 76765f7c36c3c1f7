// Fault injection for measurements: simulates network failures between availability zones.
#pragma once

#include "daisyrelay/base.h"

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace daisyrelay {

/// The network faults that one VM simulates.
struct NetworkFaults {
    std::set<ZoneId> blockedZones; ///< Messages between this VM and these zones are dropped.
    bool shouldBlockIncoming = true; ///< Whether messages from the blocked zones are dropped.
    bool shouldBlockOutgoing = true; ///< Whether messages to the blocked zones are dropped.
    unsigned lossPercent = 0; ///< Percentage of outgoing datagrams that are dropped.
};

/// Thread-safe. Without faults no message is dropped.
class FaultInjector
{
public:
    void set(NetworkFaults faults);

    /// Records the zone of a VM or host; those without a zone are never blocked.
    void recordZone(const VmId &vm, const ZoneId &zone);
    void recordZone(const std::string &host, const ZoneId &zone);

    [[nodiscard]] bool blocksIncoming(const VmId &vm) const;
    [[nodiscard]] bool blocksOutgoing(const VmId &vm) const;
    [[nodiscard]] bool blocksIncoming(const std::string &host) const;
    [[nodiscard]] bool blocksOutgoing(const std::string &host) const;

    /// Decides at random whether to drop the next outgoing datagram.
    bool shouldDropDatagram();

private:
    mutable std::mutex mutex_; ///< Guards all members.
    NetworkFaults faults_;
    std::map<VmId, ZoneId> zoneOfVm_;
    std::map<std::string, ZoneId> zoneOfHost_;
    std::minstd_rand random_;
};

} // namespace daisyrelay
