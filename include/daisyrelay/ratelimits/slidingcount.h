// A count over the most recent time.
#pragma once

#include "daisyrelay/base.h"

#include <array>
#include <cstdint>

namespace daisyrelay {

/// Counts events of the last \p window, with a resolution of a tenth of the window. An event is forgotten at the
/// earliest after nine tenths of the window, never after more than the window.
class SlidingCount
{
public:
    explicit SlidingCount(Duration window);

    void add(Instant now, std::uint32_t amount);

    [[nodiscard]] std::uint64_t total(Instant now);

    void clear();

private:
    static constexpr std::size_t IntervalCount = 10;

    void advance(Instant now);

    Duration interval_;
    std::int64_t newest_ = 0; ///< Number of the newest interval.
    std::array<std::uint32_t, IntervalCount> counts_ {};
    std::uint64_t total_ = 0;
};

} // namespace daisyrelay
