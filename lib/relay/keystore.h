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
class KeyKeeper
{
public:
    /// \param firstStart whether this VM has never run before, so that it has nothing to remember.
    KeyKeeper(Instant startedAt, std::size_t otherKeepers, bool firstStart);

    /// \returns the answer to a claim; the other steps have none.
    std::optional<KeyVerdict> onClaim(Instant now, const VmId &from, const KeyClaim &claim);

    [[nodiscard]] KeyCopy onCopyRequest(const KeyCopyRequest &request) const;

    /// Takes in a part of another keeper's keys. \returns the request for the next part, if there is one.
    std::optional<KeyCopyRequest> onCopy(Instant now, const VmId &from, const KeyCopy &copy);

    /// Forgets the keys that have been kept for long enough.
    void expire(Instant now);

    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Kept {
        VmId owner;
        std::uint64_t claimId = 0;
        bool completed = false;
        std::uint64_t sequence = 0;
    };
    struct Arrival {
        Instant at;
        std::uint64_t sequence = 0;
        std::pair<GroupKey, IdempotencyKey> key;
    };

    bool store(Instant now, const KeptKey &key);
    bool makeRoom(Instant now);
    void dropOldest();

    Instant startedAt_;
    std::size_t otherKeepers_;
    bool firstStart_;
    bool complete_ = false;
    std::uint64_t nextSequence_ = 1;
    std::map<std::pair<GroupKey, IdempotencyKey>, Kept> keys_;
    std::deque<Arrival> arrivals_; ///< Oldest first; an entry whose sequence no longer matches is void.
    std::set<VmId> settled_; ///< The other keepers whose keys are here, or that have none.
    std::set<VmId> handedOver_; ///< Those of them that had remembered everything.
};

} // namespace daisyrelay
