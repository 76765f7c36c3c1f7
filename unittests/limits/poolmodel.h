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
    void settle(int most);

    /// Returns what the pool did that it must not do; empty if all is well.
    [[nodiscard]] const std::string &fault() const;
    [[nodiscard]] std::size_t openWork() const;

    daisyrelay::ConnectionPool pool_;
    daisyrelay::Instant now_ { std::chrono::seconds(1) };

private:
    struct Used {
        daisyrelay::WorkId work = 0;
        bool transaction = false;
    };

    daisyrelay::PoolWork randomWork();
    void apply();
    void started(const daisyrelay::StartWork &start);
    void endOne();
    void require(bool condition, const std::string &what);

    std::mt19937_64 random_;
    daisyrelay::ConnectionId last_ = 0;
    daisyrelay::WorkId lastWork_ = 0;
    std::size_t limit_ = 0;
    std::size_t slots_ = 0;
    std::map<daisyrelay::WorkId, daisyrelay::PoolWork> waiting_;
    std::set<daisyrelay::ConnectionId> opening_;
    std::set<daisyrelay::ConnectionId> open_;
    std::map<daisyrelay::ConnectionId, Used> busy_;
    std::set<daisyrelay::ConnectionId> held_;
    std::string fault_;
};
