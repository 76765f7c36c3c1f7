// The keys of requests that are not repeatable, as a few VMs keep them in memory for all homes.
#pragma once

#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace daisyrelay {

/// Grants each key to the first claim. A home sends a request only after a majority of the keepers has granted its
/// key, and two majorities share a keeper, so no two claims of a key both get through, whichever VMs are homes.
///
/// A keeper that has just started must not grant as if it remembered. It answers Forgotten until each other keeper
/// has handed over its keys or has said that it never granted one, or until it has run for as long as keys are kept.
class KeyStore
{
public:
    /// \param isFirstStart whether this VM has never run before, so that it has nothing to remember.
    KeyStore(Instant startedAt, std::size_t otherStores, bool isFirstStart);

    /// \returns the answer to a claim; the other steps have none.
    std::optional<KeyClaimResponse> onClaim(Instant now, const VmId &from, const KeyClaim &claim);

    [[nodiscard]] KeyCopyChunk onCopyRequest(const KeyCopyRequest &request) const;

    /// Takes in a part of another keeper's keys. \returns the request for the next part, if there is one.
    std::optional<KeyCopyRequest> onCopyChunk(Instant now, const VmId &from, const KeyCopyChunk &chunk);

    /// Forgets the keys that have been kept for long enough.
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
    std::deque<Arrival> arrivals_; ///< Oldest first; an entry whose sequence no longer matches is void.
    std::set<VmId> syncedStores_; ///< The other keepers whose keys are here, or that have none.
    std::set<VmId> completeStores_; ///< Those of them that had remembered everything.
};

} // namespace daisyrelay
