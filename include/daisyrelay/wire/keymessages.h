// Messages between the home that is about to run a request that is not repeatable and the VMs that keep its key.
#pragma once

#include "daisyrelay/base.h"

#include <vector>

namespace daisyrelay {

/// What a home asks of a keeper.
enum class KeyClaimAction : std::uint8_t {
    Claim, ///< Before the request is sent to a database.
    Release, ///< The request was not run; its key may be claimed again.
    Complete, ///< The request ran and its outcome is known.
};

/// Claims, releases or completes the idempotency key of one request.
struct KeyClaim {
    KeyClaimAction action = KeyClaimAction::Claim;
    std::uint64_t claimId = 0; ///< Unique over all runs of the sender.
    GroupKey group;
    IdempotencyKey key;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(action, claimId, group, key);
    }
};

/// What a keeper knows of a key.
enum class KeyClaimStatus : std::uint8_t {
    Granted, ///< Nobody else has claimed it.
    ClaimedElsewhere, ///< Another claim holds it; its request may have run.
    Completed, ///< The request of another claim ran.
    Unknown, ///< The keeper can not tell, since it has not been running for long enough.
    StoreFull, ///< The keeper can take no more keys now.
};

/// A keeper's answer to a claim.
struct KeyClaimResponse {
    std::uint64_t claimId = 0;
    KeyClaimStatus status = KeyClaimStatus::Unknown;
    std::int64_t retryAfterMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(claimId, status, retryAfterMs);
    }
};

/// One key as a keeper holds it.
struct StoredKey {
    GroupKey group;
    IdempotencyKey key;
    VmId owner;
    std::uint64_t claimId = 0;
    bool isCompleted = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, key, owner, claimId, isCompleted);
    }
};

/// A keeper that has restarted asks another one for the keys after \c offset.
struct KeyCopyRequest {
    std::uint64_t copyId = 0; ///< Unique over all runs of the sender.
    std::uint64_t offset = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(copyId, offset);
    }
};

/// Part of a keeper's keys.
struct KeyCopyChunk {
    std::uint64_t copyId = 0;
    std::uint64_t offset = 0;
    bool hasAllKeys = false; ///< Whether the sender itself remembers everything.
    bool hasNeverGranted = false; ///< Whether the sender has started for the first time and has not granted any key.
    bool isLastChunk = false;
    std::vector<StoredKey> keys;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(copyId, offset, hasAllKeys, hasNeverGranted, isLastChunk, keys);
    }
};

} // namespace daisyrelay
