// How much a rate limit may be exceeded, and how this excess is divided.
#pragma once

#include "daisyrelay/wire.h"

namespace daisyrelay {

/// In any window, the operations of a workspace stay within
/// (window * operationsPerSecond + burst) * (1 + excess) + slack.
///
/// The excess is divided into: half of window * excess as the lifetime of tokens, so that tokens granted before the
/// window add at most that much; a quarter of the slack as additional burst; and the other half of the excess with half
/// of the slack as the operations that entries without a coordinator may run. The last quarter of the slack covers the
/// rounding of allowances to whole operations.
struct RateLimitOptions {
    Duration window = std::chrono::seconds(5);
    double excess = 0.1;
    double slack = 20;
};

/// Duration over which granted tokens are counted for the allowance of an entry.
constexpr Duration GrantHistoryDuration = std::chrono::seconds(10);

/// Maximum duration for which an entry without a coordinator runs operations, counted from the last contact.
constexpr Duration MaxOfflineDuration = std::chrono::seconds(5);

/// A client sends a request without tokens if it has sent none for this time but has an allowance, so that a
/// coordinator can tell an idle entry from an unreachable one.
constexpr Duration ProbeInterval = std::chrono::seconds(1);

/// Tokens of one request. Larger requests are refused; no entry has as many waiting operations.
constexpr std::uint32_t MaxTokensPerRequest = 4096;

/// Returns how long after its request a token may be used.
Duration tokenLifetime(const RateLimitOptions &options);

/// Returns the capacity of the bucket of \p workspace. The addition to the burst keeps workspaces of a few operations a
/// second from being refused when two of them coincide.
double bucketCapacity(const RateLimitOptions &options, const Workspace &workspace);

/// Returns how many operations an entry that was granted \p grantedTokens within GrantHistoryDuration may run within
/// MaxOfflineDuration without a coordinator.
double offlineAllowance(const RateLimitOptions &options, const Workspace &workspace, std::uint64_t grantedTokens);

} // namespace daisyrelay
