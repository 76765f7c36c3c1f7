// Drives a ConnectionPool with random steps and checks its invariants after each step.
#pragma once

#include "daisyrelay/limits.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Tracks connections and work independently of the pool, from the pool's actions alone.
class PoolModel
{
public:
    explicit PoolModel(std::uint64_t seed, daisyrelay::PoolOptions options = {});

    /// Takes one random step: submits or completes work, opens, fails or closes a connection, changes the limits or a
    /// target, or advances the clock.
    void step();

    /// Advances the clock until no work is queued or \p maxTicks ticks have passed.
    void runUntilIdle(int maxTicks);

    /// Returns the first violated invariant; empty if there is none.
    [[nodiscard]] const std::string &violation() const;
    [[nodiscard]] std::size_t pendingCount() const;

    daisyrelay::ConnectionPool pool_;
    daisyrelay::Instant now_ { std::chrono::seconds(1) };

private:
    struct BusyConnection {
        daisyrelay::WorkId work = 0;
        bool isInTransaction = false;
    };

    daisyrelay::PoolWork randomWork();
    void applyActions();
    void checkStarted(const daisyrelay::StartWork &start);
    void endRandomStatement();
    void expect(bool condition, const std::string &message);

    std::mt19937_64 random_;
    daisyrelay::ConnectionId lastConnection_ = 0;
    daisyrelay::WorkId lastWork_ = 0;
    std::size_t limit_ = 0;
    std::size_t slots_ = 0;
    std::map<daisyrelay::WorkId, daisyrelay::PoolWork> waiting_;
    std::set<daisyrelay::ConnectionId> opening_;
    std::set<daisyrelay::ConnectionId> open_;
    std::map<daisyrelay::ConnectionId, BusyConnection> busy_;
    std::set<daisyrelay::ConnectionId> reserved_;
    std::string violation_;
};
