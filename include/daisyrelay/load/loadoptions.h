// Options of a load run. Every run is bounded in sessions and time.
#pragma once

#include "daisyrelay/config.h"

#include <vector>

namespace daisyrelay {

/// One request class of the workload.
struct LoadClass {
    std::string name;
    bool isWrite = false; ///< Whether requests of the class write.
    bool isRepeatable = true; ///< If false, writes are additions with an idempotency key.
    std::uint32_t weight = 1; ///< Relative share of the requests.
    bool readsOwnKey = false; ///< Whether reads check the last write of their own session.
};

struct LoadOptions {
    std::vector<Endpoint> entries; ///< Entries to send requests to, chosen at random.
    std::string service = "rotable-db";
    std::vector<std::string> groups { "g1", "g2", "g3" };
    std::vector<LoadClass> classes;
    std::uint32_t sessions = 8; ///< Number of concurrent sessions.
    std::uint32_t ratePerSecond = 0; ///< Open-loop rate over all sessions; zero selects a closed loop.
    std::chrono::seconds duration { 10 };
    std::uint64_t maxRequests = 0; ///< Ends the run after this many requests; zero means no limit.
    std::uint32_t resendPercent = 0; ///< Share of acknowledged requests sent again with the same idempotency key.
    /// If not zero, `entries` are databases, and reads are sent to them directly in this term, to measure the overhead
    /// of an entry.
    Term directTerm = 0;
    std::string verifyClass; ///< Class of the final verification reads; its freshness should be zero.
    std::chrono::milliseconds timeout { 1000 }; ///< Time limit of each request, sent to the entry.
    std::uint64_t seed = 1; ///< Seed of all random choices; also part of the keys.
    bool showProgress = true; ///< Whether to print progress every second.
};

} // namespace daisyrelay
