#include "daisyrelay/limits/circuitbreaker.h"

#include <algorithm>

namespace daisyrelay {

CircuitBreaker::CircuitBreaker(RandomSource random, CircuitOptions options)
    : random_(std::move(random)), options_(options)
{
}

CircuitBreaker::State CircuitBreaker::state(Instant now) const
{
    if (consecutiveOpenings_ == 0) {
        return State::Closed;
    }
    return now < openUntil_ ? State::Open : State::HalfOpen;
}

Duration CircuitBreaker::retryAfter(Instant now) const
{
    return state(now) == State::Open ? openUntil_ - now : Duration::zero();
}

void CircuitBreaker::recordSuccess()
{
    consecutiveFailures_ = 0;
    consecutiveOpenings_ = 0;
}

void CircuitBreaker::recordFailure(Instant now)
{
    ++consecutiveFailures_;
    if (state(now) == State::HalfOpen || consecutiveFailures_ >= options_.failureThreshold) {
        trip(now);
    }
}

void CircuitBreaker::trip(Instant now)
{
    if (state(now) == State::Open) {
        return; // What failed was under way when the circuit opened.
    }
    consecutiveFailures_ = 0;
    ++consecutiveOpenings_;
    openUntil_ = now + backoffDelay(consecutiveOpenings_, random_, options_.openDelay);
}

} // namespace daisyrelay
