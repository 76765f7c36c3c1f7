// Requests of operators and backend servers. Each gets one response; a change gets it after the commit.
#include "daisyrelay/supervision/supervisor.h"

#include <algorithm>

namespace daisyrelay {

void Supervisor::onRequest(Instant now, std::uint64_t requestId, const ControlRequest &controlRequest)
{
    std::visit([&](const auto &typedRequest) { handleRequest(now, requestId, typedRequest); }, controlRequest);
}

void Supervisor::handleRequest(Instant now, std::uint64_t requestId, const PutConfiguration &change)
{
    const std::uint64_t current = state_.configuration().version;
    log_.log(now, "config.put",
        { { "version", change.configuration.version }, { "current", current }, { "request", requestId } });
    if (change.configuration.version <= current) {
        respond(requestId, ControlStatus::Done);
        return;
    }
    const bool isProposed
        = std::any_of(pendingRequests_.begin(), pendingRequests_.end(), [&change](const PendingRequest &pending) {
              const auto *other = std::get_if<PutConfiguration>(&pending.request);
              return other != nullptr && other->configuration.version == change.configuration.version;
          });
    if (!isProposed) {
        propose(change);
    }
    addPendingRequest(now, requestId, change);
}

void Supervisor::handleRequest(Instant /*now*/, std::uint64_t requestId, const ReadConfiguration & /*read*/)
{
    if (state_.configuration().version == 0) {
        respond(requestId, ControlStatus::NotFound);
        return;
    }
    respond(requestId, ControlStatus::Done, state_.configurationSource());
}

void Supervisor::handleRequest(Instant now, std::uint64_t requestId, const BackendHeartbeat &heartbeat)
{
    const BackendRecord &record = heartbeat.record;
    const auto order = std::pair(record.startedAtMs, heartbeat.sequence);
    auto &lastOrder = lastHeartbeat_[record.id];
    if (state_.isOutdated(record) || order < lastOrder) {
        metrics_.add("heartbeats_outdated_total");
        log_.log(now, "heartbeat.outdated",
            { { "backend", std::string_view(record.id.value) }, { "born_ms", record.startedAtMs },
                { "sequence", heartbeat.sequence } });
        respond(requestId, ControlStatus::Done);
        return;
    }
    lastOrder = order;
    lastHeartbeatAt_[record.id] = now;
    if (isCompleted(heartbeat)) {
        respond(requestId, ControlStatus::Done);
        return;
    }
    propose(RecordBackend { record });
    addPendingRequest(now, requestId, heartbeat);
}

void Supervisor::handleRequest(Instant now, std::uint64_t requestId, const BackendLeave &leave)
{
    const BackendRecord *known = state_.find(leave.backend);
    if (known == nullptr || (leave.startedAtMs != 0 && known->startedAtMs > leave.startedAtMs)) {
        respond(requestId, ControlStatus::Done);
        return;
    }
    BackendLeave resolved = leave;
    resolved.startedAtMs = known->startedAtMs;
    propose(RemoveBackend { resolved.backend, resolved.startedAtMs });
    addPendingRequest(now, requestId, resolved);
}

bool Supervisor::isCompleted(const ControlRequest &controlRequest) const
{
    if (const auto *change = std::get_if<PutConfiguration>(&controlRequest); change != nullptr) {
        return state_.configuration().version >= change->configuration.version;
    }
    if (const auto *heartbeat = std::get_if<BackendHeartbeat>(&controlRequest); heartbeat != nullptr) {
        const BackendRecord &record = heartbeat->record;
        // A server may shut down once its draining is acknowledged, so the update to the entries is sent first.
        if (record.isDraining && isPushDue_) {
            return false;
        }
        const BackendRecord *known = state_.find(record.id);
        if (known == nullptr || known->startedAtMs < record.startedAtMs) {
            return state_.isOutdated(record);
        }
        BackendRecord expected = record;
        expected.isDraining = expected.isDraining || known->isDraining;
        return *known == expected;
    }
    if (const auto *leave = std::get_if<BackendLeave>(&controlRequest); leave != nullptr) {
        const BackendRecord *known = state_.find(leave->backend);
        return known == nullptr || known->startedAtMs > leave->startedAtMs;
    }
    return true;
}

void Supervisor::addPendingRequest(Instant now, std::uint64_t requestId, ControlRequest controlRequest)
{
    pendingRequests_.push_back({ requestId, now + timing_.commitTimeout, std::move(controlRequest) });
}

void Supervisor::respond(std::uint64_t requestId, ControlStatus status, std::string body)
{
    actions_.emplace_back(SendControlResponse { requestId, { status, std::move(body), {} } });
}

void Supervisor::respondToCompleted(Instant now)
{
    std::erase_if(pendingRequests_, [this, now](const PendingRequest &pending) {
        const bool isComplete = isCompleted(pending.request);
        if (!isComplete && now < pending.deadline) {
            return false;
        }
        if (!isComplete) {
            metrics_.add("control_requests_unanswered_total");
            log_.log(now, "control.unanswered", { { "request", pending.requestId } });
        }
        respond(pending.requestId, isComplete ? ControlStatus::Done : ControlStatus::Unavailable);
        return true;
    });
}

void Supervisor::failPendingRequests()
{
    for (const PendingRequest &pending : pendingRequests_) {
        respond(pending.requestId, ControlStatus::Unavailable);
    }
    pendingRequests_.clear();
}

} // namespace daisyrelay
