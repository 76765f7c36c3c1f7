// Timing and limits of the consensus among the control VMs.
#pragma once

#include "daisyrelay/base.h"

#include <vector>

namespace daisyrelay {

struct RaftOptions {
    VmId self; ///< Id of this VM.
    ZoneId zone; ///< Availability zone of this VM; voters are spread over zones.
    std::vector<VmId> controlVms; ///< Initial members; these VMs may join without an open membership.
    std::uint64_t seed = 1; ///< Seed for election timeouts and incarnations; must differ at each start.
    Duration heartbeatInterval = std::chrono::milliseconds(50); ///< Interval between heartbeats of a leader.
    /// Minimum election timeout; each timeout is drawn at random from one to two times this duration.
    Duration electionTimeout = std::chrono::milliseconds(300);
    Duration storageRetryInterval = std::chrono::seconds(1); ///< Delay before a failed write is retried.
    std::size_t snapshotEntryThreshold = 1000; ///< Entries after a snapshot that make the next one due.
    std::size_t snapshotByteThreshold = std::size_t { 4 } * 1024 * 1024; ///< Command bytes that make a snapshot due.
    std::size_t retainedEntries = 100; ///< Entries kept before a snapshot for followers that are slightly behind.
    std::size_t maxAppendEntries = 64; ///< Maximum number of entries in one message.
    std::size_t maxAppendBytes = std::size_t { 512 } * 1024; ///< Limit on command bytes for entries after the first.
    std::size_t snapshotChunkBytes = std::size_t { 256 } * 1024; ///< Maximum snapshot bytes in one message.
    std::size_t maxCommandBytes = std::size_t { 1024 } * 1024; ///< A leader rejects larger commands.
    bool canBootstrap = true; ///< Whether VMs with empty disks may bootstrap the first membership.
    /// Whether VMs outside controlVms may join and unresponsive members are replaced.
    bool isMembershipOpen = false;
    std::size_t maxVoters = 0; ///< Maximum number of voters, other members stay learners; zero means no limit.
    Duration voterTimeout = std::chrono::seconds(3); ///< A learner replaces a voter that is unresponsive for longer.
    Duration learnerTimeout = std::chrono::seconds(20); ///< A learner that is unresponsive for longer is removed.
    std::size_t maxUncommittedEntries = 1024; ///< A leader rejects proposals at this many uncommitted entries.
};

} // namespace daisyrelay
