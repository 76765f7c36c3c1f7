// What a stand-in database does wrong on purpose.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace daisyrelay {

struct Faults {
    std::chrono::milliseconds lag { 0 }; ///< Delay before a replica applies what it received.
    std::chrono::milliseconds lateAnswers { 0 }; ///< Delay of each answer to a statement.
    std::uint32_t silenceNext = 0; ///< This many statements are never answered, nor is anything on their connection.
    bool stalled = false; ///< Statements and questions are never answered.
    bool cut = false; ///< Neither announces nor replicates, and answers nobody.
    std::set<std::string> cutHosts; ///< Nothing is replicated from databases at these addresses.
    bool leaving = false; ///< Announces that it leaves.
};

} // namespace daisyrelay
