// Limits the reads that a primary serves while its replicas lag.
#pragma once

#include "daisyrelay/limits.h"

#include <deque>
#include <optional>
#include <set>

namespace daisyrelay {

/// Limits the number of running fallback reads and of waiting ones and rejects the rest at once, so that reads cannot
/// displace writes at the primary when all replicas lag.
class FallbackLimiter
{
public:
    enum class Decision : std::uint8_t {
        Run,
        Wait,
        Reject,
    };

    /// Sets how many fallback reads may run at once.
    void setLimit(std::size_t limit);

    Decision admit(WorkId work);

    /// Removes a read that has ended or stopped waiting. Returns the waiting read that may run now.
    std::optional<WorkId> release(WorkId work);

private:
    std::size_t limit_ = 1;
    std::set<WorkId> running_;
    std::deque<WorkId> waiting_;
};

} // namespace daisyrelay
