// Durations of leases and of failure detection.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

/// Durations that the control leader uses.
struct ControlTiming {
    Duration leaseDuration = std::chrono::milliseconds(1000);
    Duration maxClockDrift = std::chrono::milliseconds(50); ///< Added to each lease by the side that waits for its end.
    /// A new group forms once no further database has announced itself for this long.
    Duration formationDelay = std::chrono::milliseconds(1000);
    /// A new group of which only one database is known forms after this time. Such a group has no failover until a
    /// second database has joined, so it waits for processes that start late.
    Duration soleFormationDelay = std::chrono::milliseconds(3000);
    /// A primary without an announcement for longer than this is probed.
    Duration probeAfterSilence = std::chrono::milliseconds(400);
    /// A primary without an announcement for longer than this is suspected.
    Duration maxSilence = std::chrono::milliseconds(600);
    /// The databases whose home missed heartbeats for longer than this are probed.
    Duration maxHomeSilence = std::chrono::milliseconds(300);
    /// A database that has not responded to a statement for longer than this is suspected.
    Duration maxStatementStall = std::chrono::milliseconds(400);
    Duration probeInterval = std::chrono::milliseconds(200); ///< Minimum time between two probes of a primary.
    Duration surveyTimeout = std::chrono::milliseconds(300); ///< How long databases have to report their positions.
    /// Minimum time between two queries to the same database.
    Duration surveyRoundInterval = std::chrono::milliseconds(20);
    /// How long a replica has to catch up with a leaving primary.
    Duration handoverTimeout = std::chrono::milliseconds(2000);
    /// Minimum time between two failovers; doubles while a group flaps.
    Duration holdOff = std::chrono::milliseconds(1000);
    Duration maxHoldOff = std::chrono::milliseconds(16000);
    Duration flapWindow
        = std::chrono::seconds(60); ///< A group that kept its primary for longer than this is not flapping.
    Duration memberExpiry = std::chrono::minutes(5); ///< A member silent for longer than this is removed.
    Duration entryExpiry = std::chrono::minutes(11); ///< Longer than an entry keeps its fixed shares without a lease.
};

} // namespace daisyrelay
