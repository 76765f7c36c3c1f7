// Timeouts, intervals and limits of the proxy.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

struct ProxyTiming {
    /// Timeout of opening a connection. A handshake with an idle backend server takes 12 ms.
    Duration connectTimeout = std::chrono::milliseconds(600);
    /// Delay after the first connection that could not be opened; doubles with each further failure.
    Duration initialBackoff = std::chrono::milliseconds(30);
    Duration maxBackoff = std::chrono::milliseconds(800);
    /// Delay after a server has rejected a connection because of its connection limit. Not increased: VMs release
    /// connections within a few hundred milliseconds, and a rejection costs the server little.
    Duration connectionLimitBackoff = std::chrono::milliseconds(60);
    /// A server that has rejected all connections because of its limit for this time counts as unreachable. VMs that
    /// take over connections from others get them sooner.
    Duration maxConnectionLimitWait = std::chrono::milliseconds(600);
    /// Delay before a statement is sent again to a server that rejected it as busy.
    Duration busyBackoff = std::chrono::milliseconds(8);
    /// A new position of the primary is requested when the newest sample is older. Staleness bounds are at least one
    /// second.
    Duration sampleInterval = std::chrono::milliseconds(300);
    /// Position samples closer to each other than this are not kept.
    Duration minSampleSpacing = std::chrono::milliseconds(20);
    /// Older position samples are dropped; no staleness bound needs them.
    Duration maxSampleAge = std::chrono::seconds(10);
    /// A server without any response for this time while an exchange is in flight gets no statements.
    Duration unresponsiveTimeout = std::chrono::milliseconds(250);
    /// A home from which nothing has arrived for this time while it owes a response is asked for a sign of life.
    Duration homeProbeDelay = std::chrono::milliseconds(60);
    /// A statement without a response for this time is asked for even if its home responds to others: the message may
    /// have been lost with a connection.
    Duration lostStatementDelay = std::chrono::milliseconds(250);
    /// Latest time of a retry after a refusal because of load. Callers retry twice, so that both retries are over
    /// within a second of the end of an overload.
    Duration maxOverloadRetryAfter = std::chrono::milliseconds(400);
    /// Minimum time before a read is also sent to a second server.
    Duration minHedgeDelay = std::chrono::milliseconds(60);
    /// Added cost of a server in another availability zone: one more round trip.
    Duration crossZoneCost = std::chrono::milliseconds(2);
    /// Minimum interval between reports that are sent early because a server is needed for which there is no quota.
    Duration minDemandReportInterval = std::chrono::milliseconds(50);
    /// Positions are not sampled while a service is unused for longer than this.
    Duration sampleIdleTimeout = std::chrono::seconds(5);
    /// Interval between two checks of all services for a sample that is due.
    Duration serviceCheckInterval = std::chrono::milliseconds(30);
    /// How long the peak demand for connections is remembered.
    Duration demandWindow = std::chrono::seconds(5);
    /// The entry is isolated if control has not responded for this time and it cannot use most primaries, or soon will
    /// not. A change of the control leader takes less time. A primary without a response for this time counts as
    /// unusable.
    Duration isolationTimeout = std::chrono::milliseconds(1000);
    /// Time until the load balancer has stopped sending callers: two missed health checks, one second apart.
    Duration drainNoticeTime = std::chrono::milliseconds(2300);
    /// Part of the grace period that is reserved for sending responses and closing the remaining sessions.
    Duration drainCloseTime = std::chrono::milliseconds(900);
    /// Time between the end of the process and the end of the grace period. The event loop of a small VM under load is
    /// late by up to 100 ms.
    Duration drainEndMargin = std::chrono::milliseconds(300);
    /// How long a new session waits for the first configuration.
    Duration maxConfigurationWait = std::chrono::milliseconds(1000);
    /// Replicas are known to be recorded by control for this time after it has confirmed that. Control removes a record
    /// no sooner than after thirty seconds of silence.
    Duration maxReplicaRecordAge = std::chrono::seconds(10);
    /// A BEGIN needs no slot at the server, so the response is expected at once.
    Duration beginTimeout = std::chrono::milliseconds(120);
    /// How long the exchanges in flight with a withdrawn primary may take to end. Most statements take less; those that
    /// do not are cut off, and their writes are in doubt.
    Duration maxReleaseDelay = std::chrono::milliseconds(80);
    /// A failover is finished within this time; statements do not wait for the end of a longer outage.
    Duration maxFailoverTime = std::chrono::milliseconds(1500);
    /// Fraction of the latency target; statements that have waited longer yield to those that can still meet it.
    double onTimeFraction = 0.7;
    /// Maximum time in the queue, as a multiple of the route's latency target.
    double maxQueueTimeInTargets = 1;
    /// Maximum time in the queue, as a fraction of the statement's timeout; the lower maximum applies.
    double maxQueueTimeInTimeouts = 0.3;
    /// How long a replica that rejected a read because of lag is not sent similar reads: a few times the usual
    /// replication delay. Doubles with each consecutive rejection.
    Duration initialLagBackoff = std::chrono::milliseconds(150);
    /// Upper limit of the lag backoff; below the usual staleness bounds.
    Duration maxLagBackoff = std::chrono::milliseconds(1200);
    /// Idle connections beyond one are closed after this time. Those of a VM that loses power count against the
    /// server's connection limit when the VM starts again.
    Duration idleConnectionTimeout = std::chrono::seconds(3);
    /// The same if this entry may open only few connections to the server. The entries together then use most of the
    /// server's limit, and idle connections would leave no room for entries that restart.
    Duration idleScarceConnectionTimeout = std::chrono::milliseconds(500);
    /// Largest quota of connections to a server that counts as few.
    std::uint32_t scarceQuota = 4;
    /// The same for connections that belong to a workspace. Fewer statements can use each of them, so they are kept for
    /// longer, and closed earlier if another workspace needs the room.
    Duration idleWorkspaceConnectionTimeout = std::chrono::seconds(20);
    /// A session is idle if nothing has happened for this time; a request in flight has arrived by then.
    Duration minIdleTime = std::chrono::milliseconds(50);
    /// When callers whose key could not be checked may try again: a restarted entry has a configuration by then.
    Duration unconfirmedRetryAfter = std::chrono::milliseconds(500);
    /// How long a draining server is still used if no other server can run a statement. A server drains for seven
    /// seconds.
    Duration maxDrainingUse = std::chrono::milliseconds(3000);
    /// Maximum attempts of one statement, not counting rejected ones.
    std::uint32_t maxAttempts = 6;
    /// Maximum number of statements prepared on one connection.
    std::size_t maxPreparedStatements = 64;
    /// Maximum number of prepared statements and values of one session.
    std::size_t maxSessionNames = 256;
};

} // namespace daisyrelay
