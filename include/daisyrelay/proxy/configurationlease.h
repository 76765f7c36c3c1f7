// How long this entry may rely on its configuration without a confirmation of control that it is the newest.
#pragma once

#include "daisyrelay/base.h"

#include <optional>

namespace daisyrelay {

/// Bounds the time for which a key that a newer configuration has withdrawn is still accepted here, also if this VM
/// cannot reach control, was suspended or has just started.
///
/// If control responds to a report that version v is the newest, no newer version was acknowledged before the report
/// was sent. A request that arrives within the bound from then on was therefore sent at most that long after the
/// acknowledgment of a version that withdraws its key.
class ConfigurationLease
{
public:
    /// \p bound is zero if the configuration may be relied on without limit.
    explicit ConfigurationLease(Duration bound = Duration::zero());

    /// Records that control, after it had received a report sent at \p reportSentAt, knew \p newestVersion as the
    /// newest one, while \p ownVersion is in force here. A newer version does not shorten the lease, since it was
    /// acknowledged later than the report that the lease counts from.
    void confirm(Instant reportSentAt, std::uint64_t newestVersion, std::uint64_t ownVersion);

    /// Returns whether work of callers with a key may be accepted.
    [[nodiscard]] bool isValid(Instant now) const;

    /// Returns when the report was sent from which the lease counts, or nothing if no configuration was confirmed.
    [[nodiscard]] std::optional<Instant> confirmedAt() const;

private:
    Duration bound_;
    std::optional<Instant> confirmedAt_;
};

} // namespace daisyrelay
