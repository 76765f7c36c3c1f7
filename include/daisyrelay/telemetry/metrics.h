// Counters and latency histograms in the text format that common scrapers read.
#pragma once

#include "daisyrelay/base.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace daisyrelay {

/// Belongs to one thread.
class Metrics
{
public:
    /// Raises a counter. \p name may carry labels: `refused_total{reason="queue-full"}`.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, std::int64_t value);

    /// Counts \p duration in the histogram \p name; \p labels is either empty or `key="value",...`.
    void observe(std::string_view name, std::string_view labels, Duration duration);

    [[nodiscard]] std::uint64_t value(std::string_view name) const;

    /// Returns all of them as text.
    [[nodiscard]] std::string render() const;

private:
    static constexpr std::size_t BucketCount = 12; ///< Upper bounds 1 ms, 2 ms, 4 ms ... 2048 ms.

    struct Histogram {
        std::array<std::uint64_t, BucketCount> counts {};
        std::uint64_t count = 0;
        double totalSeconds = 0;
    };

    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, std::int64_t, std::less<>> gauges_;
    std::map<std::pair<std::string, std::string>, Histogram> histograms_;
};

} // namespace daisyrelay
