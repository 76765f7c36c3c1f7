// Durations and limits by which the proxy decides.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

struct ProxyTiming {
    Duration connectTimeout = std::chrono::milliseconds(600); ///< A handshake takes 12 ms of an idle backend server.
    Duration initialBackoff = std::chrono::milliseconds(30); ///< After a connection that could not be opened,
    Duration maxBackoff = std::chrono::milliseconds(800); ///< doubled up to this.
    Duration busyBackoff = std::chrono::milliseconds(8); ///< Before a statement is offered again to the same server.
    Duration sampleInterval = std::chrono::milliseconds(300); ///< A newer position of the primary is asked for then;
                                                              ///< bounds of staleness are a second and more.
    Duration minSampleSpacing = std::chrono::milliseconds(20); ///< Positions closer to each other are not kept.
    Duration maxSampleAge = std::chrono::seconds(10); ///< Older positions serve no bound.
    Duration unresponsiveTimeout
        = std::chrono::milliseconds(250); ///< A primary that answers nothing for longer gets no writes.
    Duration minHedgeDelay = std::chrono::milliseconds(60); ///< A read is not given to a second server earlier.
    Duration crossZoneCost = std::chrono::milliseconds(2); ///< Of a server in another zone: one more round trip.
    Duration demandWindow = std::chrono::seconds(5); ///< Demand for connections is remembered for so long.
    Duration isolationTimeout
        = std::chrono::milliseconds(1000); ///< Of silence of control and primaries, before callers are
                                           ///< sent elsewhere; a change of leader takes less.
    Duration drainNoticeTime
        = std::chrono::milliseconds(2300); ///< The balancer needs two missed checks of a second each.
    Duration drainCloseTime = std::chrono::milliseconds(900); ///< Of the grace, for closing what is left.
    Duration maxConfigurationWait
        = std::chrono::milliseconds(1000); ///< A new session waits so long for the configuration.
    Duration beginTimeout = std::chrono::milliseconds(120); ///< A BEGIN waits for no slot, so it is answered at once.
    Duration maxFailoverTime
        = std::chrono::milliseconds(1500); ///< A failover is over by then; nobody waits for longer ones.
    double onTimeFraction
        = 0.7; ///< Of its target: a statement that has waited longer gives way to those that have not.
    double maxQueueTimeInTargets = 1; ///< How long a statement may wait to be sent, in latency targets of its route.
    double maxQueueTimeInTimeouts = 0.3; ///< The same, as a part of the statement's timeout.
    Duration initialLagBackoff
        = std::chrono::milliseconds(150); ///< A replica that lagged is not asked for what it lacked for
                                          ///< so long: a few times the usual delay of replication,
    Duration maxLagBackoff = std::chrono::milliseconds(1200); ///< doubled up to this, below the usual staleness.
    Duration idleConnectionTimeout
        = std::chrono::seconds(3); ///< Idle connections above one are closed then: those of a VM
                                   ///< that loses its power stand in the way of its next start.
    Duration maxDrainingUse = std::chrono::milliseconds(3000); ///< A server that leaves gets work for so long at most,
                                                               ///< if no other can run it; it stays for seven seconds.
    std::uint32_t maxAttempts = 6; ///< Of one statement; refused ones do not count.
    std::size_t maxPreparedStatements = 64; ///< Prepared statements on one connection.
    std::size_t maxSessionNames = 256; ///< Prepared statements, and values, of one session.
};

} // namespace daisyrelay
