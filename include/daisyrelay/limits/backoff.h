// Exponential delays with jitter, for retries and for connection attempts that fail.
#pragma once

#include "daisyrelay/base.h"

#include <cstdint>
#include <functional>

namespace daisyrelay {

/// Returns the next number of a seeded random sequence; passed in, so that decisions can be repeated.
using RandomSource = std::function<std::uint64_t()>;

/// The first and the longest delay of an exponential series.
struct BackoffRange {
    Duration initialDelay = std::chrono::milliseconds(5);
    Duration maxDelay = std::chrono::milliseconds(200);
};

/// Returns the delay before attempt number \p attempt (1 is the first retry): it doubles with each attempt up to
/// the longest one, and a random half of it is taken off so that requests that failed together do not return together.
Duration backoffDelay(std::uint32_t attempt, const RandomSource &random, const BackoffRange &range = {});

} // namespace daisyrelay
