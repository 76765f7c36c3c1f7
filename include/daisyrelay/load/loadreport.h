// What a load run saw, as JSON for programs and as a table for people.
#pragma once

#include "daisyrelay/base.h"

#include <map>
#include <string>
#include <vector>

namespace daisyrelay {

/// The outcome of one class of work.
struct ClassReport {
    std::uint64_t succeeded = 0;
    std::uint64_t servedByReplica = 0;
    std::map<std::string, std::uint64_t> rejectedByKind; ///< By error kind.
    std::vector<double> latenciesMs; ///< Of the requests that succeeded.

    /// Returns the quantile \p quantile of the latencies, in milliseconds.
    [[nodiscard]] double latencyMs(double quantile) const;
};

struct LoadReport {
    double seconds = 0;
    std::map<std::string, ClassReport> classes;
    std::map<std::string, double> maxWriteGapMs; ///< By group: longest time between two acknowledged writes.
    std::uint64_t staleOwnReads = 0; ///< Reads that did not see the session's own write.
    std::uint64_t lostWrites = 0; ///< Acknowledged writes that were gone at the end.
    std::uint64_t duplicatedWrites = 0; ///< Requests marked not repeatable that ran more than once.
    std::uint64_t transportErrors = 0; ///< Requests that were sent and got no whole answer.
    std::uint64_t failedConnects = 0; ///< Connections that an entry did not accept; another entry was tried.
    std::uint64_t resentRequests = 0; ///< Requests sent once more with the idempotency key of an acknowledged one.
    std::uint64_t verifyAttempts = 0; ///< Reads of the final check that were refused and tried again.
    std::uint64_t unverifiedSessions = 0; ///< Sessions whose writes could not be read back at the end.

    [[nodiscard]] bool hasNoViolations() const;
    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] std::string toTable() const;
};

} // namespace daisyrelay
