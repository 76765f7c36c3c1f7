// Messages between the home that runs a non-repeatable request and the VMs that store its idempotency key.
#pragma once

#include "daisyrelay/base.h"

#include <vector>

namespace daisyrelay {

/// What a home requests from a key store.
enum class KeyClaimAction : std::uint8_t {
    Claim, ///< Sent before the request is sent to a database.
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

/// Result of a claim at one key store.
enum class KeyClaimStatus : std::uint8_t {
    Granted, ///< No other claim holds the key.
    ClaimedElsewhere, ///< Another claim holds the key; its request may have run.
    Completed, ///< The request of another claim ran.
    Unknown, ///< The store may have lost the key, since it has not been running for long enough.
    StoreFull, ///< The store has no capacity for more keys at present.
};

/// Response of a key store to a claim.
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

/// One key as held by a key store.
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

/// Sent by a restarted key store to another one; requests the keys from sequence number \c offset onward.
struct KeyCopyRequest {
    std::uint64_t copyId = 0; ///< Unique over all runs of the sender.
    std::uint64_t offset = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(copyId, offset);
    }
};

/// A part of the keys of a key store.
struct KeyCopyChunk {
    std::uint64_t copyId = 0;
    std::uint64_t offset = 0;
    bool hasAllKeys = false; ///< Whether the sender has lost no keys.
    bool hasNeverGranted = false; ///< Whether the sender runs for the first time and has not granted any key.
    bool isLastChunk = false;
    std::vector<StoredKey> keys;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(copyId, offset, hasAllKeys, hasNeverGranted, isLastChunk, keys);
    }
};

} // namespace daisyrelay
