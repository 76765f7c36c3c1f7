#include "daisyrelay/routing/readload.h"

namespace daisyrelay {

static constexpr int AverageWeight = 8;
static constexpr Duration LeastLatency = std::chrono::microseconds(100);
static constexpr BackoffRange Ejection { std::chrono::milliseconds(50), std::chrono::seconds(2) };

ReadLoad::ReadLoad(RandomSource random) : random_(std::move(random))
{
}

void ReadLoad::started(const BackendId &backend)
{
    ++entries_[backend].open;
}

void ReadLoad::ended(const BackendId &backend)
{
    if (Entry &entry = entries_[backend]; entry.open > 0) {
        --entry.open;
    }
}

void ReadLoad::succeeded(const BackendId &backend, Duration took)
{
    Entry &entry = entries_[backend];
    entry.failures = 0;
    entry.latency += (took - entry.latency) / AverageWeight;
}

void ReadLoad::failed(Instant now, const BackendId &backend)
{
    Entry &entry = entries_[backend];
    ++entry.failures;
    entry.ejectedUntil = now + backoffDelay(entry.failures, random_, Ejection);
}

bool ReadLoad::admits(Instant now, const BackendId &backend) const
{
    const auto found = entries_.find(backend);
    if (found == entries_.end() || found->second.failures == 0) {
        return true;
    }
    return found->second.ejectedUntil <= now && found->second.open == 0;
}

Duration ReadLoad::cost(const BackendId &backend) const
{
    const auto found = entries_.find(backend);
    if (found == entries_.end()) {
        return LeastLatency;
    }
    return std::max(found->second.latency, LeastLatency) * (1 + found->second.open);
}

} // namespace daisyrelay
