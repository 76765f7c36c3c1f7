// Durations and limits of the consensus among the control VMs.
#pragma once

#include "daisyrelay/base.h"

#include <vector>

namespace daisyrelay {

struct RaftOptions {
    VmId self;
    ZoneId zone; ///< Where this VM runs; voters are spread over zones.
    std::vector<VmId> controlVms; ///< The first members, and those that may join by themselves.
    std::uint64_t seed = 1; ///< Draws election timeouts and incarnations; must differ at each start.
    Duration heartbeatInterval = std::chrono::milliseconds(50);
    Duration electionTimeout = std::chrono::milliseconds(300); ///< The shortest; the longest is twice this.
    Duration storageRetryInterval = std::chrono::seconds(1); ///< Between attempts to write to a disk that failed.
    std::size_t snapshotEntryThreshold = 1000; ///< A snapshot is due after this many entries,
    std::size_t snapshotByteThreshold = std::size_t { 4 } * 1024 * 1024; ///< or this many bytes of commands.
    std::size_t retainedEntries = 100; ///< Entries kept before a snapshot for followers that are a little behind.
    std::size_t maxAppendEntries = 64; ///< The most entries in one message,
    std::size_t maxAppendBytes = std::size_t { 512 } * 1024; ///< and the most bytes after the first entry.
    std::size_t snapshotChunkBytes = std::size_t { 256 } * 1024; ///< Of a snapshot in one message.
    std::size_t maxCommandBytes = std::size_t { 1024 } * 1024;
    bool canBootstrap = true; ///< Whether an empty disk may mean the first start of the whole system.
    bool isMembershipOpen = false; ///< Whether VMs that are not listed may join, and silent members are replaced.
    std::size_t maxVoters = 0; ///< Members beyond this many stay learners; zero makes all of them voters.
    Duration voterTimeout = std::chrono::seconds(3); ///< A voter silent for longer gives its seat to a learner.
    Duration learnerTimeout = std::chrono::seconds(20); ///< A learner silent for longer is removed.
    std::size_t maxUncommittedEntries = 1024; ///< A leader refuses proposals while more wait for a quorum.
};

} // namespace daisyrelay
