#include "daisyrelay/supervision/supervisionstate.h"

#include <algorithm>
#include <limits>

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
    if (const BackendRecord *other = findAt(record.host, record.port); other != nullptr && other->id != record.id) {
        recordRemoved(index, *other);
        backends_.erase(BackendId(other->id));
    }
    if (known != backends_.end()) {
        idByAddress_.erase({ known->second.host, known->second.port });
    }
    recordAddress(record);
    changedAt_[record.id] = index;
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
    recordRemoved(index, found->second);
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

bool SupervisionState::applyCommand(std::uint64_t index, const RegisterLeaseHolder &command)
{
    leaseHolders_.apply(index, command);
    return false;
}

bool SupervisionState::applyCommand(std::uint64_t /*index*/, const RemoveLeaseHolder &command)
{
    leaseHolders_.apply(command);
    return false;
}

bool SupervisionState::applyCommand(std::uint64_t /*index*/, const ActivateFormat &command)
{
    if (command.version <= activeFormat_) {
        return false;
    }
    // Leaders of LeaseHolderFormat registered every entry before it got a lease. Without any record the table was not
    // in use, and former leaders may have granted leases to any entry.
    isLeaseHolderTableComplete_ = isLeaseHolderTableComplete_ || !leaseHolders_.records().empty() || isEmpty();
    activeFormat_ = command.version;
    return false;
}

bool SupervisionState::applyCommand(std::uint64_t /*index*/, const CompleteLeaseHolders & /*command*/)
{
    isLeaseHolderTableComplete_ = true;
    return false;
}

void SupervisionState::recordRemoved(std::uint64_t index, const BackendRecord &removed)
{
    removals_.emplace_back(index, removed.id);
    if (removals_.size() > MaxRemovedBackends) {
        removalsSince_ = removals_.front().first;
        removals_.pop_front();
    }
    if (const auto at = idByAddress_.find({ removed.host, removed.port });
        at != idByAddress_.end() && at->second == removed.id) {
        idByAddress_.erase(at);
    }
    changedAt_.erase(removed.id);
    removed_.push_back(removed);
    if (removed_.size() > MaxRemovedBackends) {
        removed_.pop_front();
    }
}

void SupervisionState::recordAddress(const BackendRecord &record)
{
    idByAddress_[{ record.host, record.port }] = record.id;
}

const BackendRecord *SupervisionState::findAt(const std::string &host, std::uint16_t port) const
{
    const auto found = idByAddress_.find({ host, port });
    return found == idByAddress_.end() ? nullptr : find(found->second);
}

bool SupervisionState::isOutdated(const BackendRecord &record) const
{
    const bool hasEnded = std::any_of(removed_.begin(), removed_.end(), [&record](const BackendRecord &removed) {
        return removed.id == record.id && removed.startedAtMs >= record.startedAtMs;
    });
    const BackendRecord *known = find(record.id);
    const BackendRecord *atAddress = findAt(record.host, record.port);
    return hasEnded || (known != nullptr && known->startedAtMs > record.startedAtMs)
        || (atAddress != nullptr && atAddress->id != record.id && atAddress->startedAtMs > record.startedAtMs);
}

