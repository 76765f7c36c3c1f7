#include "keystore.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration KeyRetention = std::chrono::minutes(5);
static constexpr Duration MinKeyRetention = std::chrono::seconds(30);
static constexpr std::size_t MaxKeys = 200000;
static constexpr std::size_t MaxKeysPerChunk = 4000;
static constexpr std::int64_t StoreFullRetryAfterMs = 500;

KeyStore::KeyStore(Instant startedAt, std::size_t otherStores, bool isFirstStart)
    : startedAt_(startedAt), otherStores_(otherStores), isFirstStart_(isFirstStart)
{
    hasAllKeys_ = isFirstStart_ && otherStores_ == 0;
}

std::optional<KeyClaimResponse> KeyStore::onClaim(Instant now, const VmId &from, const KeyClaim &claim)
{
    expire(now);
    const auto found = keys_.find({ claim.group, claim.key });
    const bool ownsKey = found != keys_.end() && found->second.owner == from && found->second.claimId == claim.claimId;
    if (claim.action != KeyClaimAction::Claim) {
        if (ownsKey && claim.action == KeyClaimAction::Release) {
            keys_.erase(found);
        } else if (ownsKey) {
            found->second.isCompleted = true;
        }
        return std::nullopt;
    }
    if (ownsKey) {
        return KeyClaimResponse { claim.claimId, KeyClaimStatus::Granted, 0 };
    }
    if (found != keys_.end()) {
        return KeyClaimResponse { claim.claimId,
            found->second.isCompleted ? KeyClaimStatus::Completed : KeyClaimStatus::ClaimedElsewhere, 0 };
    }
    if (!hasAllKeys_) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(startedAt_ + KeyRetention - now);
        return KeyClaimResponse { claim.claimId, KeyClaimStatus::Unknown, remaining.count() };
    }
    if (!insert(now, { claim.group, claim.key, from, claim.claimId, false })) {
        return KeyClaimResponse { claim.claimId, KeyClaimStatus::StoreFull, StoreFullRetryAfterMs };
    }
    return KeyClaimResponse { claim.claimId, KeyClaimStatus::Granted, 0 };
}

KeyCopyChunk KeyStore::onCopyRequest(const KeyCopyRequest &request) const
{
    KeyCopyChunk chunk { request.copyId, request.offset, hasAllKeys_, isFirstStart_ && !hasAllKeys_, true, {} };
    const auto begin = std::lower_bound(arrivals_.begin(), arrivals_.end(), request.offset,
        [](const Arrival &arrival, std::uint64_t sequence) { return arrival.sequence < sequence; });
    for (auto arrival = begin; arrival != arrivals_.end(); ++arrival) {
        if (chunk.keys.size() == MaxKeysPerChunk) {
            chunk.isLastChunk = false;
            break;
        }
        chunk.offset = arrival->sequence + 1;
        const auto entry = keys_.find(arrival->key);
        if (entry != keys_.end() && entry->second.sequence == arrival->sequence) {
            chunk.keys.push_back({ arrival->key.first, arrival->key.second, entry->second.owner, entry->second.claimId,
                entry->second.isCompleted });
        }
    }
    return chunk;
}

std::optional<KeyCopyRequest> KeyStore::onCopyChunk(Instant now, const VmId &from, const KeyCopyChunk &chunk)
{
    if (hasAllKeys_ || (!chunk.hasAllKeys && !chunk.hasNeverGranted)) {
        return std::nullopt;
    }
    for (const StoredKey &key : chunk.keys) {
        if (!keys_.contains({ key.group, key.key }) && !insert(now, key)) {
            return std::nullopt;
        }
    }
    if (!chunk.isLastChunk) {
        return KeyCopyRequest { chunk.copyId, chunk.offset };
    }
    syncedStores_.insert(from);
    if (chunk.hasAllKeys) {
        completeStores_.insert(from);
    }
    // A keeper that restarted may hold back a key that only it and a keeper without memory had granted.
    hasAllKeys_ = syncedStores_.size() >= otherStores_ && (isFirstStart_ || !completeStores_.empty());
    return std::nullopt;
}

void KeyStore::expire(Instant now)
{
    hasAllKeys_ = hasAllKeys_ || now >= startedAt_ + KeyRetention;
    while (!arrivals_.empty() && arrivals_.front().arrivedAt + KeyRetention <= now) {
        evictOldest();
    }
}

bool KeyStore::hasAllKeys() const
{
    return hasAllKeys_;
}

std::size_t KeyStore::size() const
{
    return keys_.size();
}

bool KeyStore::insert(Instant now, const StoredKey &key)
{
    if (!evictIfFull(now)) {
        return false;
    }
    const std::uint64_t sequence = nextSequence_++;
    keys_[{ key.group, key.key }] = { key.owner, key.claimId, key.isCompleted, sequence };
    arrivals_.push_back({ now, sequence, { key.group, key.key } });
    return true;
}

bool KeyStore::evictIfFull(Instant now)
{
    while (arrivals_.size() >= MaxKeys) {
        if (now < arrivals_.front().arrivedAt + MinKeyRetention) {
            return false;
        }
        evictOldest();
    }
    return true;
}

void KeyStore::evictOldest()
{
    const Arrival &oldest = arrivals_.front();
    const auto entry = keys_.find(oldest.key);
    if (entry != keys_.end() && entry->second.sequence == oldest.sequence) {
        keys_.erase(entry);
    }
    arrivals_.pop_front();
}

} // namespace daisyrelay
