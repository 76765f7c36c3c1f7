#include "daisyrelay/routing/readload.h"

namespace daisyrelay {

static constexpr int LatencyAverageWeight = 8;
static constexpr Duration MinLatency = std::chrono::microseconds(100);
static constexpr BackoffRange EjectionBackoff { std::chrono::milliseconds(50), std::chrono::seconds(2) };

ReadLoad::ReadLoad(RandomSource random) : random_(std::move(random))
{
}

void ReadLoad::recordStart(const BackendId &backend)
{
    ++entries_[backend].inFlight;
}

void ReadLoad::recordEnd(const BackendId &backend)
{
    if (Entry &entry = entries_[backend]; entry.inFlight > 0) {
        --entry.inFlight;
    }
}

void ReadLoad::recordSuccess(const BackendId &backend, Duration latency)
{
    Entry &entry = entries_[backend];
    entry.consecutiveFailures = 0;
    entry.meanLatency += (latency - entry.meanLatency) / LatencyAverageWeight;
}

void ReadLoad::recordFailure(Instant now, const BackendId &backend)
{
    Entry &entry = entries_[backend];
    ++entry.consecutiveFailures;
    entry.ejectedUntil = now + backoffDelay(entry.consecutiveFailures, random_, EjectionBackoff);
}

bool ReadLoad::canAccept(Instant now, const BackendId &backend) const
{
    const auto found = entries_.find(backend);
    if (found == entries_.end() || found->second.consecutiveFailures == 0) {
        return true;
    }
    return found->second.ejectedUntil <= now && found->second.inFlight == 0;
}

Duration ReadLoad::cost(const BackendId &backend) const
{
    const auto found = entries_.find(backend);
    if (found == entries_.end()) {
        return MinLatency;
    }
    return std::max(found->second.meanLatency, MinLatency) * (1 + found->second.inFlight);
}

} // namespace daisyrelay
