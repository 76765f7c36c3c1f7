// Grants the tokens of the workspaces whose coordinator slots this entry holds.
#pragma once

#include "daisyrelay/ratelimits/ratelimitoptions.h"
#include "daisyrelay/ratelimits/slidingcount.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace daisyrelay {

/// Has a token bucket for each workspace with a rate limit. Entries take tokens from it with requests.
///
/// If an entry that was granted tokens is silent, the bucket fills more slowly by the allowance that the entry may be
/// using, for as long as it may use it.
class RateLimitCoordinator
{
public:
    explicit RateLimitCoordinator(RateLimitOptions options = {});

    /// Applies the limits of a new configuration. Tokens above a lowered burst are dropped.
    void setLimits(Instant now, const std::vector<Workspace> &workspaces);

    /// Extends the authority over \p slots until \p expiresAt and ends it for all others. A slot that is not held yet
    /// starts with empty buckets. Has no effect after releaseAll().
    void setAuthority(Instant now, const std::vector<std::uint32_t> &slots, Instant expiresAt);

    /// Returns the response to \p request. Requests that are outdated, repeated or invalid are granted nothing.
    RateLimitGrant onRequest(Instant now, const VmId &from, const RateLimitRequest &request);

    [[nodiscard]] std::vector<std::uint32_t> heldSlots(Instant now) const;

    /// Ends the authority over all slots for good: a response of the leader that was underway must not renew it, since
    /// the slots may have a new coordinator by then.
    void releaseAll(Instant now);

    /// Numbers of refused requests by reason.
    [[nodiscard]] const Counters &counters() const;

private:
    /// What is known of a process that sends requests for a slot.
    struct Requester {
        std::uint64_t runId = 0;
        std::uint64_t previousRunId = 0;
        std::uint64_t lastSequence = 0;
        Instant heardAt;
    };

    struct Slot {
        bool isHeld = false;
        std::unordered_map<VmId, Requester> requesters;
    };

    /// Tokens that were granted to an entry.
    struct EntryGrants {
        SlidingCount tokens { GrantHistoryDuration };
        bool isReserved = false; ///< The bucket fills more slowly by the allowance of the entry.
    };

    struct Bucket {
        Workspace limit; ///< Without the keys.
        double tokens = 0; ///< Negative if silent entries may have run more than remained.
        Instant filledAt;
        double reservedPerSecond = 0;
        Instant reservationsAt; ///< When the reservations were last computed.
        std::unordered_map<VmId, EntryGrants> grants;
    };

    void startSlot(Instant now, std::uint32_t slot);
    void dropExpiredAuthority(Instant now);
    /// Returns why \p request is granted nothing, or null. Records the contact if it is valid.
    const char *reasonToRefuse(Instant now, Slot &slot, const VmId &from, const RateLimitRequest &request);
    bool makeRoom(Instant now, Slot &slot);
    void forgetEntry(std::uint32_t slot, const VmId &vm);
    void fill(Instant now, Bucket &bucket);
    void updateReservations(Instant now, Bucket &bucket, const Slot &slot);
    std::uint32_t take(Instant now, Bucket &bucket, const VmId &from, std::uint32_t wanted);

    RateLimitOptions options_;
    std::array<Slot, CoordinatorSlotCount> slots_;
    std::unordered_map<WorkspaceId, Bucket> buckets_; ///< Of all workspaces with a limit.
    std::unordered_set<WorkspaceId> unlimited_; ///< Workspaces without a limit.
    Instant expiresAt_;
    bool isReleased_ = false;
    Counters counters_;
};

} // namespace daisyrelay
