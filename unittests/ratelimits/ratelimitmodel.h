// A model of entries that share the rate limit of one workspace, with a leader that appoints the coordinator.
#pragma once

#include "daisyrelay/ratelimits.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace daisyrelay {

struct RateLimitModelOptions {
    std::uint64_t seed = 0;
    std::uint32_t entryCount = 3;
    std::uint32_t rate = 100;
    std::uint32_t burst = 0;
    double load = 0.6; ///< Offered operations as a fraction of the rate, without faults.
    bool hasFaults = false; ///< Cuts, restarts, freezes, load changes and one lowered limit.
};

/// Advances in steps of 5 ms. Messages take 1 to 15 ms. Operations arrive in random intervals.
class RateLimitModel
{
public:
    explicit RateLimitModel(RateLimitModelOptions options);

    void run(Duration duration);

    /// Returns the largest number of operations in a window of 5 s as a fraction of what the limit permits there.
    [[nodiscard]] double worstWindow() const;

    [[nodiscard]] double refusedShare() const;
    [[nodiscard]] std::uint64_t offlineOperations() const;
    [[nodiscard]] std::uint32_t handovers() const;

private:
    struct Entry {
        std::unique_ptr<RateLimitClient> client;
        std::unique_ptr<RateLimitCoordinator> coordinator;
        std::uint32_t group = 0; ///< Messages pass within a group. The leader belongs to group 0.
        Instant frozenUntil;
        bool hasNewLimit = false;
        double loadShare = 0;
        std::vector<Instant> waiting;
    };

    struct Message {
        std::size_t from = 0;
        std::size_t to = 0;
        RateLimitRequest request;
        RateLimitGrant grant;
        bool isGrant = false;
    };

    [[nodiscard]] std::vector<Workspace> limits(bool isLowered) const;
    [[nodiscard]] Instant lowerAt() const;
    double random();
    std::size_t randomEntry();
    void start(std::size_t index);
    void step();
    void injectFaults();
    void changeLoad();
    void lead();
    void deliver();
    void post(Message message);
    void offer(Entry &entry);
    void serve(Entry &entry);
    bool decide(Entry &entry, Instant since);

    RateLimitModelOptions options_;
    std::mt19937_64 engine_;
    Instant now_ { std::chrono::seconds(100) };
    Instant startedAt_ { now_ };
    std::vector<Entry> entries_;
    std::multimap<Instant, Message> network_;
    CoordinatorTable table_;
    std::size_t holder_ = 0;
    Instant leasedUntil_; ///< As the leader counts it.
    double totalLoad_ = 0;
    std::vector<Instant> admitted_;
    std::uint64_t refused_ = 0;
    std::uint64_t offered_ = 0;
    std::uint64_t offlineOperations_ = 0;
    std::uint32_t handovers_ = 0;
};

} // namespace daisyrelay
