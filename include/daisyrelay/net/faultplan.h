// Faults that a measurement asks for; they stand in for a network that fails between availability zones.
#pragma once

#include "daisyrelay/base.h"

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace daisyrelay {

/// The ways in which messages between two zones can be lost.
struct NetworkFaults {
    std::set<ZoneId> blockedZones; ///< Nothing passes between this VM and these zones.
    bool blockIncoming = true;
    bool blockOutgoing = true;
    unsigned lossPercent = 0; ///< Of the datagrams that this VM sends.
};

/// Shared by the duties; without a plan nothing is lost.
class FaultInjector
{
public:
    void set(NetworkFaults faults);

    /// Remembers where a VM or a host belongs.
    void recordZone(const VmId &vm, const ZoneId &zone);
    void recordZone(const std::string &host, const ZoneId &zone);

    [[nodiscard]] bool blocksIncoming(const VmId &vm) const;
    [[nodiscard]] bool blocksOutgoing(const VmId &vm) const;
    [[nodiscard]] bool blocksIncoming(const std::string &host) const;
    [[nodiscard]] bool blocksOutgoing(const std::string &host) const;

    /// Draws whether the next datagram is lost.
    bool shouldDropDatagram();

private:
    mutable std::mutex mutex_; ///< Guards everything.
    NetworkFaults faults_;
    std::map<VmId, ZoneId> zoneOfVm_;
    std::map<std::string, ZoneId> zoneOfHost_;
    std::minstd_rand random_;
};

} // namespace daisyrelay
