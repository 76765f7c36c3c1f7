#include "daisyrelay/net/faultplan.h"

namespace daisyrelay {

static constexpr unsigned WholePercent = 100;

template <typename Key>
static bool isIn(const std::map<Key, ZoneId> &zones, const Key &key, const std::set<ZoneId> &cut)
{
    const auto zone = zones.find(key);
    return zone != zones.end() && cut.contains(zone->second);
}

void FaultPlan::set(NetworkFaults faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = std::move(faults);
}

void FaultPlan::learn(const VmId &vm, const ZoneId &zone)
{
    const std::lock_guard lock(mutex_);
    zoneOfVm_[vm] = zone;
}

void FaultPlan::learn(const std::string &host, const ZoneId &zone)
{
    const std::lock_guard lock(mutex_);
    zoneOfHost_[host] = zone;
}

bool FaultPlan::cutsIn(const VmId &vm) const
{
    const std::lock_guard lock(mutex_);
    return faults_.cutIn && isIn(zoneOfVm_, vm, faults_.cutZones);
}

bool FaultPlan::cutsOut(const VmId &vm) const
{
    const std::lock_guard lock(mutex_);
    return faults_.cutOut && isIn(zoneOfVm_, vm, faults_.cutZones);
}

bool FaultPlan::cutsIn(const std::string &host) const
{
    const std::lock_guard lock(mutex_);
    return faults_.cutIn && isIn(zoneOfHost_, host, faults_.cutZones);
}

bool FaultPlan::cutsOut(const std::string &host) const
{
    const std::lock_guard lock(mutex_);
    return faults_.cutOut && isIn(zoneOfHost_, host, faults_.cutZones);
}

bool FaultPlan::losesDatagram()
{
    const std::lock_guard lock(mutex_);
    return faults_.lossPercent > 0 && random_() % WholePercent < faults_.lossPercent;
}

} // namespace daisyrelay
