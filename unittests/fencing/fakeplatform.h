// Simulated databases of one service and the platform's promotions. The databases are of either kind: a former primary
// loses its role with the promotion, or goes on until it is told.
#pragma once

#include "daisyrelay/proxy.h"
#include "daisyrelay/supervision.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace daisyrelay {

class FakePlatform
{
public:
    struct Commit {
        LogPoint point;
        Instant at {};
        std::optional<Instant> acknowledgedAt;
        bool isAtFormerPrimary = false;
        bool isLost = false; ///< Rolled back by a promotion.
    };

    struct Database {
        bool isUp = true;
        bool isPrimary = false;
        Term term = 1;
        std::vector<std::uint64_t> log; ///< Indexes in `commits`.
        std::optional<Instant> reachesNewPrimarySince;
    };

    /// Runs its argument after a delay.
    using Scheduler = std::function<void(Duration delay, std::function<void()> action)>;

    FakePlatform(bool fences, Scheduler schedule, std::uint64_t seed);

    /// Replicates, and ends the role of former primaries that have reached the new one for a second.
    void tick(Instant now);

    /// Carries out a promotion call. A token below an earlier one is a violation, or is rejected by a fencing platform.
    PromotionOutcome promote(Instant now, const PromoteThroughPlatform &call, bool isAnsweredLate);

    /// Appends a commit. Requires isPrimary.
    std::uint64_t commit(Instant now, const std::string &database);

    /// Returns the database that was promoted last.
    [[nodiscard]] const std::string &primary() const
    {
        return primary_;
    }

    [[nodiscard]] LogPoint endOf(const Database &database) const;

    std::map<std::string, Database> databases;
    std::set<std::pair<std::string, std::string>> cuts; ///< Pairs of databases that do not reach each other.
    std::vector<Commit> commits;
    std::uint64_t highestToken = 0;
    std::size_t promotionCount = 0;
    std::string violation;

private:
    void takeEffect(Instant now, const std::string &candidate, std::uint64_t token);

    bool fences_;
    Scheduler schedule_;
    std::mt19937_64 random_;
    Term term_ = 1;
    std::string primary_ = "b0";
};

} // namespace daisyrelay
