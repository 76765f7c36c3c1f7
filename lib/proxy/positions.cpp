// Requests log positions of primaries from their homes, and responds to such requests.
#include "daisyrelay/proxy/proxycore.h"

namespace daisyrelay {

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
        service.freshness.record(found->second, response.generation, response.point);
        service.positionRequests.erase(found);
        dispatch(now, response.service);
    }
}

} // namespace daisyrelay
