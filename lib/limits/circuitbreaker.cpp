#include "daisyrelay/limits/circuitbreaker.h"

#include <algorithm>

namespace daisyrelay {

CircuitBreaker::CircuitBreaker(RandomSource random, CircuitOptions options)
    : random_(std::move(random)), options_(options)
{
}

CircuitBreaker::State CircuitBreaker::state(Instant now) const
{
    if (openings_ == 0) {
        return State::Closed;
    }
    return now < openUntil_ ? State::Open : State::HalfOpen;
}

Duration CircuitBreaker::retryAfter(Instant now) const
{
    return state(now) == State::Open ? openUntil_ - now : Duration::zero();
}

void CircuitBreaker::succeeded()
{
    failures_ = 0;
    openings_ = 0;
}

void CircuitBreaker::failed(Instant now)
{
    ++failures_;
    if (state(now) == State::HalfOpen || failures_ >= options_.failuresToOpen) {
        trip(now);
    }
}

void CircuitBreaker::trip(Instant now)
{
    if (state(now) == State::Open) {
        return; // What failed was under way when the circuit opened.
    }
    failures_ = 0;
    ++openings_;
    openUntil_ = now + backoffDelay(openings_, random_, options_.delay);
}

} // namespace daisyrelay
