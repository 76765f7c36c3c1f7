// Spreads the times at which rejected callers return.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>

namespace daisyrelay {

/// Chooses the retry delay of callers that are rejected during an outage whose end is known. If all of them retried at
/// its end, most would be rejected again because of the load.
class ReturnSchedule
{
public:
    /// Returns the delay for the next rejected caller if service resumes after \p remaining. The delays are spread
    /// evenly over a period that begins then and lasts a quarter of \p remaining, between 50 and 250 ms.
    Duration nextDelay(Duration remaining);

private:
    std::uint32_t position_ = 0; ///< Position in the spread, as a fraction of 2^32.
};

} // namespace daisyrelay
