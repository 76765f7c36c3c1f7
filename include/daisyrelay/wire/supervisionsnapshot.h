// The replicated state of the supervisor as stored in a snapshot.
#pragma once

#include "daisyrelay/wire/backendrecord.h"
#include "daisyrelay/wire/leaseholders.h"
#include "daisyrelay/wire/routeconfiguration.h"

#include <map>
#include <string>
#include <vector>

namespace daisyrelay {

struct SupervisionSnapshot {
    RouteConfiguration configuration;
    std::string configurationSource;
    std::uint64_t topologyIndex = 0;
    std::vector<BackendRecord> backends;
    std::vector<PrimaryRecord> primaries;
    std::vector<BackendRecord> removed; ///< Last incarnations of removed backend servers, oldest first.
    std::vector<PrimaryRecord> pendingPromotions; ///< Decided promotions whose outcome is not recorded.
    std::vector<LeaseHolderRecord> leaseHolders; ///< Empty in snapshots of versions that did not record them.
    std::uint32_t activeFormat = 0; ///< Zero until a version was activated.
    bool areLeaseHoldersComplete = false;

    bool operator==(const SupervisionSnapshot &) const = default;
};

/// Encodes \p snapshot in the oldest format version that can hold it, so that earlier builds can read it until a newer
/// version is activated.
std::string encodeSupervisionSnapshot(const SupervisionSnapshot &snapshot);

/// \returns ErrorKind::BadRequest unless \p bytes are exactly one snapshot of a version that this build supports.
Expected<SupervisionSnapshot> decodeSupervisionSnapshot(std::string_view bytes);

} // namespace daisyrelay
