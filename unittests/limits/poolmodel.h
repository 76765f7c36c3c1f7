// Drives a ConnectionPool through random steps and checks its promises after each one.
#pragma once

#include "daisyrelay/limits.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Keeps a book of its own of connections and work, from the actions of the pool alone.
class PoolModel
{
public:
    explicit PoolModel(std::uint64_t seed, daisyrelay::PoolOptions options = {});

    /// Takes one random step: submits, answers, fails, opens, closes, shrinks the limits or lets time pass.
    void step();

    /// Answers everything and lets time pass until nothing is queued or \p most ticks are over.
    void runUntilIdle(int maxTicks);

    /// Returns what the pool did that it must not do; empty if all is well.
    [[nodiscard]] const std::string &violation() const;
    [[nodiscard]] std::size_t pendingCount() const;

    daisyrelay::ConnectionPool pool_;
    daisyrelay::Instant now_ { std::chrono::seconds(1) };

private:
    struct BusyConnection {
        daisyrelay::WorkId work = 0;
        bool inTransaction = false;
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
