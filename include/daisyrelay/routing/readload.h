// How busy and how healthy each database looks from this entry, to spread reads without herding.
#pragma once

#include "daisyrelay/base.h"
#include "daisyrelay/limits.h"

#include <map>

namespace daisyrelay {

/// Latencies, open requests and failures of each database, as seen from this entry.
class ReadLoad
{
public:
    explicit ReadLoad(RandomSource random);

    void recordStart(const BackendId &backend);

    /// A request is over, whatever came of it.
    void recordEnd(const BackendId &backend);

    void recordSuccess(const BackendId &backend, Duration latency);

    /// Ejects \p backend for a delay that doubles with each failure in a row.
    void recordFailure(Instant now, const BackendId &backend);

    /// Returns whether \p backend may be chosen. After the delay of an ejection one request at a time probes it until
    /// one succeeds.
    [[nodiscard]] bool canAccept(Instant now, const BackendId &backend) const;

    /// Returns the predicted latency of one more request.
    [[nodiscard]] Duration cost(const BackendId &backend) const;

private:
    struct Entry {
        Duration meanLatency {}; ///< Moving average.
        std::uint32_t inFlight = 0;
        std::uint32_t consecutiveFailures = 0; ///< In a row.
        Instant ejectedUntil {};
    };

    RandomSource random_;
    std::map<BackendId, Entry> entries_;
};

} // namespace daisyrelay
