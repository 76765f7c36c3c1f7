#include "daisyrelay/supervision/heartbeatadmission.h"

#include <algorithm>

namespace daisyrelay {

HeartbeatAdmission::HeartbeatAdmission(SupervisionTiming timing) : timing_(timing)
{
}

void HeartbeatAdmission::reset(Instant now)
{
    startedAt_ = now;
    lastHeartbeatAt_.clear();
    lastOrder_.clear();
    rejected_.clear();
    raisedStarts_.clear();
}

bool HeartbeatAdmission::isAlive(Instant now, const BackendId &backend) const
{
    const auto last = lastHeartbeatAt_.find(backend);
    return now - (last == lastHeartbeatAt_.end() ? startedAt_ : last->second) < timing_.displacementDelay;
}

static bool hasMoved(const BackendRecord *known, const BackendRecord &record)
{
    return known != nullptr
        && (known->service != record.service || known->host != record.host || known->port != record.port);
}

bool HeartbeatAdmission::isConflicting(Instant now, const BackendRecord &record, const SupervisionState &state) const
{
    if (hasMoved(state.find(record.id), record) && isAlive(now, record.id)) {
        return true;
    }
    const BackendRecord *atAddress = state.findAt(record.host, record.port);
    return atAddress != nullptr && atAddress->id != record.id && isAlive(now, atAddress->id);
}

// A server sends its heartbeats again and again. Those of a process that has ended, which were delayed on their way, do
// not go on for this long.
bool HeartbeatAdmission::recordRejected(Instant now, const BackendHeartbeat &heartbeat)
{
    RejectedRun &run = rejected_[heartbeat.record.id];
    if (run.count == 0 || run.startedAtMs != heartbeat.record.startedAtMs || heartbeat.sequence < run.sequence) {
        run = { heartbeat.record.startedAtMs, heartbeat.sequence, 1, now };
        return false;
    }
    if (heartbeat.sequence == run.sequence) {
        return false; // Sent again.
    }
    run.sequence = heartbeat.sequence;
    ++run.count;
    constexpr std::uint32_t MinHeartbeats = 4;
    return run.count >= MinHeartbeats && now - run.firstAt >= timing_.proofOfLifeTime;
}

std::int64_t HeartbeatAdmission::recordedStart(const BackendId &backend, std::int64_t startedAtMs) const
{
    const auto raised = raisedStarts_.find(backend);
    return raised != raisedStarts_.end() && raised->second.reported == startedAtMs ? raised->second.recorded
                                                                                   : startedAtMs;
}

HeartbeatAdmission::Result HeartbeatAdmission::admit(
    Instant now, const BackendHeartbeat &heartbeat, const SupervisionState &state)
{
    BackendRecord record = heartbeat.record;
    record.startedAtMs = recordedStart(record.id, record.startedAtMs);
    const BackendRecord *known = state.find(record.id);
    const bool isConfigured = state.configuration().version == 0 || state.limitsOf(record.service) != nullptr
        || (known != nullptr && known->service == record.service);
    if (!isConfigured) {
        return { Verdict::UnknownService, record.startedAtMs };
    }
    const auto order = lastOrder_.find(record.id);
    const std::pair newOrder(record.startedAtMs, heartbeat.sequence);
    // A server keeps its service and address until it restarts, so that one of two records with the same start is
    // wrong.
    const bool isSecondOfStart
        = hasMoved(known, record) && record.startedAtMs != 0 && known->startedAtMs == record.startedAtMs;
    const bool isOutdated = state.isOutdated(record) || (order != lastOrder_.end() && newOrder < order->second);
    const bool needsProof = isOutdated || isSecondOfStart;
    if (needsProof && (!recordRejected(now, heartbeat) || isAlive(now, record.id))) {
        return { isOutdated ? Verdict::Outdated : Verdict::Conflicting, record.startedAtMs };
    }
    if (isConflicting(now, record, state)) {
        return { Verdict::Conflicting, record.startedAtMs };
    }
    if (needsProof) {
        record.startedAtMs = state.nextStartOf(record);
        raisedStarts_[record.id] = { heartbeat.record.startedAtMs, record.startedAtMs };
    }
    rejected_.erase(record.id);
    lastOrder_[record.id] = { record.startedAtMs, heartbeat.sequence };
    lastHeartbeatAt_[record.id] = now;
    return { Verdict::Accepted, record.startedAtMs };
}

void HeartbeatAdmission::recordAnswered(
    Instant now, const BackendId &backend, std::int64_t startedAtMs, std::uint64_t sequence, Duration age)
{
    auto &order = lastOrder_[backend];
    order = std::max(order, std::pair(startedAtMs, sequence));
    Instant &lastHeartbeatAt = lastHeartbeatAt_[backend];
    lastHeartbeatAt = std::max(lastHeartbeatAt, now - age);
}

const std::map<BackendId, Instant> &HeartbeatAdmission::lastHeartbeatAt() const
{
    return lastHeartbeatAt_;
}

} // namespace daisyrelay
