// Exponential backoff with jitter, for retries and for failed connection attempts.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>
#include <functional>

namespace daisyrelay {

/// Returns the next number of a seeded random sequence. The source is passed in so that a run can be reproduced.
using RandomSource = std::function<std::uint64_t()>;

/// Bounds of an exponential backoff.
struct BackoffRange {
    Duration initialDelay = std::chrono::milliseconds(5);
    Duration maxDelay = std::chrono::milliseconds(200);
};

/// Returns the delay before attempt number \p attempt, where 1 is the first retry. The delay doubles with each attempt
/// up to the maximum. Up to half of it is subtracted at random so that requests that failed together are not retried
/// together.
Duration backoffDelay(std::uint32_t attempt, const RandomSource &random, const BackoffRange &range = {});

} // namespace daisyrelay
