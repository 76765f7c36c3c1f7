// What a stand-in database does wrong on purpose.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace daisyrelay {

struct Faults {
    std::chrono::milliseconds replicationLag { 0 }; ///< Delay before a replica applies what it received.
    std::chrono::milliseconds responseDelay { 0 }; ///< Delay of each answer to a statement.
    std::uint32_t statementsToIgnore
        = 0; ///< This many statements are never answered, nor is anything on their connection.
    bool isStalled = false; ///< Statements and questions are never answered.
    bool isIsolated = false; ///< Neither announces nor replicates, and answers nobody.
    std::set<std::string> unreachableHosts; ///< Nothing is replicated from databases at these addresses.
    bool isLeaving = false; ///< Announces that it leaves.
};

} // namespace daisyrelay
