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
    std::set<ZoneId> cutZones; ///< Nothing passes between this VM and these zones.
    bool cutIn = true;
    bool cutOut = true;
    unsigned lossPercent = 0; ///< Of the datagrams that this VM sends.
};

/// Shared by the duties; without a plan nothing is lost.
class FaultPlan
{
public:
    void set(NetworkFaults faults);

    /// Remembers where a VM or a host belongs.
    void learn(const VmId &vm, const ZoneId &zone);
    void learn(const std::string &host, const ZoneId &zone);

    [[nodiscard]] bool cutsIn(const VmId &vm) const;
    [[nodiscard]] bool cutsOut(const VmId &vm) const;
    [[nodiscard]] bool cutsIn(const std::string &host) const;
    [[nodiscard]] bool cutsOut(const std::string &host) const;

    /// Draws whether the next datagram is lost.
    bool losesDatagram();

private:
    mutable std::mutex mutex_; ///< Guards everything.
    NetworkFaults faults_;
    std::map<VmId, ZoneId> zoneOfVm_;
    std::map<std::string, ZoneId> zoneOfHost_;
    std::minstd_rand random_;
};

} // namespace daisyrelay
