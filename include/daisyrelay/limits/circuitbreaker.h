// Decides whether something that failed may be tried again: a database, or all databases of a group.
#pragma once

#include "daisyrelay/limits/backoff.h"

namespace daisyrelay {

struct CircuitOptions {
    std::uint32_t failureThreshold = 3; ///< In a row, without a success between them.
    BackoffRange openDelay { std::chrono::milliseconds(50), std::chrono::seconds(2) };
};

/// Opens after failures in a row, lets one probe through after an exponential delay, and closes when it succeeds.
class CircuitBreaker
{
public:
    enum class State : std::uint8_t {
        Closed, ///< Works.
        Open, ///< Nothing is tried until the delay is over.
        HalfOpen, ///< One probe at a time is tried.
    };

    explicit CircuitBreaker(RandomSource random, CircuitOptions options = {});

    [[nodiscard]] State state(Instant now) const;

    /// Returns how long the circuit stays open; zero if it is not.
    [[nodiscard]] Duration retryAfter(Instant now) const;

    void recordSuccess();

    /// One failure; a failed probe opens the circuit again, for longer.
    void recordFailure(Instant now);

    /// A failure that needs no second one, such as a refused connection.
    void trip(Instant now);

private:
    RandomSource random_;
    CircuitOptions options_;
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t consecutiveOpenings_ = 0; ///< Without a success between them; zero while closed.
    Instant openUntil_ {};
};

} // namespace daisyrelay
