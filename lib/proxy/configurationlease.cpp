#include "daisyrelay/proxy/configurationlease.h"

#include <algorithm>

namespace daisyrelay {

/// Covers the different rates of the clocks of two VMs over one lease.
static constexpr Duration ClockDriftMargin = std::chrono::milliseconds(50);

ConfigurationLease::ConfigurationLease(Duration bound) : bound_(bound)
{
}

void ConfigurationLease::confirm(Instant reportSentAt, std::uint64_t newestVersion, std::uint64_t ownVersion)
{
    if (ownVersion >= newestVersion) {
        confirmedAt_ = std::max(confirmedAt_.value_or(reportSentAt), reportSentAt);
    }
}

bool ConfigurationLease::isValid(Instant now) const
{
    return bound_ == Duration::zero() || (confirmedAt_ && now < *confirmedAt_ + bound_ - ClockDriftMargin);
}

std::optional<Instant> ConfigurationLease::confirmedAt() const
{
    return confirmedAt_;
}

} // namespace daisyrelay
