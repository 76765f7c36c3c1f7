// The requests of operators and backend servers: each is answered once, a change only after it is committed.
#include "daisyrelay/supervision/supervisor.h"

#include <algorithm>

namespace daisyrelay {

void Supervisor::onRequest(Instant now, std::uint64_t requestId, const ControlRequest &controlRequest)
{
    std::visit([&](const auto &one) { request(now, requestId, one); }, controlRequest);
}

void Supervisor::request(Instant now, std::uint64_t requestId, const PutConfiguration &change)
{
    const std::uint64_t current = state_.configuration().version;
    log_.log(now, "config.put",
        { { "version", change.configuration.version }, { "current", current }, { "request", requestId } });
    if (change.configuration.version <= current) {
        answer(requestId, ControlStatus::Done);
        return;
    }
    const bool proposed = std::any_of(waiting_.begin(), waiting_.end(), [&change](const Waiting &waiting) {
        const auto *other = std::get_if<PutConfiguration>(&waiting.request);
        return other != nullptr && other->configuration.version == change.configuration.version;
    });
    if (!proposed) {
        propose(change);
    }
    wait(now, requestId, change);
}

void Supervisor::request(Instant /*now*/, std::uint64_t requestId, const ReadConfiguration & /*read*/)
{
    if (state_.configuration().version == 0) {
        answer(requestId, ControlStatus::NotFound);
        return;
    }
    answer(requestId, ControlStatus::Done, state_.configurationSource());
}

void Supervisor::request(Instant now, std::uint64_t requestId, const BackendHeartbeat &heartbeat)
{
    const BackendRecord &record = heartbeat.record;
    const auto life = std::pair(record.bornMs, heartbeat.sequence);
    auto &last = heardLast_[record.id];
    if (state_.isOutdated(record) || life < last) {
        metrics_.add("heartbeats_outdated_total");
        log_.log(now, "heartbeat.outdated",
            { { "backend", std::string_view(record.id.value) }, { "born_ms", record.bornMs },
                { "sequence", heartbeat.sequence } });
        answer(requestId, ControlStatus::Done);
        return;
    }
    last = life;
    heardAt_[record.id] = now;
    if (isDone(heartbeat)) {
        answer(requestId, ControlStatus::Done);
        return;
    }
    propose(RecordBackend { record });
    wait(now, requestId, heartbeat);
}

void Supervisor::request(Instant now, std::uint64_t requestId, const BackendLeave &leave)
{
    const BackendRecord *known = state_.find(leave.backend);
    if (known == nullptr || (leave.bornMs != 0 && known->bornMs > leave.bornMs)) {
        answer(requestId, ControlStatus::Done);
        return;
    }
    BackendLeave bound = leave;
    bound.bornMs = known->bornMs;
    propose(RemoveBackend { bound.backend, bound.bornMs });
    wait(now, requestId, bound);
}

bool Supervisor::isDone(const ControlRequest &controlRequest) const
{
    if (const auto *change = std::get_if<PutConfiguration>(&controlRequest); change != nullptr) {
        return state_.configuration().version >= change->configuration.version;
    }
    if (const auto *heartbeat = std::get_if<BackendHeartbeat>(&controlRequest); heartbeat != nullptr) {
        const BackendRecord &record = heartbeat->record;
        const BackendRecord *known = state_.find(record.id);
        if (known == nullptr || known->bornMs < record.bornMs) {
            return state_.isOutdated(record);
        }
        BackendRecord expected = record;
        expected.draining = expected.draining || known->draining;
        return *known == expected;
    }
    if (const auto *leave = std::get_if<BackendLeave>(&controlRequest); leave != nullptr) {
        const BackendRecord *known = state_.find(leave->backend);
        return known == nullptr || known->bornMs > leave->bornMs;
    }
    return true;
}

void Supervisor::wait(Instant now, std::uint64_t requestId, ControlRequest controlRequest)
{
    waiting_.push_back({ requestId, now + timing_.changeWait, std::move(controlRequest) });
}

void Supervisor::answer(std::uint64_t requestId, ControlStatus status, std::string body)
{
    actions_.emplace_back(AnswerControl { requestId, { status, std::move(body), {} } });
}

void Supervisor::answerWaiting(Instant now)
{
    std::erase_if(waiting_, [this, now](const Waiting &waiting) {
        const bool done = isDone(waiting.request);
        if (!done && now < waiting.until) {
            return false;
        }
        if (!done) {
            metrics_.add("control_requests_unanswered_total");
            log_.log(now, "control.unanswered", { { "request", waiting.requestId } });
        }
        answer(waiting.requestId, done ? ControlStatus::Done : ControlStatus::Unavailable);
        return true;
    });
}

void Supervisor::refuseWaiting()
{
    for (const Waiting &waiting : waiting_) {
        answer(waiting.requestId, ControlStatus::Unavailable);
    }
    waiting_.clear();
}

} // namespace daisyrelay
