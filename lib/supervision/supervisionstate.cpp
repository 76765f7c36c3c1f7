#include "daisyrelay/supervision/supervisionstate.h"

#include <algorithm>

namespace daisyrelay {

/// Number of ended incarnations that are remembered, so that a late heartbeat does not restore any of them.
static constexpr std::size_t MaxRemovedBackends = 256;

bool SupervisionState::apply(std::uint64_t index, const SupervisionCommand &command)
{
    return std::visit([this, index](const auto &typedCommand) { return applyCommand(index, typedCommand); }, command);
}

bool SupervisionState::applyCommand(std::uint64_t /*index*/, const PutConfiguration &command)
{
    if (command.configuration.version <= configuration_.version) {
        return false;
    }
    configuration_ = command.configuration;
    configurationSource_ = command.source;
    return true;
}

bool SupervisionState::applyCommand(std::uint64_t index, const RecordBackend &command)
{
    BackendRecord record = command.record;
    if (isOutdated(record)) {
        return false;
    }
    const auto known = backends_.find(record.id);
    if (known != backends_.end() && known->second.startedAtMs == record.startedAtMs) {
        // A backend server that began to drain keeps draining until its process restarts.
        record.isDraining = record.isDraining || known->second.isDraining;
        if (record == known->second) {
            return false;
        }
    }
    // Only one backend server can run at an address, so any other server recorded there has ended.
    for (auto it = backends_.begin(); it != backends_.end();) {
        const BackendRecord &other = it->second;
        if (other.id != record.id && other.host == record.host && other.port == record.port) {
            recordRemoved(other);
            it = backends_.erase(it);
        } else {
            ++it;
        }
    }
    backends_[record.id] = record;
    topologyIndex_ = index;
    return true;
}

bool SupervisionState::applyCommand(std::uint64_t index, const RemoveBackend &command)
{
    const auto found = backends_.find(command.backend);
    if (found == backends_.end() || (command.startedAtMs != 0 && found->second.startedAtMs > command.startedAtMs)) {
        return false;
    }
    recordRemoved(found->second);
    backends_.erase(found);
    topologyIndex_ = index;
    return true;
}

bool SupervisionState::applyCommand(std::uint64_t index, const DecidePromotion &command)
{
    pendingPromotions_[command.service] = { command.service, command.backend, index };
    return false;
}

bool SupervisionState::applyCommand(std::uint64_t index, const RecordPrimary &command)
{
    if (command.isInDoubt) {
        pendingPromotions_[command.service] = { command.service, command.backend, index };
    } else {
        pendingPromotions_.erase(command.service);
    }
    PrimaryRecord &primary = primaries_[command.service];
    if (primary.backend == command.backend) {
        return false;
    }
    primary = { command.service, command.backend, index };
    topologyIndex_ = index;
    return true;
}

void SupervisionState::recordRemoved(const BackendRecord &removed)
{
    removed_.push_back(removed);
    if (removed_.size() > MaxRemovedBackends) {
        removed_.pop_front();
    }
}

bool SupervisionState::isOutdated(const BackendRecord &record) const
{
    const bool hasEnded = std::any_of(removed_.begin(), removed_.end(), [&record](const BackendRecord &removed) {
        return removed.id == record.id && removed.startedAtMs >= record.startedAtMs;
    });
    return hasEnded || std::any_of(backends_.begin(), backends_.end(), [&record](const auto &entry) {
        const BackendRecord &other = entry.second;
        const bool hasSameAddress = other.host == record.host && other.port == record.port;
        return other.id == record.id ? other.startedAtMs > record.startedAtMs
                                     : hasSameAddress && other.startedAtMs > record.startedAtMs;
    });
}

const RouteConfiguration &SupervisionState::configuration() const
{
    return configuration_;
}

const std::string &SupervisionState::configurationSource() const
{
    return configurationSource_;
}

const std::map<BackendId, BackendRecord> &SupervisionState::backends() const
{
    return backends_;
}

const std::map<ServiceId, PrimaryRecord> &SupervisionState::primaries() const
{
    return primaries_;
}

const BackendRecord *SupervisionState::find(const BackendId &backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

const PrimaryRecord *SupervisionState::primaryOf(const ServiceId &service) const
{
    const auto found = primaries_.find(service);
    return found == primaries_.end() ? nullptr : &found->second;
}

const PrimaryRecord *SupervisionState::pendingPromotionOf(const ServiceId &service) const
{
    const auto found = pendingPromotions_.find(service);
    return found == pendingPromotions_.end() ? nullptr : &found->second;
}

const ServiceLimits *SupervisionState::limitsOf(const ServiceId &service) const
{
    const auto found = std::find_if(configuration_.services.begin(), configuration_.services.end(),
        [&service](const ServiceLimits &limits) { return limits.service == service; });
    return found == configuration_.services.end() ? nullptr : &*found;
}

std::uint64_t SupervisionState::topologyIndex() const
{
    return topologyIndex_;
}

Topology SupervisionState::topology() const
{
    Topology topology;
    topology.index = topologyIndex_;
    for (const auto &[id, record] : backends_) {
        topology.backends.push_back(record);
    }
    for (const auto &[service, primary] : primaries_) {
        topology.primaries.push_back(primary);
    }
    return topology;
}

std::string SupervisionState::encode() const
{
    SupervisionSnapshot snapshot { configuration_, configurationSource_, topologyIndex_, {}, {}, {}, {} };
    const Topology current = topology();
    snapshot.backends = current.backends;
    snapshot.primaries = current.primaries;
    snapshot.removed.assign(removed_.begin(), removed_.end());
    for (const auto &[service, promotion] : pendingPromotions_) {
        snapshot.pendingPromotions.push_back(promotion);
    }
    return encodeSupervisionSnapshot(snapshot);
}

Expected<SupervisionState> SupervisionState::decode(std::string_view bytes)
{
    Expected<SupervisionSnapshot> snapshot = decodeSupervisionSnapshot(bytes);
    if (!snapshot) {
        return tl::unexpected(snapshot.error());
    }
    SupervisionState state;
    state.configuration_ = std::move(snapshot->configuration);
    state.configurationSource_ = std::move(snapshot->configurationSource);
    state.topologyIndex_ = snapshot->topologyIndex;
    for (BackendRecord &record : snapshot->backends) {
        state.backends_.emplace(record.id, std::move(record));
    }
    for (PrimaryRecord &primary : snapshot->primaries) {
        state.primaries_.emplace(primary.service, std::move(primary));
    }
    state.removed_.assign(snapshot->removed.begin(), snapshot->removed.end());
    for (PrimaryRecord &promotion : snapshot->pendingPromotions) {
        state.pendingPromotions_.emplace(promotion.service, std::move(promotion));
    }
    return state;
}

} // namespace daisyrelay
