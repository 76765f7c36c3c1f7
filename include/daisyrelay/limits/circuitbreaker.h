// Circuit breaker: decides whether an operation that failed repeatedly may be attempted again.
#pragma once

#include "daisyrelay/limits/backoff.h"

namespace daisyrelay {

struct CircuitOptions {
    std::uint32_t failureThreshold = 3; ///< Consecutive failures after which the circuit opens.
    BackoffRange openDelay { std::chrono::milliseconds(50), std::chrono::seconds(2) };
};

/// Opens after consecutive failures, allows a probe after an exponential delay, and closes when the probe succeeds.
class CircuitBreaker
{
public:
    enum class State : std::uint8_t {
        Closed, ///< Requests are allowed.
        Open, ///< No request is allowed until the delay has passed.
        HalfOpen, ///< One probe at a time is allowed.
    };

    explicit CircuitBreaker(RandomSource random, CircuitOptions options = {});

    [[nodiscard]] State state(Instant now) const;

    /// Returns how long the circuit stays open; zero if it is not open.
    [[nodiscard]] Duration retryAfter(Instant now) const;

    void recordSuccess();

    /// Records a failure. A failed probe opens the circuit again with a longer delay.
    void recordFailure(Instant now);

    /// Opens the circuit after a single failure that needs no confirmation, such as a refused connection.
    void trip(Instant now);

private:
    RandomSource random_;
    CircuitOptions options_;
    std::uint32_t consecutiveFailures_ = 0;
    /// Number of times the circuit opened since the last success; zero while it is closed.
    std::uint32_t consecutiveOpenings_ = 0;
    Instant openUntil_ {};
};

} // namespace daisyrelay
