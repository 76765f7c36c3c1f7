#include "forwardguard.h"

#include <algorithm>
#include <limits>

namespace daisyrelay {

static constexpr Duration OffsetPeriod = std::chrono::minutes(1);
static constexpr Duration Remembered = std::chrono::minutes(2);
static constexpr std::size_t MostRemembered = 100000;

/// A VM that restarts gets another clock. The first message after such a jump counts as late, since it may be.
static constexpr std::int64_t LongestDelayMs = 120000;

std::int64_t ForwardGuard::delayMs(Instant now, std::int64_t sentAtMs, Peer &peer, bool isNew)
{
    const std::int64_t offset
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() - sentAtMs;
    const bool jumped = !isNew && offset > peer.leastOffsetMs + LongestDelayMs;
    if (isNew || jumped) {
        peer.leastOffsetMs = offset;
        peer.nextOffsetMs = offset;
        peer.periodStart = now;
        return jumped ? std::numeric_limits<std::int64_t>::max() : 0;
    }
    if (now >= peer.periodStart + OffsetPeriod) {
        peer.leastOffsetMs = peer.nextOffsetMs;
        peer.nextOffsetMs = offset;
        peer.periodStart = now;
    }
    peer.leastOffsetMs = std::min(peer.leastOffsetMs, offset);
    peer.nextOffsetMs = std::min(peer.nextOffsetMs, offset);
    return offset - peer.leastOffsetMs;
}

ForwardVerdict ForwardGuard::check(Instant now, const VmId &from, const ForwardRequest &forward)
{
    const auto [entry, isNew] = peers_.try_emplace(from);
    Peer &peer = entry->second;
    const std::int64_t delay = delayMs(now, forward.sentAtMs, peer, isNew);
    while (
        !peer.order.empty() && (peer.order.size() >= MostRemembered || peer.order.front().first + Remembered <= now)) {
        peer.seen.erase(peer.order.front().second);
        peer.order.pop_front();
    }
    if (!peer.seen.insert(forward.forwardId).second) {
        return ForwardVerdict::Duplicate;
    }
    peer.order.emplace_back(now, forward.forwardId);
    return delay >= forward.request.timeLeft.count() ? ForwardVerdict::Late : ForwardVerdict::Accepted;
}

} // namespace daisyrelay
