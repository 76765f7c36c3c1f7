// Durations and bounds of the membership protocol.
#pragma once

#include "daisyrelay/base.h"

#include <cstddef>

namespace daisyrelay {

/// The defaults find a crashed VM within two seconds and stay within the traffic that a node may use at any size.
struct MembershipTiming {
    Duration probeInterval = std::chrono::milliseconds(400); ///< One VM is probed in each interval.
    Duration pingRetry = std::chrono::milliseconds(80); ///< Between the pings of one probe.
    Duration indirectProbeDelay = std::chrono::milliseconds(160); ///< Other VMs are asked to ping from then on.
    Duration probeTimeout = std::chrono::milliseconds(350); ///< The VM is suspected if nobody reached it.
    Duration suspicionTimeout = std::chrono::milliseconds(600); ///< Time for a refutation; grows with the system.
    Duration deadRetention = std::chrono::seconds(60);
    Duration reconnectInterval = std::chrono::seconds(1); ///< A VM that is not alive is pinged in each interval.
    Duration disseminationInterval = std::chrono::milliseconds(100);
    Duration syncDelay = std::chrono::seconds(5); ///< Tables that differ for longer are exchanged.
    Duration syncInterval = std::chrono::seconds(15); ///< Least time between two exchanges that a VM starts.
    std::size_t maxUpdateBytesPerSecond = 3600; ///< Budget for news, whatever the size of the system.
    std::size_t maxIndirectHelpers = 3;
    std::size_t maxMembers = 4096;
};

} // namespace daisyrelay