std::int64_t SupervisionState::nextStartOf(const BackendRecord &record) const
{
    const auto after = [](std::int64_t startedAtMs) {
        return startedAtMs == std::numeric_limits<std::int64_t>::max() ? startedAtMs : startedAtMs + 1;
    };
    std::int64_t start = record.startedAtMs;
    for (const BackendRecord &removed : removed_) {
        start = removed.id == record.id ? std::max(start, after(removed.startedAtMs)) : start;
    }
    if (const BackendRecord *known = find(record.id); known != nullptr && known->startedAtMs >= record.startedAtMs) {
        start = std::max(start, after(known->startedAtMs));
    }
    const BackendRecord *atAddress = findAt(record.host, record.port);
    return atAddress == nullptr ? start : std::max(start, atAddress->startedAtMs);
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

const std::map<ServiceId, PrimaryRecord> &SupervisionState::pendingPromotions() const
{
    return pendingPromotions_;
}

const LeaseHolderTable &SupervisionState::leaseHolders() const
{
    return leaseHolders_;
}

FormatVersion SupervisionState::activeFormat() const
{
    return activeFormat_;
}

bool SupervisionState::areLeaseHoldersComplete() const
{
    return activeFormat_ >= LeaseHolderFormat ? isLeaseHolderTableComplete_ : !leaseHolders_.records().empty();
}

bool SupervisionState::registersLeaseHolders() const
{
    return activeFormat_ >= LeaseHolderFormat || !leaseHolders_.records().empty();
}

bool SupervisionState::isEmpty() const
{
    return configuration_.version == 0 && topologyIndex_ == 0 && leaseHolders_.records().empty();
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

Topology SupervisionState::changesSince(std::uint64_t index, std::size_t maxChanges) const
{
    // An entry without any topology has nothing that could have been removed.
    if (index != 0 && index < removalsSince_) {
        return topology();
    }
    std::vector<std::uint64_t> changes;
    for (const auto &[id, changedAt] : changedAt_) {
        if (changedAt > index) {
            changes.push_back(changedAt);
        }
    }
    for (const auto &[service, primary] : primaries_) {
        if (primary.generation > index) {
            changes.push_back(primary.generation);
        }
    }
    Topology part;
    part.index = topologyIndex_;
    part.baseIndex = std::max<std::uint64_t>(index, 1);
    if (changes.size() > maxChanges) {
        const auto last = changes.begin() + static_cast<std::ptrdiff_t>(maxChanges) - 1;
        std::nth_element(changes.begin(), last, changes.end());
        part.index = *last;
    }
    const auto isIncluded = [&](std::uint64_t changedAt) { return changedAt > index && changedAt <= part.index; };
    for (const auto &[id, changedAt] : changedAt_) {
        if (isIncluded(changedAt)) {
            part.backends.push_back(backends_.at(id));
        }
    }
    for (const auto &[service, primary] : primaries_) {
        if (isIncluded(primary.generation)) {
            part.primaries.push_back(primary);
        }
    }
    for (const auto &[changedAt, id] : removals_) {
        if (isIncluded(changedAt) && !backends_.contains(id)) {
            part.removed.push_back(id);
        }
    }
    return part;
}

std::string SupervisionState::encode() const
{
    SupervisionSnapshot snapshot;
    snapshot.configuration = configuration_;
    snapshot.configurationSource = configurationSource_;
    snapshot.topologyIndex = topologyIndex_;
    snapshot.activeFormat = activeFormat_;
    snapshot.areLeaseHoldersComplete = isLeaseHolderTableComplete_;
    const Topology current = topology();
    snapshot.backends = current.backends;
    snapshot.primaries = current.primaries;
    snapshot.removed.assign(removed_.begin(), removed_.end());
    for (const auto &[service, promotion] : pendingPromotions_) {
        snapshot.pendingPromotions.push_back(promotion);
    }
    snapshot.leaseHolders = leaseHolders_.snapshot();
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
        state.recordAddress(record);
        state.changedAt_[record.id] = state.topologyIndex_;
        state.backends_.emplace(record.id, std::move(record));
    }
    for (PrimaryRecord &primary : snapshot->primaries) {
        state.primaries_.emplace(primary.service, std::move(primary));
    }
    state.removalsSince_ = state.topologyIndex_;
    state.removed_.assign(snapshot->removed.begin(), snapshot->removed.end());
    for (PrimaryRecord &promotion : snapshot->pendingPromotions) {
        state.pendingPromotions_.emplace(promotion.service, std::move(promotion));
    }
    state.leaseHolders_.restore(snapshot->leaseHolders);
    state.activeFormat_ = snapshot->activeFormat;
    state.isLeaseHolderTableComplete_ = snapshot->areLeaseHoldersComplete;
    return state;
}

} // namespace daisyrelay
