// What a load run does; every run is bounded in sessions and time.
#pragma once

#include "daisyrelay/config.h"

#include <vector>

namespace daisyrelay {

/// One class of work in the mix.
struct LoadClass {
    std::string name;
    bool isWrite = false;
    bool isRepeatable = true;
    std::uint32_t weight = 1; ///< Share of the work.
    bool readsOwnKey = false; ///< Reads the session's own key and checks it against its last write.
};

struct LoadOptions {
    std::vector<Endpoint> entries;
    std::string service = "rotable-db";
    std::vector<std::string> groups { "g1", "g2", "g3" };
    std::vector<LoadClass> classes;
    std::uint32_t sessions = 8;
    std::uint32_t ratePerSecond = 0; ///< Open loop at this rate over all sessions; zero for a closed loop.
    std::chrono::seconds duration { 10 };
    std::uint64_t maxRequests = 0; ///< Ends the run after this many requests; zero leaves it to the duration.
    std::uint32_t resendPercent = 0; ///< Share of acknowledged requests whose idempotency key is sent once more.
    Term directTerm = 0; ///< If set, reads go straight to a database in this term, to measure what an entry adds.
    std::string verifyClass; ///< Class of the reads that check the result; its freshness should be zero.
    std::chrono::milliseconds timeout { 1000 };
    std::uint64_t seed = 1;
    bool showProgress = true;
};

} // namespace daisyrelay
