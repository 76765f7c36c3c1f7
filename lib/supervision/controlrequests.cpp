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
    const HeartbeatAdmission::Result admission = heartbeats_.admit(now, heartbeat, state_);
    BackendHeartbeat accepted = heartbeat;
    accepted.record.startedAtMs = admission.startedAtMs;
    if (admission.verdict != HeartbeatAdmission::Verdict::Accepted) {
        logRejected(now, heartbeat, admission.verdict);
        respond(requestId, ControlStatus::Done);
        return;
    }
    if (isCompleted(accepted)) {
        respond(requestId, ControlStatus::Done);
        return;
    }
    propose(RecordBackend { accepted.record });
    addPendingRequest(now, requestId, std::move(accepted));
}

void Supervisor::logRejected(Instant now, const BackendHeartbeat &heartbeat, HeartbeatAdmission::Verdict verdict)
{
    const BackendRecord &record = heartbeat.record;
    std::string_view event = "heartbeat.outdated";
    if (verdict == HeartbeatAdmission::Verdict::Conflicting) {
        event = "heartbeat.conflicting";
    } else if (verdict == HeartbeatAdmission::Verdict::UnknownService) {
        event = "heartbeat.unknown-service";
    }
    metrics_.add(
        verdict == HeartbeatAdmission::Verdict::Outdated ? "heartbeats_outdated_total" : "heartbeats_unusable_total");
    log_.log(now, event,
        { { "backend", std::string_view(record.id.value) }, { "service", std::string_view(record.service.value) },
            { "host", std::string_view(record.host) }, { "born_ms", record.startedAtMs },
            { "sequence", heartbeat.sequence } });
}

void Supervisor::handleRequest(Instant now, std::uint64_t requestId, const BackendLeave &leave)
{
    const BackendRecord *known = state_.find(leave.backend);
    const std::int64_t startedAtMs = heartbeats_.recordedStart(leave.backend, leave.startedAtMs);
    if (known == nullptr || (leave.startedAtMs != 0 && known->startedAtMs > startedAtMs)) {
        respond(requestId, ControlStatus::Done);
        return;
    }
    const auto monitor = monitors_.find(known->service);
    if (monitor != monitors_.end() && monitor->second.mayNeedReplica(now, context(), known->id)) {
        metrics_.add("leaves_refused_total");
        log_.log(now, "backend.leave-refused",
            { { "backend", std::string_view(known->id.value) },
                { "service", std::string_view(known->service.value) } });
        respond(requestId, ControlStatus::Unavailable);
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
