#include "forwardguard.h"

#include <algorithm>
#include <limits>

namespace daisyrelay {

static constexpr Duration OffsetPeriod = std::chrono::minutes(1);
static constexpr Duration SeenForwardRetention = std::chrono::minutes(2);
static constexpr std::size_t MaxSeenForwards = 100000;

/// A longer delay is taken for a change of the clock offset by a restart of the VM. The first message after such a
/// change counts as late, since its transit time is unknown.
static constexpr std::int64_t MaxPlausibleDelayMs = 120000;

std::int64_t ForwardGuard::delayMs(Instant now, std::int64_t sentAtMs, Peer &peer, bool isNew)
{
    const std::int64_t offset
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() - sentAtMs;
    const bool hasOffsetJumped = !isNew && offset > peer.minOffsetMs + MaxPlausibleDelayMs;
    if (isNew || hasOffsetJumped) {
        peer.minOffsetMs = offset;
        peer.currentPeriodMinOffsetMs = offset;
        peer.periodStart = now;
        return hasOffsetJumped ? std::numeric_limits<std::int64_t>::max() : 0;
    }
    if (now >= peer.periodStart + OffsetPeriod) {
        peer.minOffsetMs = peer.currentPeriodMinOffsetMs;
        peer.currentPeriodMinOffsetMs = offset;
        peer.periodStart = now;
    }
    peer.minOffsetMs = std::min(peer.minOffsetMs, offset);
    peer.currentPeriodMinOffsetMs = std::min(peer.currentPeriodMinOffsetMs, offset);
    return offset - peer.minOffsetMs;
}

ForwardStatus ForwardGuard::check(Instant now, const VmId &from, const ForwardRequest &forward)
{
    const auto [entry, isNew] = peers_.try_emplace(from);
    Peer &peer = entry->second;
    const std::int64_t delay = delayMs(now, forward.sentAtMs, peer, isNew);
    while (!peer.arrivals.empty()
        && (peer.arrivals.size() >= MaxSeenForwards || peer.arrivals.front().first + SeenForwardRetention <= now)) {
        peer.seenForwards.erase(peer.arrivals.front().second);
        peer.arrivals.pop_front();
    }
    if (!peer.seenForwards.insert(forward.forwardId).second) {
        return ForwardStatus::Duplicate;
    }
    peer.arrivals.emplace_back(now, forward.forwardId);
    return delay >= forward.request.timeLeft.count() ? ForwardStatus::Late : ForwardStatus::Accepted;
}

} // namespace daisyrelay
