// The validation of grants, and the credit with which a workspace starts at an entry.
#include "daisyrelay/ratelimits/ratelimitclient.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

double RateLimitClient::initialCredit(const WorkspaceId &workspace) const
{
    // A fraction of an operation that differs between entries: their allowances are often less than one operation, and
    // this way the sum over all entries is as large as the sum of the allowances.
    constexpr std::uint64_t Steps = 1000;
    return static_cast<double>(combineHashes(runId_, stableHash(workspace.value)) % Steps) / Steps;
}

const char *RateLimitClient::reasonToIgnore(const VmId &from, const RateLimitGrant &grant) const
{
    constexpr std::chrono::milliseconds MaxRetryAfter = 1min;
    const auto found = states_.find(grant.workspace);
    if (found == states_.end()) {
        return "unknown-workspace";
    }
    if (grant.runId != runId_) {
        return "other-run";
    }
    const std::vector<SentRequest> &sent = found->second.sent;
    const auto request = std::find_if(sent.begin(), sent.end(),
        [&grant](const SentRequest &candidate) { return candidate.sequence == grant.sequence; });
    if (request == sent.end()) {
        return grant.sequence > lastSequence_ ? "unknown-sequence" : "outdated";
    }
    if (request->to != from) {
        return "foreign";
    }
    if (grant.tokens > request->wanted || grant.retryAfter < 0ms || grant.retryAfter > MaxRetryAfter
        || (!grant.isCoordinator && grant.tokens > 0)) {
        return "invalid";
    }
    return nullptr;
}

} // namespace daisyrelay
