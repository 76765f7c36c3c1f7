#include "daisyrelay/ratelimits/ratelimitcoordinator.h"

#include <algorithm>
#include <cmath>

namespace daisyrelay {

namespace {

using namespace std::chrono_literals;

// Longer than the interval of probes plus their transmission to a busy entry.
constexpr Duration SilenceDuration = ProbeInterval + 500ms;

// Reservations are computed from all entries that were granted tokens, which is too much for each request.
constexpr Duration ReservationInterval = 100ms;

// Twice the number of entries we design for. More requesters than that are not entries of this system.
constexpr std::size_t MaxRequesters = 4096;

constexpr std::chrono::milliseconds MinRetryAfter = 1ms;
constexpr std::chrono::milliseconds MaxRetryAfter = 1s;

// Repeated additions of fractions must not cost a whole token.
constexpr double RoundingError = 1e-6;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RateLimitCoordinator::RateLimitCoordinator(RateLimitOptions options) : options_(options)
{
}

void RateLimitCoordinator::setLimits(Instant now, const std::vector<Workspace> &workspaces)
{
    std::unordered_map<WorkspaceId, Bucket> buckets;
    unlimited_.clear();
    for (const Workspace &workspace : workspaces) {
        if (workspace.operationsPerSecond == 0) {
            unlimited_.insert(workspace.name);
            continue;
        }
        Bucket bucket;
        bucket.filledAt = now;
        bucket.reservationsAt = now;
        const auto present = buckets_.find(workspace.name);
        if (present != buckets_.end()) {
            fill(now, present->second);
            bucket = std::move(present->second);
        }
        const bool isLowered = workspace.operationsPerSecond < bucket.limit.operationsPerSecond;
        bucket.limit = workspace;
        bucket.limit.keys.clear();
        bucket.tokens = std::min(bucket.tokens, bucketCapacity(options_, workspace));
        if (isLowered) {
            // Allowances of the higher rate would reserve more than the lower rate.
            bucket.reservedPerSecond = std::min<double>(bucket.reservedPerSecond, workspace.operationsPerSecond);
        }
        buckets.emplace(workspace.name, std::move(bucket));
    }
    buckets_ = std::move(buckets);
}

void RateLimitCoordinator::setAuthority(Instant now, const std::vector<std::uint32_t> &slots, Instant expiresAt)
{
    if (isReleased_) {
        return;
    }
    dropExpiredAuthority(now);
    std::array<bool, CoordinatorSlotCount> isGranted {};
    for (const std::uint32_t slot : slots) {
        if (slot < CoordinatorSlotCount && now < expiresAt) {
            isGranted.at(slot) = true;
        }
    }
    for (std::uint32_t index = 0; index < CoordinatorSlotCount; ++index) {
        Slot &slot = slots_.at(index);
        if (isGranted.at(index) && !slot.isHeld) {
            startSlot(now, index);
        } else if (!isGranted.at(index)) {
            slot = Slot {};
        }
    }
    expiresAt_ = expiresAt;
}

RateLimitGrant RateLimitCoordinator::onRequest(Instant now, const VmId &from, const RateLimitRequest &request)
{
    RateLimitGrant grant { request.workspace, request.runId, request.sequence, true, 0, 0ms };
    const std::uint32_t slotNumber = coordinatorSlotOf(request.workspace);
    Slot &slot = slots_.at(slotNumber);
    if (!slot.isHeld || now >= expiresAt_) {
        counters_.add("ratelimit.refused.no-authority");
        grant.isCoordinator = false;
        return grant;
    }
    if (const char *reason = reasonToRefuse(now, slot, from, request)) {
        counters_.add(std::string("ratelimit.refused.") + reason);
        return grant;
    }
    if (unlimited_.contains(request.workspace)) {
        grant.tokens = request.wantedTokens;
        return grant;
    }
    const auto found = buckets_.find(request.workspace);
    if (found == buckets_.end()) {
        // The requester may have a newer configuration.
        counters_.add("ratelimit.refused.unknown-workspace");
        grant.retryAfter = MaxRetryAfter;
        return grant;
    }
    Bucket &bucket = found->second;
    updateReservations(now, bucket, slot);
    grant.tokens = take(now, bucket, from, request.wantedTokens);
    if (grant.tokens < request.wantedTokens) {
        const double fillRate = std::max(bucket.limit.operationsPerSecond - bucket.reservedPerSecond, RoundingError);
        const double wait = std::min((1 - bucket.tokens) / fillRate, seconds(MaxRetryAfter));
        grant.retryAfter = std::clamp(std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(wait)),
            MinRetryAfter, MaxRetryAfter);
    }
    return grant;
}

std::vector<std::uint32_t> RateLimitCoordinator::heldSlots(Instant now) const
{
    std::vector<std::uint32_t> held;
    for (std::uint32_t index = 0; index < CoordinatorSlotCount && now < expiresAt_; ++index) {
        if (slots_.at(index).isHeld) {
            held.push_back(index);
        }
    }
    return held;
}

void RateLimitCoordinator::releaseAll(Instant now)
{
    setAuthority(now, {}, now);
    isReleased_ = true;
}

const Counters &RateLimitCoordinator::counters() const
{
    return counters_;
}

void RateLimitCoordinator::startSlot(Instant now, std::uint32_t slot)
{
    slots_.at(slot).isHeld = true;
    for (auto &[name, bucket] : buckets_) {
        if (coordinatorSlotOf(name) == slot) {
            bucket.tokens = 0;
            bucket.filledAt = now;
            bucket.reservedPerSecond = 0;
            bucket.reservationsAt = now;
            bucket.grants.clear();
        }
    }
}

void RateLimitCoordinator::dropExpiredAuthority(Instant now)
{
    if (now >= expiresAt_) {
        slots_.fill(Slot {});
    }
}

const char *RateLimitCoordinator::reasonToRefuse(
    Instant now, Slot &slot, const VmId &from, const RateLimitRequest &request)
{
    if (from.empty() || request.wantedTokens > MaxTokensPerRequest) {
        return "invalid";
    }
    const auto found = slot.requesters.find(from);
    if (found == slot.requesters.end()) {
        if (!makeRoom(now, slot)) {
            return "too-many-entries";
        }
        slot.requesters.emplace(from, Requester { request.runId, request.runId, request.sequence, now });
        return nullptr;
    }
    Requester &requester = found->second;
    if (request.runId != requester.runId) {
        if (request.runId == requester.previousRunId) {
            return "outdated-run";
        }
        // The entry restarted: it has no allowance, so nothing is reserved for it.
        forgetEntry(coordinatorSlotOf(request.workspace), from);
        requester = { request.runId, requester.runId, request.sequence, now };
        return nullptr;
    }
    if (request.sequence <= requester.lastSequence) {
        return "repeated";
    }
    requester.lastSequence = request.sequence;
    requester.heardAt = now;
    return nullptr;
}

bool RateLimitCoordinator::makeRoom(Instant now, Slot &slot)
{
    if (slot.requesters.size() >= MaxRequesters) {
        std::erase_if(
            slot.requesters, [now](const auto &item) { return item.second.heardAt + GrantHistoryDuration <= now; });
    }
    return slot.requesters.size() < MaxRequesters;
}

void RateLimitCoordinator::forgetEntry(std::uint32_t slot, const VmId &vm)
{
    for (auto &[name, bucket] : buckets_) {
        if (coordinatorSlotOf(name) == slot) {
            bucket.grants.erase(vm);
        }
    }
}

void RateLimitCoordinator::fill(Instant now, Bucket &bucket)
{
    if (now <= bucket.filledAt) {
        return;
    }
    const double rate = std::max(0.0, bucket.limit.operationsPerSecond - bucket.reservedPerSecond);
    bucket.tokens
        = std::min(bucketCapacity(options_, bucket.limit), bucket.tokens + (rate * seconds(now - bucket.filledAt)));
    bucket.filledAt = now;
}

void RateLimitCoordinator::updateReservations(Instant now, Bucket &bucket, const Slot &slot)
{
    if (now < bucket.reservationsAt + ReservationInterval) {
        return;
    }
    fill(now, bucket);
    bucket.reservationsAt = now;
    bucket.reservedPerSecond = 0;
    for (auto entry = bucket.grants.begin(); entry != bucket.grants.end();) {
        const auto requester = slot.requesters.find(entry->first);
        const std::uint64_t granted = entry->second.tokens.total(now);
        if (requester == slot.requesters.end() || granted == 0) {
            entry = bucket.grants.erase(entry);
            continue;
        }
        const Duration silence = now - requester->second.heardAt;
        const bool isSilent = silence >= SilenceDuration && silence < MaxOfflineDuration;
        if (isSilent) {
            const double perSecond = offlineAllowance(options_, bucket.limit, granted) / seconds(MaxOfflineDuration);
            bucket.reservedPerSecond += perSecond;
            if (!entry->second.isReserved) {
                // The entry may have used its allowance since it was last heard.
                bucket.tokens -= perSecond * seconds(silence);
            }
        }
        entry->second.isReserved = isSilent;
        ++entry;
    }
}

std::uint32_t RateLimitCoordinator::take(Instant now, Bucket &bucket, const VmId &from, std::uint32_t wanted)
{
    fill(now, bucket);
    const double available = std::floor(std::max(0.0, bucket.tokens + RoundingError));
    const auto tokens = static_cast<std::uint32_t>(std::min<double>(wanted, available));
    if (tokens > 0) {
        bucket.tokens -= tokens;
        bucket.grants.try_emplace(from).first->second.tokens.add(now, tokens);
    }
    return tokens;
}

} // namespace daisyrelay
