#include "daisyrelay/ratelimits/ratelimitoptions.h"

#include <algorithm>

namespace daisyrelay {

namespace {

// Shares of the permitted excess; see RateLimitOptions.
constexpr double TokenLifetimeShare = 0.5;
constexpr double AdditionalBurstShare = 0.25;
constexpr double OfflineSlackShare = 0.5;

// Allowances exceed the limit if a new coordinator grants the whole rate to some entries while the others do not reach
// it. The leader that appoints the coordinator reaches a majority of three zones, so the others are a third of all.
constexpr double OfflineShareOfEntries = 1.0 / 3;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Duration tokenLifetime(const RateLimitOptions &options)
{
    return std::chrono::duration_cast<Duration>(options.window * (options.excess * TokenLifetimeShare));
}

double bucketCapacity(const RateLimitOptions &options, const Workspace &workspace)
{
    return std::max(1.0, workspace.burst + (options.slack * AdditionalBurstShare));
}

double offlineAllowance(const RateLimitOptions &options, const Workspace &workspace, std::uint64_t grantedTokens)
{
    const double rate = workspace.operationsPerSecond;
    const double maxGranted = (rate * seconds(GrantHistoryDuration)) + bucketCapacity(options, workspace);
    if (grantedTokens == 0 || rate <= 0) {
        return 0;
    }
    // Scaled so that the allowances of all entries together stay within the rate, without the burst.
    const double atAverageRate = rate * seconds(MaxOfflineDuration) / maxGranted;
    // The allowances run on top of the operations that a new coordinator grants.
    const double permittedExcess = (seconds(options.window) * options.excess * (1 - TokenLifetimeShare) * rate)
        + (workspace.burst * options.excess) + (options.slack * OfflineSlackShare);
    // A window of operations depends on grants of the window and of the history before it.
    const double maxOfflineGranted = (rate * seconds(GrantHistoryDuration + options.window) * OfflineShareOfEntries)
        + bucketCapacity(options, workspace);
    return static_cast<double>(grantedTokens) * std::min(atAverageRate, permittedExcess / maxOfflineGranted);
}

} // namespace daisyrelay
