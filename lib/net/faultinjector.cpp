#include "daisyrelay/net/faultinjector.h"

namespace daisyrelay {

static constexpr unsigned PercentRange = 100;

template <typename Key>
static bool isZoneListed(const std::map<Key, ZoneId> &zoneByKey, const Key &key, const std::set<ZoneId> &listedZones)
{
    const auto zone = zoneByKey.find(key);
    return zone != zoneByKey.end() && listedZones.contains(zone->second);
}

void FaultInjector::set(NetworkFaults faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = std::move(faults);
}

void FaultInjector::recordZone(const VmId &vm, const ZoneId &zone)
{
    const std::lock_guard lock(mutex_);
    zoneOfVm_[vm] = zone;
}

void FaultInjector::recordZone(const std::string &host, const ZoneId &zone)
{
    const std::lock_guard lock(mutex_);
    zoneOfHost_[host] = zone;
}

bool FaultInjector::blocksIncoming(const VmId &vm) const
{
    const std::lock_guard lock(mutex_);
    return faults_.shouldBlockIncoming && isZoneListed(zoneOfVm_, vm, faults_.blockedZones);
}

bool FaultInjector::blocksOutgoing(const VmId &vm) const
{
    const std::lock_guard lock(mutex_);
    return faults_.shouldBlockOutgoing && isZoneListed(zoneOfVm_, vm, faults_.blockedZones);
}

bool FaultInjector::blocksIncoming(const std::string &host) const
{
    const std::lock_guard lock(mutex_);
    return faults_.shouldBlockIncoming && isZoneListed(zoneOfHost_, host, faults_.blockedZones);
}

bool FaultInjector::blocksOutgoing(const std::string &host) const
{
    const std::lock_guard lock(mutex_);
    return faults_.shouldBlockOutgoing && isZoneListed(zoneOfHost_, host, faults_.blockedZones);
}

bool FaultInjector::shouldDropDatagram()
{
    const std::lock_guard lock(mutex_);
    return faults_.lossPercent > 0 && random_() % PercentRange < faults_.lossPercent;
}

} // namespace daisyrelay
