// Load and health of each database as seen from this entry, used to spread reads over the databases.
#pragma once

#include "daisyrelay/base.h"
#include "daisyrelay/limits.h"

#include <map>

namespace daisyrelay {

/// Latencies, requests in flight and failures of each database.
class ReadLoad
{
public:
    explicit ReadLoad(RandomSource random);

    void recordStart(const BackendId &backend);

    /// Records the end of a request, whatever its outcome.
    void recordEnd(const BackendId &backend);

    void recordSuccess(const BackendId &backend, Duration latency);

    /// Ejects \p backend for a delay that doubles with each consecutive failure.
    void recordFailure(Instant now, const BackendId &backend);

    /// Returns whether \p backend may be chosen. After the delay of an ejection it is probed by one request at a time
    /// until one succeeds.
    [[nodiscard]] bool canAccept(Instant now, const BackendId &backend) const;

    /// Returns the predicted latency of one more request.
    [[nodiscard]] Duration cost(const BackendId &backend) const;

private:
    struct Entry {
        Duration meanLatency {}; ///< Exponential moving average.
        std::uint32_t inFlight = 0;
        std::uint32_t consecutiveFailures = 0;
        Instant ejectedUntil {};
    };

    RandomSource random_;
    std::map<BackendId, Entry> entries_;
};

} // namespace daisyrelay
