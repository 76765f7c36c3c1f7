// In-memory store of the idempotency keys of non-repeatable requests, replicated over a few VMs.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace daisyrelay {

/// Grants each key to the first claim. A home sends a request only after a majority of the key stores has granted its
/// key. Any two majorities share a store, so no two claims of one key can both succeed, whichever VMs are homes.
///
/// A store that has just started must not grant a key that it may have granted before. It responds Unknown until each
/// other store has sent its keys or has reported that it never granted a key, or until it has run for as long as keys
/// are retained.
class KeyStore
{
public:
    /// \param isFirstStart whether this VM has never run before, so that it cannot have lost keys.
    KeyStore(Instant startedAt, std::size_t otherStores, bool isFirstStart);

    /// Handles a claim, release or completion. Returns the response to a claim; the other actions have none.
    std::optional<KeyClaimResponse> onClaim(Instant now, const VmId &from, const KeyClaim &claim);

    [[nodiscard]] KeyCopyChunk onCopyRequest(const KeyCopyRequest &request) const;

    /// Stores a part of another store's keys. Returns the request for the next part, if there is one.
    std::optional<KeyCopyRequest> onCopyChunk(Instant now, const VmId &from, const KeyCopyChunk &chunk);

    /// Removes the keys whose retention time has passed.
    void expire(Instant now);

    [[nodiscard]] bool hasAllKeys() const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        VmId owner;
        std::uint64_t claimId = 0;
        bool isCompleted = false;
        std::uint64_t sequence = 0;
    };
    struct Arrival {
        Instant arrivedAt;
        std::uint64_t sequence = 0;
        std::pair<GroupKey, IdempotencyKey> key;
    };

    bool insert(Instant now, const StoredKey &key);
    bool evictIfFull(Instant now);
    void evictOldest();

    Instant startedAt_;
    std::size_t otherStores_;
    bool isFirstStart_;
    bool hasAllKeys_ = false;
    std::uint64_t nextSequence_ = 1;
    std::map<std::pair<GroupKey, IdempotencyKey>, Entry> keys_;
    /// Oldest first; an element is stale if its sequence differs from that of the entry.
    std::deque<Arrival> arrivals_;
    std::set<VmId> syncedStores_; ///< Other stores whose keys were copied, or that never granted a key.
    std::set<VmId> completeStores_; ///< Subset of syncedStores_ that had lost no keys.
};

} // namespace daisyrelay
