// Messages about the rate limits of workspaces: between entries and the coordinators of the limits, and between control
// and the coordinators.
#pragma once

#include "daisyrelay/base.h"

#include <chrono>
#include <string>
#include <vector>

namespace daisyrelay {

/// Number of coordinator slots; each workspace belongs to one of them.
constexpr std::uint32_t CoordinatorSlotCount = 16;

/// Returns the coordinator slot of \p workspace.
inline std::uint32_t coordinatorSlotOf(const WorkspaceId &workspace)
{
    return static_cast<std::uint32_t>(stableHash(workspace.value) % CoordinatorSlotCount);
}

/// Requests tokens, each of which permits one operation of a workspace, from the coordinator of its rate limit.
struct RateLimitRequest {
    WorkspaceId workspace;
    std::uint64_t runId = 0; ///< Identifies the run of the requesting process.
    std::uint64_t sequence = 0; ///< Increases with each request of the run.
    std::uint32_t wantedTokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(workspace, runId, sequence, wantedTokens);
    }
};

/// The response to a RateLimitRequest.
struct RateLimitGrant {
    WorkspaceId workspace;
    std::uint64_t runId = 0; ///< As in the request.
    std::uint64_t sequence = 0; ///< As in the request.
    bool isCoordinator = true; ///< False if the responder does not hold the slot of the workspace.
    std::uint32_t tokens = 0;
    std::chrono::milliseconds retryAfter { 0 }; ///< When the next token is free, if fewer than requested were granted.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(workspace, runId, sequence, isCoordinator, tokens, retryAfter);
    }
};

/// The coordinators of all slots.
struct CoordinatorTable {
    std::uint64_t version = 0; ///< Increases with each change, also across leaders.
    std::vector<VmId> holders; ///< One for each slot; empty identifiers for slots without a coordinator.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, holders);
    }
};

/// The part of an entry's report to control that concerns its coordinator slots.
struct CoordinatorReport {
    std::uint64_t tableVersion = 0; ///< Version of the table that the entry has.
    std::vector<std::uint32_t> held; ///< Slots for which the entry has authority.
    std::vector<std::uint32_t> released; ///< Slots that the entry gave up; it grants no more tokens for them.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(tableVersion, held, released);
    }
};

/// The part of control's response that concerns the coordinator slots.
struct CoordinatorUpdate {
    std::vector<CoordinatorTable> table; ///< One element if the entry has an older table, otherwise empty.
    std::vector<std::uint32_t> granted; ///< Slots that the receiving entry holds.
    /// Duration of the authority over these slots, counted from the sending of the report that is responded to.
    std::chrono::milliseconds lease { 0 };
    /// Number of entries that share the limits; zero while the leader has not heard all of them yet.
    std::uint32_t entryCount = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(table, granted, lease, entryCount);
    }
};

} // namespace daisyrelay
