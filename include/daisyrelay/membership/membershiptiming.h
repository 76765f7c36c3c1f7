// Durations and limits of the membership protocol.
#pragma once

#include "daisyrelay/base.h"

#include <cstddef>

namespace daisyrelay {

/// The defaults detect a crashed VM within two seconds and stay within the traffic budget of a node for any system
/// size.
struct MembershipTiming {
    Duration probeInterval = std::chrono::milliseconds(400); ///< One VM is probed in each interval.
    Duration pingRetryInterval = std::chrono::milliseconds(80); ///< Interval between the pings of one probe.
    /// Other VMs are asked to ping the target after this time.
    Duration indirectProbeDelay = std::chrono::milliseconds(160);
    /// The target is suspected if no VM has reached it within this time.
    Duration probeTimeout = std::chrono::milliseconds(350);
    /// Time in which a suspected VM can refute the suspicion; grows with the size of the system.
    Duration suspicionTimeout = std::chrono::milliseconds(600);
    Duration deadRetention = std::chrono::seconds(60); ///< How long a VM that died or left stays in the table.
    Duration reconnectInterval = std::chrono::seconds(1); ///< A VM that is not alive is pinged in each interval.
    /// One datagram with updates is sent in each interval.
    Duration disseminationInterval = std::chrono::milliseconds(100);
    Duration syncDelay = std::chrono::seconds(5); ///< Tables that differ for longer than this are exchanged.
    Duration syncInterval = std::chrono::seconds(15); ///< Minimum time between two exchanges that a VM starts.
    std::size_t maxUpdateBytesPerSecond = 3600; ///< Budget for updates, independent of the size of the system.
    std::size_t maxIndirectHelpers = 3; ///< VMs that are asked to ping a target in each round.
    std::size_t maxMembers = 4096;
};

} // namespace daisyrelay
