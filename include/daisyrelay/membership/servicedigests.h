// Summaries of the databases of each service in each region.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// Keeps the youngest digest for each region and service, and sends them on in turns.
class ServiceDigests
{
public:
    /// Replaces the digests of \p region by those worked out from the announcements known here.
    void summarize(Instant now, const std::string &region, const std::vector<BackendAnnouncement> &announcements);

    void merge(Instant now, const ServiceDigest &digest);
    void expire(Instant now);

    /// Returns the digest whose turn it is; empty if there is none.
    std::optional<ServiceDigest> next(Instant now);

    [[nodiscard]] std::vector<ServiceDigest> all(Instant now) const;

private:
    using Key = std::pair<std::string, ServiceId>;

    struct Known {
        ServiceDigest digest;
        Instant madeAt {};
    };

    [[nodiscard]] static ServiceDigest withCurrentAge(Instant now, const Known &known);

    std::map<Key, Known> known_;
    Key lastSent_;
};

} // namespace daisyrelay
