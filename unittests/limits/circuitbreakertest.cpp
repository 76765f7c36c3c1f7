#include "daisyrelay/limits.h"

#include <random>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisyrelay;

TEST_GROUP(CircuitBreaker) {};

TEST(CircuitBreaker, OpensOnlyAfterConsecutiveFailuresForAtMostMaxDelay)
{
    CHECK(rc::check([](std::uint64_t seed, const std::vector<std::uint8_t> &steps) {
        std::mt19937_64 random(seed);
        const CircuitOptions options;
        CircuitBreaker circuit(std::ref(random), options);
        Instant now { std::chrono::seconds(1) };
        std::uint32_t consecutiveFailures = 0;
        for (const std::uint8_t step : steps) {
            const CircuitBreaker::State stateBefore = circuit.state(now);
            if (step % 3 == 0) {
                circuit.recordSuccess();
                consecutiveFailures = 0;
                RC_ASSERT(circuit.state(now) == CircuitBreaker::State::Closed);
            } else if (step % 3 == 1) {
                circuit.recordFailure(now);
                ++consecutiveFailures;
                if (stateBefore == CircuitBreaker::State::HalfOpen) {
                    RC_ASSERT(circuit.state(now) == CircuitBreaker::State::Open);
                }
            } else {
                now += std::chrono::milliseconds(step);
            }
            RC_ASSERT((circuit.state(now) == CircuitBreaker::State::Closed
                || consecutiveFailures >= options.failureThreshold));
            RC_ASSERT(circuit.retryAfter(now) <= options.openDelay.maxDelay);
        }
        now += options.openDelay.maxDelay;
        RC_ASSERT(circuit.state(now) != CircuitBreaker::State::Open);
    }));
}

/// Guards against probing a dead database at a constant rate: each failed probe must lengthen the next delay, so that
/// the number of attempts is bounded.
TEST(CircuitBreaker, DeadDatabaseIsProbedWithIncreasingDelay)
{
    CircuitBreaker circuit([]() { return std::uint64_t { 0 }; });
    Instant now { std::chrono::seconds(1) };
    int probes = 0;
    const Instant end = now + std::chrono::seconds(60);
    circuit.trip(now);
    while (now < end) {
        now += std::chrono::milliseconds(10);
        if (circuit.state(now) == CircuitBreaker::State::HalfOpen) {
            ++probes;
            circuit.recordFailure(now);
        }
    }
    CHECK(probes >= 20);
    CHECK(probes <= 40);
}
