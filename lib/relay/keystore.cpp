#include "keystore.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration KeyLife = std::chrono::minutes(5);
static constexpr Duration ShortestKeyLife = std::chrono::seconds(30);
static constexpr std::size_t MostKeys = 200000;
static constexpr std::size_t KeysPerCopy = 4000;
static constexpr std::int64_t FullRetryMs = 500;

KeyKeeper::KeyKeeper(Instant startedAt, std::size_t otherKeepers, bool firstStart)
    : startedAt_(startedAt), otherKeepers_(otherKeepers), firstStart_(firstStart)
{
    complete_ = firstStart_ && otherKeepers_ == 0;
}

std::optional<KeyVerdict> KeyKeeper::onClaim(Instant now, const VmId &from, const KeyClaim &claim)
{
    expire(now);
    const auto found = keys_.find({ claim.group, claim.key });
    const bool own = found != keys_.end() && found->second.owner == from && found->second.claimId == claim.claimId;
    if (claim.step != KeyStep::Claim) {
        if (own && claim.step == KeyStep::Release) {
            keys_.erase(found);
        } else if (own) {
            found->second.completed = true;
        }
        return std::nullopt;
    }
    if (own) {
        return KeyVerdict { claim.claimId, KeyState::Granted, 0 };
    }
    if (found != keys_.end()) {
        return KeyVerdict { claim.claimId, found->second.completed ? KeyState::Completed : KeyState::Taken, 0 };
    }
    if (!complete_) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(startedAt_ + KeyLife - now);
        return KeyVerdict { claim.claimId, KeyState::Forgotten, left.count() };
    }
    if (!store(now, { claim.group, claim.key, from, claim.claimId, false })) {
        return KeyVerdict { claim.claimId, KeyState::Full, FullRetryMs };
    }
    return KeyVerdict { claim.claimId, KeyState::Granted, 0 };
}

KeyCopy KeyKeeper::onCopyRequest(const KeyCopyRequest &request) const
{
    KeyCopy copy { request.copyId, request.offset, complete_, firstStart_ && !complete_, true, {} };
    const auto begin = std::lower_bound(arrivals_.begin(), arrivals_.end(), request.offset,
        [](const Arrival &arrival, std::uint64_t sequence) { return arrival.sequence < sequence; });
    for (auto arrival = begin; arrival != arrivals_.end(); ++arrival) {
        if (copy.keys.size() == KeysPerCopy) {
            copy.last = false;
            break;
        }
        copy.offset = arrival->sequence + 1;
        const auto kept = keys_.find(arrival->key);
        if (kept != keys_.end() && kept->second.sequence == arrival->sequence) {
            copy.keys.push_back({ arrival->key.first, arrival->key.second, kept->second.owner, kept->second.claimId,
                kept->second.completed });
        }
    }
    return copy;
}

std::optional<KeyCopyRequest> KeyKeeper::onCopy(Instant now, const VmId &from, const KeyCopy &copy)
{
    if (complete_ || (!copy.complete && !copy.neverGranted)) {
        return std::nullopt;
    }
    for (const KeptKey &key : copy.keys) {
        if (!keys_.contains({ key.group, key.key }) && !store(now, key)) {
            return std::nullopt;
        }
    }
    if (!copy.last) {
        return KeyCopyRequest { copy.copyId, copy.offset };
    }
    settled_.insert(from);
    if (copy.complete) {
        handedOver_.insert(from);
    }
    // A keeper that restarted may hold back a key that only it and a keeper without memory had granted.
    complete_ = settled_.size() >= otherKeepers_ && (firstStart_ || !handedOver_.empty());
    return std::nullopt;
}

void KeyKeeper::expire(Instant now)
{
    complete_ = complete_ || now >= startedAt_ + KeyLife;
    while (!arrivals_.empty() && arrivals_.front().at + KeyLife <= now) {
        dropOldest();
    }
}

bool KeyKeeper::isComplete() const
{
    return complete_;
}

std::size_t KeyKeeper::size() const
{
    return keys_.size();
}

bool KeyKeeper::store(Instant now, const KeptKey &key)
{
    if (!makeRoom(now)) {
        return false;
    }
    const std::uint64_t sequence = nextSequence_++;
    keys_[{ key.group, key.key }] = { key.owner, key.claimId, key.completed, sequence };
    arrivals_.push_back({ now, sequence, { key.group, key.key } });
    return true;
}

bool KeyKeeper::makeRoom(Instant now)
{
    while (arrivals_.size() >= MostKeys) {
        if (now < arrivals_.front().at + ShortestKeyLife) {
            return false;
        }
        dropOldest();
    }
    return true;
}

void KeyKeeper::dropOldest()
{
    const Arrival &oldest = arrivals_.front();
    const auto kept = keys_.find(oldest.key);
    if (kept != keys_.end() && kept->second.sequence == oldest.sequence) {
        keys_.erase(kept);
    }
    arrivals_.pop_front();
}

} // namespace daisyrelay
