// Bounds the reads that a primary serves for lagging replicas.
#pragma once

#include "daisyrelay/limits.h"

#include <deque>
#include <optional>
#include <set>

namespace daisyrelay {

/// Lets a limited number of fallback reads run at once and a few more wait; the rest is refused at once, so that reads
/// can not take the primary away from writes when all replicas lag.
class FallbackLimiter
{
public:
    enum class Decision : std::uint8_t {
        Run,
        Wait,
        Refuse,
    };

    /// Sets how many reads may run at once.
    void setLimit(std::size_t limit);

    Decision admit(WorkId work);

    /// The read is over or no longer waits. \returns the waiting read that may run now.
    std::optional<WorkId> release(WorkId work);

private:
    std::size_t limit_ = 1;
    std::set<WorkId> running_;
    std::deque<WorkId> waiting_;
};

} // namespace daisyrelay
