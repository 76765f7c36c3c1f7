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

    bool operator==(const SupervisionSnapshot &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(configuration, configurationSource, topologyIndex, backends, primaries, removed, pendingPromotions);
        if constexpr (Archive::is_loading::value) {
            if (archive.atEnd()) {
                return;
            }
        }
        archive(leaseHolders);
    }
};

std::string encodeSupervisionSnapshot(const SupervisionSnapshot &snapshot);

/// \returns ErrorKind::BadRequest unless \p bytes are exactly one snapshot.
Expected<SupervisionSnapshot> decodeSupervisionSnapshot(std::string_view bytes);

} // namespace daisyrelay
