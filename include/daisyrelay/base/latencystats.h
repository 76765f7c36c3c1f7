// Latency distribution in constant memory.
#pragma once

#include "daisyrelay/base/time.h"

#include <cstdint>
#include <memory>

namespace daisyrelay {

/// Count, mean and maximum of a stream of durations, and estimates of its median and 99th percentile. All are zero
/// without samples.
class LatencyStats
{
public:
    LatencyStats();
    ~LatencyStats();
    LatencyStats(LatencyStats &&) noexcept;
    LatencyStats &operator=(LatencyStats &&) noexcept;
    LatencyStats(const LatencyStats &) = delete;
    LatencyStats &operator=(const LatencyStats &) = delete;

    void add(Duration sample);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] Duration mean() const;
    [[nodiscard]] Duration median() const;
    [[nodiscard]] Duration p99() const;
    [[nodiscard]] Duration max() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace daisyrelay
