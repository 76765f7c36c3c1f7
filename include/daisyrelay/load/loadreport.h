// Results of a load run, as JSON and as a human-readable table.
#pragma once

#include "daisyrelay/base.h"

#include <map>
#include <string>
#include <vector>

namespace daisyrelay {

/// Results of one request class.
struct ClassReport {
    std::uint64_t succeeded = 0;
    std::uint64_t servedByReplica = 0; ///< Successful requests that a replica executed.
    std::map<std::string, std::uint64_t> rejectedByKind; ///< Error responses by error kind.
    std::vector<double> latenciesMs; ///< Latencies of successful requests.

    /// Returns the given quantile (0 to 1) of the latencies in milliseconds, or zero without successful requests.
    [[nodiscard]] double latencyMs(double quantile) const;
};

struct LoadReport {
    double seconds = 0; ///< Duration of the run.
    std::map<std::string, ClassReport> classes;
    std::map<std::string, double> maxWriteGapMs; ///< Longest time between two acknowledged writes, by group.
    std::uint64_t staleOwnReads = 0; ///< Reads that did not see an earlier write of their own session.
    std::uint64_t lostWrites = 0; ///< Acknowledged writes that were missing at the end.
    std::uint64_t duplicatedWrites = 0; ///< Surplus executions of requests that are not repeatable.
    std::uint64_t transportErrors = 0; ///< Requests that got no complete response.
    std::uint64_t failedConnects = 0; ///< Connection attempts that failed; another entry was tried.
    std::uint64_t resentRequests = 0; ///< Acknowledged requests sent again with the same idempotency key.
    std::uint64_t failedVerifyReads = 0; ///< Final verification reads that failed; retried up to a limit.
    std::uint64_t unverifiedSessions = 0; ///< Sessions whose final verification did not complete.

    /// Whether no consistency guarantee was violated and all sessions were verified.
    [[nodiscard]] bool hasNoViolations() const;
    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] std::string toTable() const;
};

} // namespace daisyrelay
