#include "daisyrelay/limits/reconnectschedule.h"

#include <algorithm>
#include <utility>

namespace daisyrelay {

/// A connection that lasted for this time was not refused by an overloaded peer.
static constexpr Duration MinHealthyDuration = std::chrono::seconds(1);

bool ReconnectSchedule::isDue(Instant now) const
{
    return now >= nextAttemptAt_;
}

void ReconnectSchedule::onConnected(Instant now)
{
    connectedAt_ = now;
}

void ReconnectSchedule::onClosed(Instant now, const RandomSource &random)
{
    const std::optional<Instant> connectedAt = std::exchange(connectedAt_, std::nullopt);
    const bool wasHealthy = connectedAt && now - *connectedAt >= MinHealthyDuration;
    constexpr std::uint32_t MaxFailures = 32;
    failures_ = wasHealthy ? 1 : std::min(failures_ + 1, MaxFailures);
    nextAttemptAt_ = now + backoffDelay(failures_, random, ReconnectDelays);
}

} // namespace daisyrelay
