// Summaries of the databases of each service in each region.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// Keeps the latest digest of each region and service and returns them in turn for sending.
class ServiceDigests
{
public:
    /// Replaces the digests of \p region with those computed from \p announcements.
    void summarize(Instant now, const std::string &region, const std::vector<BackendAnnouncement> &announcements);

    void merge(Instant now, const ServiceDigest &digest);
    void expire(Instant now);

    /// Returns the next digest to send; empty if there is none.
    std::optional<ServiceDigest> next(Instant now);

    [[nodiscard]] std::vector<ServiceDigest> all(Instant now) const;

private:
    using Key = std::pair<std::string, ServiceId>;

    struct Known {
        ServiceDigest digest;
        Instant createdAt {};
    };

    [[nodiscard]] static ServiceDigest withCurrentAge(Instant now, const Known &known);

    std::map<Key, Known> known_;
    Key lastSent_;
};

} // namespace daisyrelay
