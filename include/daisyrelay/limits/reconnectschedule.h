// When a lost connection may be opened again.
#pragma once

#include "daisyrelay/limits/backoff.h"

#include <optional>

namespace daisyrelay {

/// The delay doubles with each attempt that fails or whose connection is lost soon, so that VMs that lost the same peer
/// do not all connect to it at once and again and again.
class ReconnectSchedule
{
public:
    [[nodiscard]] bool isDue(Instant now) const;

    void onConnected(Instant now);

    /// Must be called when an attempt has failed or the connection was lost.
    void onClosed(Instant now, const RandomSource &random);

private:
    std::uint32_t failures_ = 0;
    Instant nextAttemptAt_ {};
    std::optional<Instant> connectedAt_;
};

/// Delays between a lost connection and the next attempt. The longest leaves time for a connection within the second in
/// which service must resume after a partition.
constexpr BackoffRange ReconnectDelays { std::chrono::milliseconds(50), std::chrono::milliseconds(400) };

} // namespace daisyrelay
