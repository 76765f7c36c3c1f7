// Durations of leases and failure detection.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// Every duration that the control leader decides by.
struct ControlTiming {
    Duration lease = std::chrono::milliseconds(1000);
    Duration maxClockDrift = std::chrono::milliseconds(50); ///< Added to each lease by the side that waits for its end.
    Duration formationDelay = std::chrono::milliseconds(1000); ///< How long databases of a new group have to appear.
    Duration probeAfterSilence = std::chrono::milliseconds(400); ///< A primary that nobody heard for longer is probed.
    Duration maxSilence = std::chrono::milliseconds(600); ///< A database that nobody heard for longer is suspect.
    Duration maxHomeSilence = std::chrono::milliseconds(300); ///< The databases of a home silent for longer are probed.
    Duration maxStatementStall
        = std::chrono::milliseconds(400); ///< A statement unanswered for longer makes a database suspect.
    Duration probeInterval = std::chrono::milliseconds(200);
    Duration surveyTimeout = std::chrono::milliseconds(300); ///< How long databases have to tell their positions.
    Duration surveyRoundInterval
        = std::chrono::milliseconds(20); ///< Between two questions for a position that is awaited.
    Duration handoverTimeout = std::chrono::milliseconds(2000); ///< How long a replica has to reach a leaving primary.
    Duration holdOff = std::chrono::milliseconds(1000); ///< After a failover; doubles while a group flaps.
    Duration maxHoldOff = std::chrono::milliseconds(16000);
    Duration flapWindow = std::chrono::seconds(60); ///< A group that kept its primary for longer does not flap.
    Duration memberExpiry = std::chrono::minutes(5); ///< A member silent for longer is removed.
    Duration entryExpiry = std::chrono::minutes(11); ///< Longer than an entry keeps its fixed shares without a lease.
};

} // namespace daisyrelay
