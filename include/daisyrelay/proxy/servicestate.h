// State of one service at an entry: primary, backend servers, log positions and queued statements.
#pragma once

#include "daisyrelay/admission.h"
#include "daisyrelay/proxy/commitreceipts.h"
#include "daisyrelay/proxy/freshnesshistory.h"
#include "daisyrelay/wire.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace daisyrelay {

/// How long a new statement is expected to wait and to run.
struct PredictedLatency {
    Duration wait {};
    Duration serviceTime {};
};

struct ServiceState {
    PrimaryRecord primary;
    std::set<BackendId> backends; ///< All backend servers of the service.
    bool isFailingOver = false;
    Instant failoverEndsAt {}; ///< Expected by control; valid while isFailingOver.
    std::uint32_t syncReplicas = 0; ///< Replicas that must have received a write before it is acknowledged.
    CommitReceipts receipts;
    FreshnessHistory freshness;
    AdmissionQueue queue;
    ClassAdmission admission;
    /// Generation and process start of the primary that has committed a write since, or whose position has reached the
    /// end of its log. Before, it may report a position while it still applies what it had received.
    std::pair<std::uint64_t, std::int64_t> servingPrimary;
    Instant lastUsedAt {}; ///< When a statement was last submitted.
    Instant lastSampledAt {}; ///< When a position was last requested.
    std::map<std::uint64_t, Instant> positionRequests; ///< When each request to a home was sent, by sequence.
    struct PositionRequester {
        VmId entry;
        std::uint64_t sequence = 0;
        Instant receivedAt {};
    };
    std::vector<PositionRequester> positionRequesters; ///< Entries that wait for a position of the primary.
};

} // namespace daisyrelay
