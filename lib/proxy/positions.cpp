// Records log positions of primaries, requests them from homes, and responds to such requests.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

static std::string pointText(const LogPoint &point)
{
    return std::to_string(point.term) + '.' + std::to_string(point.position);
}

void ProxyCore::recordPosition(Instant now, const BackendPool &pool, const BackendConnection &connection,
    const BackendResponse &response, PositionSource source)
{
    if (!response.position || connection.generation == 0) {
        return;
    }
    const ServiceId &id = pool.record().service;
    Service &service = serviceOf(id);
    const std::pair primary(connection.generation, connection.startedAtMs);
    if (source == PositionSource::Statement && connection.commitsWrite) {
        service.servingPrimary = std::max(service.servingPrimary, primary);
    } else if (service.servingPrimary != primary) {
        metrics_.add("positions_unproven_total");
        return;
    }
    recordSample(
        now, id, { connection.stateSince, connection.generation, *response.position, source, pool.record().id });
    respondToPositionRequests(id, service, connection.stateSince, connection.generation, *response.position);
}

// Returns whether \p status shows that the primary has applied all that it had received.
bool ProxyCore::recordStatus(
    const BackendPool &pool, const BackendConnection &connection, const BackendResponse &status)
{
    if (!status.received || !status.position || status.position->position < status.received->position) {
        return false;
    }
    Service &service = serviceOf(pool.record().service);
    service.servingPrimary = std::max(service.servingPrimary, std::pair(connection.generation, connection.startedAtMs));
    return true;
}

void ProxyCore::recordSample(Instant now, const ServiceId &id, const PositionSample &sample)
{
    Service &service = serviceOf(id);
    const PositionSample *newest = service.freshness.newest();
    const bool isFirstOfGeneration = !service.freshness.firstPointOf(sample.generation);
    const bool hasDecreased = newest != nullptr && newest->generation == sample.generation
        && newest->sentAt <= sample.sentAt && sample.point < newest->point;
    const LogPoint before = newest == nullptr ? LogPoint {} : newest->point;
    const FreshnessHistory::Outcome outcome = service.freshness.record(sample);
    const std::string_view source = positionSourceName(sample.source);
    const std::string_view outcomeName = positionOutcomeName(outcome);
    metrics_.add(
        "positions_total{source=\"" + std::string(source) + "\",outcome=\"" + std::string(outcomeName) + "\"}");
    const auto log = [&](std::string_view event) {
        log_.log(now, event,
            { { "service", std::string_view(id.value) }, { "backend", std::string_view(sample.backend.value) },
                { "source", source }, { "outcome", outcomeName }, { "generation", sample.generation },
                { "position", std::string_view(pointText(sample.point)) },
                { "before", std::string_view(pointText(before)) }, { "age_ms", now - sample.sentAt },
                { "primary", std::string_view(service.primary.backend.value) },
                { "primary_generation", service.primary.generation } });
    };
    if (hasDecreased) {
        metrics_.add("positions_decreased_total");
        log("position.decreased");
    }
    if (isFirstOfGeneration) {
        log("position.first");
    } else if (tracesReads_) {
        log("position.reported");
    }
}

void ProxyCore::setReadTrace(bool isEnabled)
{
    tracesReads_ = isEnabled;
}

void ProxyCore::traceRead(Instant now, const Session &session, const Service &service, const LogPoint &minPoint)
{
    const PendingStatement &pending = *session.pending;
    const Instant oldest = pending.freshnessReference - pending.route->maxStaleness;
    const PositionSample *sample = tracesReads_ ? service.freshness.sampleCovering(oldest) : nullptr;
    if (sample == nullptr) {
        return;
    }
    log_.log(now, "read.sent",
        { { "request", std::string_view(pending.statement.id) },
            { "service", std::string_view(pending.route->service.value) },
            { "backend", std::string_view(pending.backend.value) }, { "since", std::string_view(pointText(minPoint)) },
            { "position", std::string_view(pointText(sample->point)) },
            { "source", positionSourceName(sample->source) },
            { "reported_by", std::string_view(sample->backend.value) }, { "generation", sample->generation },
            { "sample_age_ms", now - sample->sentAt }, { "bound_age_ms", now - oldest },
            { "primary", std::string_view(service.primary.backend.value) },
            { "primary_generation", service.primary.generation }, { "topology_index", topology_.index } });
}

void ProxyCore::requestPosition(Instant now, const ServiceId &id, Service &service)
{
    const auto homes = homes_.find(service.primary.backend);
    const VmId *home = homes == homes_.end()
        ? nullptr
        : homeLoads_.choose(now, service.primary.backend, homes->second, {}, 0, sessionIdBase_ + nextSequence_, {});
    if (home == nullptr || !hasLocalServer(id)) {
        return;
    }
    constexpr std::size_t MaxPositionRequests = 8;
    service.lastSampledAt = now;
    service.positionRequests[nextSequence_] = now;
    if (service.positionRequests.size() > MaxPositionRequests) {
        service.positionRequests.erase(service.positionRequests.begin());
    }
    actions_.emplace_back(SendToEntry { *home, PositionRequest { id, nextSequence_++ } });
}

void ProxyCore::onPositionRequest(Instant now, const VmId &from, const PositionRequest &request)
{
    constexpr std::size_t MaxRequesters = 256;
    Service &service = serviceOf(request.service);
    if (service.positionRequesters.size() < MaxRequesters) {
        service.positionRequesters.push_back({ from, request.sequence, now });
    }
    const BackendPool *pool = findPool(service.primary.backend);
    constexpr Duration MinSampleInterval
        = std::chrono::milliseconds(10); // One sample serves all requests that arrive close together.
    if (pool != nullptr && pool->quota() > 0 && now - service.lastSampledAt >= MinSampleInterval) {
        samplePosition(now, service);
    }
}

// The primary may have been replaced since it was asked, so the caller passes its generation.
void ProxyCore::respondToPositionRequests(
    const ServiceId &id, Service &service, Instant sentAt, std::uint64_t generation, const LogPoint &point)
{
    std::erase_if(service.positionRequesters, [&](const Service::PositionRequester &requester) {
        if (requester.receivedAt > sentAt) {
            return false;
        }
        actions_.emplace_back(
            SendToEntry { requester.entry, PositionResponse { id, requester.sequence, generation, point } });
        return true;
    });
}

void ProxyCore::onPositionResponse(Instant now, const VmId &from, const PositionResponse &response)
{
    homeLoads_.recordHeard(now, from);
    Service &service = serviceOf(response.service);
    if (const auto found = service.positionRequests.find(response.sequence); found != service.positionRequests.end()) {
        recordSample(
            now, response.service, { found->second, response.generation, response.point, PositionSource::Home, {} });
        service.positionRequests.erase(found);
        dispatch(now, response.service);
    }
}

} // namespace daisyrelay
