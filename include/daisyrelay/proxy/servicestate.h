// What an entry knows about one service.
#pragma once

#include "daisyrelay/admission.h"
#include "daisyrelay/proxy/freshnesshistory.h"
#include "daisyrelay/wire.h"

#include <map>
#include <set>
#include <vector>

namespace daisyrelay {

struct ServiceState {
    PrimaryRecord primary;
    std::set<BackendId> backends; ///< All backend servers of the service.
    bool isFailingOver = false;
    Instant failoverEndsAt {}; ///< Expected by control; valid while isFailingOver.
    FreshnessHistory freshness;
    AdmissionQueue queue;
    ClassAdmission admission;
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
