// Faults injected into a stand-in database.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace daisyrelay {

/// Active faults; the default is none.
struct Faults {
    std::chrono::milliseconds replicationLag { 0 }; ///< Delay before a replica applies received entries.
    std::chrono::milliseconds responseDelay { 0 }; ///< Delay of each response to a statement.
    /// Number of upcoming statements that get no response. Their connections get no further response either.
    std::uint32_t statementsToIgnore = 0;
    bool isStalled = false; ///< Whether statements and status requests get no response.
    /// Whether the server stops announcing and replicating and responds only to requests for /faults.
    bool isIsolated = false;
    std::set<std::string> unreachableHosts; ///< Hosts that this database does not replicate from.
    bool isLeaving = false; ///< Whether the server announces that it is leaving.
};

} // namespace daisyrelay
